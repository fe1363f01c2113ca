//! Simulates loads on a pool in which some executors become slow while the others have free resources.

use onyxshed_core::{Millis, Mono};
use onyxshed_pool::{JobEnd, RunEnd, TaskId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixture::{Harness, job};
use crate::load::{executors, random_job};
use crate::simulation::{Fault, Simulation, Timeouts};

/// Size of the pool as a multiple of the pool in the tests of module `load`.
const POOL_FACTOR: usize = 3;

const BEGIN_MS: u64 = 2_000;
const LENGTH_MS: u64 = 10_000;
const SLOW_FROM_MS: u64 = 4_000;
const SLOW_FOR_MS: u64 = 8_000;
const SLOW_FACTOR: f64 = 8.0;
const SEEDS: u64 = 3;

/// Number of one class's jobs that arrived while executors were slow, and of those that met their
/// objectives.
#[derive(Debug, Clone, Copy, Default)]
struct Served {
    total: u32,
    in_time: u32,
}

impl Served {
    fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.total.max(1))
    }
}

/// Simulates a load while every `one_in`th executor, if any, is slow, and returns the results of each class.
fn served(jobs_per_s: u64, one_in: Option<usize>) -> [Served; 3] {
    let mut classes = [Served::default(); 3];
    for seed in 0..SEEDS {
        let simulation = simulate(jobs_per_s, one_in, seed);
        for call in simulation.calls.values() {
            if call.first_sent_at < Mono(SLOW_FROM_MS * 1_000) {
                continue;
            }
            let longest_ms = call.true_ms.iter().max().copied().unwrap_or_default();
            let objective = Millis(longest_ms * 16 / 10 + 60);
            let served = &mut classes[call.class];
            served.total += 1;
            if let Some((at, JobEnd::Completed)) = call.ended
                && at.since(call.first_sent_at) <= objective.into()
            {
                served.in_time += 1;
            }
        }
    }
    println!("{:.3?}", classes.map(Served::share));
    classes
}

fn simulate(jobs_per_s: u64, one_in: Option<usize>, seed: u64) -> Simulation {
    let mut rng = SmallRng::seed_from_u64(seed);
    let executors = (0..POOL_FACTOR).flat_map(|_| executors()).collect();
    let mut simulation = Simulation::new(seed, executors, 2);
    simulation.timeouts = Timeouts::HOST;
    let ids: Vec<_> = simulation.executors.keys().cloned().collect();
    let slow_ids = one_in.map(|one_in| ids.into_iter().step_by(one_in));
    for id in slow_ids.into_iter().flatten() {
        let slow = Fault::Slow(id, SLOW_FACTOR, Millis(SLOW_FOR_MS));
        simulation.schedule_fault(Mono(SLOW_FROM_MS * 1_000), slow);
    }
    for number in 0..jobs_per_s * LENGTH_MS / 1_000 {
        let at_ms = BEGIN_MS + rng.random_range(0..LENGTH_MS);
        let (class, mut request, true_ms) = random_job(&mut rng, number);
        request.time_left = Millis(2_500);
        simulation.schedule_call(Mono(at_ms * 1_000), class, request, true_ms);
    }
    simulation.run_until(Mono((BEGIN_MS + LENGTH_MS + 20_000) * 1_000));
    simulation.check_answers();
    simulation
}

/// Slow executors must not get tasks while other executors have free resources.
#[test]
fn slow_third_of_executors_keeps_most_jobs_in_time() {
    let baseline = served(60, None);
    let slow = served(60, Some(3));
    for (with_slow, baseline) in slow.iter().zip(&baseline) {
        assert!(with_slow.share() > 0.85 * baseline.share());
    }
}

/// Creates a pool of two executors, of which `x1` is known to be slow by the progress of its run.
fn harness_with_slow_executor() -> (Harness, TaskId) {
    let mut harness = Harness::with_executors(&[("x1", 30), ("x2", 30)]);
    let (name, order) = harness.submit_and_start(0, job(1, 1, 900));
    assert_eq!(name, "x1");
    harness.report_progress(200, "x1", &[(order.task, 1, 2)]);
    harness.tick(200);
    (harness, order.task)
}

/// A short task must not be late on a slow executor when an executor of normal speed becomes free
/// shortly afterwards.
#[test]
fn short_task_waits_for_full_speed_executor() {
    let (mut harness, _) = harness_with_slow_executor();
    harness.take_starts();
    let (_, long) = harness.submit_and_start(201, job(2, 1, 100));
    harness.submit(202, job(3, 1, 60));
    harness.report(203, "x1", &[], &[]);
    assert!(harness.take_starts().is_empty(), "x1 is slow, x2 is full");
    harness.report(210, "x2", &[], &[(1, long.task, 1, RunEnd::Done)]);
    let started_on: Vec<String> = harness
        .take_starts()
        .into_iter()
        .map(|start| start.0)
        .collect();
    assert_eq!(started_on, ["x2"]);
}

/// A long task must not stay on an executor that has become too slow for it.
#[test]
fn long_run_moves_to_executor_that_meets_target() {
    let (mut harness, task) = harness_with_slow_executor();
    let stops = harness.take_stops();
    assert_eq!(stops.len(), 1, "the run on x1 is stopped");
    assert!(
        harness.take_starts().is_empty(),
        "the run may still execute on x1"
    );
    harness.report(210, "x1", &[], &[(1, task, 1, RunEnd::Stopped)]);
    let started_on: Vec<String> = harness
        .take_starts()
        .into_iter()
        .map(|start| start.0)
        .collect();
    assert_eq!(started_on, ["x2"]);
}
