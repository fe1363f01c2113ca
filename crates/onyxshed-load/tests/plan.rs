//! Tests of planned arrivals: a seed determines the plan, and rates are as configured, in bursts as
//! well.

use onyxshed_load::mix::Mix;
use onyxshed_load::plan::{Burst, PlanOptions, PlannedJob, plan};
use rstest::rstest;

fn options(mix: Mix, seed: u64) -> PlanOptions {
    PlanOptions {
        mix,
        jobs_per_s: 100.0,
        span_s: 40.0,
        bursts: vec![Burst {
            from_s: 10.0,
            to_s: 20.0,
            factor: 10.0,
        }],
        time_scale: 1.0,
        seed,
    }
}

fn count(jobs: &[PlannedJob], from_s: u64, to_s: u64) -> usize {
    let span = from_s * 1_000_000..to_s * 1_000_000;
    jobs.iter().filter(|job| span.contains(&job.at_us)).count()
}

#[rstest]
fn same_seed_gives_same_plan(#[values(Mix::Inzira, Mix::Valbrenta)] mix: Mix) {
    assert_eq!(plan(&options(mix, 3)), plan(&options(mix, 3)));
    assert_ne!(plan(&options(mix, 3)), plan(&options(mix, 4)));
}

#[rstest]
fn arrival_rate_matches_inside_and_outside_bursts(#[values(1, 2, 3)] seed: u64) {
    let jobs = plan(&options(Mix::Inzira, seed));
    let before = count(&jobs, 0, 10);
    let burst = count(&jobs, 10, 20);
    assert!((850..1_150).contains(&before), "{before}");
    assert!((9_600..10_400).contains(&burst), "{burst}");
    assert!(jobs.is_sorted_by_key(|job| job.at_us));
}

#[rstest]
fn drawn_work_matches_computed_mean(#[values(Mix::Inzira, Mix::Valbrenta)] mix: Mix) {
    let jobs = plan(&options(mix, 7));
    let work_ms: u32 = jobs.iter().flat_map(|job| &job.service_ms).sum();
    let mean_ms = f64::from(work_ms) / jobs.len() as f64;
    let error = (mean_ms / mix.mean_job_ms() - 1.0).abs();
    assert!(error < 0.05, "{mean_ms} against {}", mix.mean_job_ms());
}
