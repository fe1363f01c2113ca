//! An overloaded pool and one failure at a time.

use onyxshed_core::{Millis, Mono};
use onyxshed_pool::{
    ClassId, ExecutorReport, HoldAnswer, JobEnd, JobId, JobRequest, NotRunReason, OverloadMode,
    OverloadState, PoolOptions, RunEnd, StartAnswer,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixture::{Harness, at_ms, job};
use crate::load::{executors, random_job};
use crate::simulation::{Fault, Simulation, Timeouts};

fn options() -> PoolOptions {
    PoolOptions {
        overload: OverloadMode::On,
        planned_places_min: 0,
        ..PoolOptions::default()
    }
}

fn overloaded(executors: &[(&str, u32)]) -> Harness {
    let mut harness = Harness::with_options(executors, options());
    let actions = harness
        .pool
        .enter_state(at_ms(0), OverloadState::Overloaded);
    harness.actions.extend(actions);
    harness.tick(1);
    harness
}

fn of_class(class: &str, request: JobRequest) -> JobRequest {
    JobRequest {
        class: ClassId(class.into()),
        ..request
    }
}

/// Plays twice the load of a small pool, with a fault in the middle, and checks the answers.
fn play(fault: Fault) -> Simulation {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut simulation = Simulation::with_options(5, executors(), 2, options());
    simulation.timeouts = Timeouts::HOST;
    for number in 0..800 {
        let at_ms = 2_000 + rng.random_range(0..8_000);
        let (class, mut request, true_ms) = random_job(&mut rng, number);
        request.class = ClassId(["many", "long", "pairs"][class].into());
        request.time_left = Millis(2_500);
        simulation.schedule_call(Mono(at_ms * 1_000), class, request, true_ms);
    }
    simulation.schedule_fault(Mono(5_000_000), fault);
    simulation.run_until(Mono(25_000_000));
    simulation.check_answers();
    simulation
}

/// Returns the share of jobs that are completed among those that arrive in a span.
fn completed_between(simulation: &Simulation, from: Mono, to: Mono) -> f64 {
    let calls = simulation.calls.values();
    let (mut completed, mut jobs) = (0, 0);
    for call in calls.filter(|call| (from..to).contains(&call.first_sent_at)) {
        jobs += 1;
        completed += u32::from(matches!(call.ended, Some((_, JobEnd::Completed))));
    }
    f64::from(completed) / f64::from(jobs)
}

/// An executor is replaced under a run of a job that has begun: its task goes before jobs that wait.
#[test]
fn committed_task_of_a_lost_executor_goes_first() {
    let mut harness = overloaded(&[("a", 32), ("b", 32)]);
    harness.submit(1, of_class("wide", job(1, 2, 400)));
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 2);
    for (name, order) in &starts {
        harness.answer_start(2, name, order, &StartAnswer::Started { clock: None });
    }
    harness.submit(3, of_class("other", job(2, 1, 600)));
    let replaced = HoldAnswer::Report(ExecutorReport::OtherIncarnation);
    harness.answer_hold(10, "a", replaced);
    let (_, lost) = starts
        .iter()
        .find(|(name, _)| name == "a")
        .expect("a run on a");
    let (_, other) = starts
        .iter()
        .find(|(name, _)| name == "b")
        .expect("a run on b");
    harness.report(40, "b", &[], &[(1, other.task, 1, RunEnd::Done)]);
    let (name, next) = harness.take_starts().remove(0);
    assert_eq!((name.as_str(), next.task), ("b", lost.task));
}

/// Jobs of which no run was ordered are handed back as not run, and the jobs that have begun are
/// completed by the old owner.
#[test]
fn handover_in_overload_returns_what_has_not_begun() {
    let simulation = play(Fault::HandOver);
    let served = completed_between(&simulation, Mono(6_500_000), Mono(10_000_000));
    assert!(served > 0.3, "{served}");
}

/// A paused owner ends other hosts' jobs as unknown, and its successor is overloaded in turn.
#[test]
fn pause_of_the_owner_in_overload() {
    let simulation = play(Fault::PauseOwner(Millis(600)));
    let served = completed_between(&simulation, Mono(8_000_000), Mono(10_000_000));
    assert!(served > 0.3, "{served}");
}

/// No run is expected to end while the clock stands still, so nothing begins on promised room, and
/// jobs beyond it are refused.
#[test]
fn clock_that_stands_still() {
    let mut harness = overloaded(&[("a", 64)]);
    harness.submit(1, of_class("pairs", job(1, 2, 200)));
    assert_eq!(harness.take_starts().len(), 2);
    for number in 2..40 {
        harness.submit(1, of_class("pairs", job(number, 2, 200)));
        harness.tick(1);
    }
    assert!(harness.take_starts().is_empty());
    let refused = harness.take_ends();
    assert!(refused.len() > 30, "{}", refused.len());
    assert!(
        refused
            .iter()
            .all(|(_, end)| matches!(end, JobEnd::NotRun(..)))
    );
}

/// A wide job at the head of its class waits for room, and more waits behind it than its class is
/// served in time; a job for which executors have room begins all the same.
#[test]
fn nothing_is_refused_while_executors_have_room() {
    let mut harness = overloaded(&[("a", 96)]);
    harness.submit(1, of_class("pairs", job(1, 2, 600)));
    assert_eq!(harness.take_starts().len(), 2);
    for number in 2..9 {
        harness.submit(2, of_class("pairs", job(number, 3, 600)));
    }
    harness.take_ends();
    harness.submit(3, of_class("pairs", job(9, 1, 600)));
    assert_eq!(harness.take_starts().len(), 1);
    assert!(harness.take_ends().is_empty());
    harness.submit(4, of_class("pairs", job(10, 1, 600)));
    let refusals = harness.take_ends();
    let (id, end) = refusals.last().expect("a refusal");
    assert_eq!(*id, JobId(10));
    assert!(matches!(
        end,
        JobEnd::NotRun(NotRunReason::NoTime | NotRunReason::ClassShare, _)
    ));
}
