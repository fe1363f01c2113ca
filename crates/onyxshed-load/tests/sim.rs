//! Tests of the simulation: a seed determines a run, and every job ends exactly once.

use onyxshed_load::mix::Mix;
use onyxshed_load::sim::policies::PolicyKind;
use onyxshed_load::sim::scenario::Scenario;
use onyxshed_load::sim::simulation::ZoneOptions;
use onyxshed_load::sim::{SimOptions, run_once, simulate};
use rstest::rstest;

const SPAN_S: f64 = 9.0;

fn options(mix: Mix) -> SimOptions {
    SimOptions {
        mix,
        seeds: vec![1],
        scenarios: Scenario::ALL.to_vec(),
        span_s: SPAN_S,
        zone: ZoneOptions::default(),
    }
}

#[rstest]
fn same_seed_gives_same_results(#[values(Mix::Inzira, Mix::Valbrenta)] mix: Mix) {
    let text = || simulate(&options(mix)).to_string();
    assert_eq!(text(), text());
}

#[rstest]
fn every_job_ends_exactly_once(
    #[values(
        PolicyKind::Onyxshed,
        PolicyKind::RoundRobin,
        PolicyKind::LeastOutstanding
    )]
    policy: PolicyKind,
    #[values(1, 2)] seed: u64,
) {
    for scenario in Scenario::ALL {
        // Cancelled jobs have no recorded end.
        if scenario == Scenario::CancelWave {
            continue;
        }
        let (planned, run) = run_once(&options(Mix::Inzira), scenario, policy, seed);
        let ended: u64 = run.by_second.values().map(|(jobs, _)| jobs).sum();
        assert_eq!(ended, planned as u64, "{scenario:?}");
    }
}

#[rstest]
fn baseline_results_match_snapshot() {
    let small = SimOptions {
        scenarios: vec![Scenario::Load(50), Scenario::RackFails],
        ..options(Mix::Valbrenta)
    };
    let mut summary = simulate(&small);
    summary
        .cells
        .retain(|cell| cell.rival != PolicyKind::Onyxshed);
    insta::assert_snapshot!(summary);
}
