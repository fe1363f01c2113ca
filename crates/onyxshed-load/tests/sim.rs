//! The decision core in virtual time: one seed gives one run, and every job ends exactly once.

use onyxshed_load::mix::Mix;
use onyxshed_load::sim::chooser::Rival;
use onyxshed_load::sim::scenario::Scenario;
use onyxshed_load::sim::world::WorldOptions;
use onyxshed_load::sim::{SimOptions, one_run, simulate};
use rstest::rstest;

const SPAN_S: f64 = 9.0;

fn options(mix: Mix) -> SimOptions {
    SimOptions {
        mix,
        seeds: vec![1],
        scenarios: Scenario::ALL.to_vec(),
        span_s: SPAN_S,
        world: WorldOptions::default(),
    }
}

#[rstest]
fn a_seed_gives_one_run(#[values(Mix::Inzira, Mix::Valbrenta)] mix: Mix) {
    let text = || simulate(&options(mix)).to_string();
    assert_eq!(text(), text());
}

#[rstest]
fn every_job_ends_once(
    #[values(Rival::Onyxshed, Rival::RoundRobin, Rival::LeastOutstanding)] rival: Rival,
    #[values(1, 2)] seed: u64,
) {
    for scenario in Scenario::ALL {
        // Cancelled jobs are taken out of the books.
        if scenario == Scenario::CancelWave {
            continue;
        }
        let (planned, run) = one_run(&options(Mix::Inzira), scenario, rival, seed);
        let ended: u64 = run.by_second.values().map(|(jobs, _)| jobs).sum();
        assert_eq!(ended, planned as u64, "{scenario:?}");
    }
}

#[rstest]
fn baselines_do_what_they_did() {
    let small = SimOptions {
        scenarios: vec![Scenario::Load(50), Scenario::RackDies],
        ..options(Mix::Valbrenta)
    };
    let mut summary = simulate(&small);
    summary.cells.retain(|cell| cell.rival != Rival::Onyxshed);
    insta::assert_snapshot!(summary);
}
