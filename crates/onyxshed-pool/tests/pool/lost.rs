//! Pools that lose all their executors at the same time.

use onyxshed_core::Millis;
use onyxshed_pool::{ExecutorFacts, HoldAnswer, JobEnd, JobId, NotRunReason, UnknownReason};

use crate::fixture::{Harness, at_ms, facts, id, job};

/// Creates a pool with one running and one queued job, whose only executor stops answering at 200 ms.
fn harness_without_executors() -> Harness {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    harness.submit_and_start(0, job(1, 1, 900));
    harness.submit(1, job(2, 1, 900));
    harness.advance(1, 200);
    harness.answer_hold(200, "a", HoldAnswer::Unknown);
    harness
}

/// A queued job must not wait for its deadline in a zone without executors while other zones have free
/// executors.
#[test]
fn unstarted_job_is_returned_when_executors_are_lost() {
    let mut harness = harness_without_executors();
    harness.advance(200, 280);
    assert_eq!(harness.take_ends(), []);
    harness.advance(280, 340);
    let not_run = JobEnd::NotRun(NotRunReason::NoExecutor, Millis(5_000));
    assert!(harness.take_ends().contains(&(JobId(2), not_run)));
}

/// A started job that has lost its executor must end as unknown before its caller's deadline.
#[test]
fn started_job_ends_as_unknown_when_executors_are_lost() {
    let mut harness = harness_without_executors();
    harness.advance(200, 340);
    let unknown = JobEnd::Unknown(UnknownReason::ExecutorsLost);
    assert!(harness.take_ends().contains(&(JobId(1), unknown)));
}

/// Runs on a draining executor that still answers must not be ended.
#[test]
fn job_on_draining_executor_continues() {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    harness.submit_and_start(0, job(1, 1, 900));
    let draining = ExecutorFacts {
        is_draining: true,
        ..facts(32)
    };
    let actions = harness
        .pool
        .record_listed_executor(at_ms(10), id("a"), draining);
    harness.actions.extend(actions);
    harness.advance(10, 400);
    assert_eq!(harness.take_ends(), []);
}

/// A single late report must not end jobs.
#[test]
fn job_is_kept_when_executor_answers_again() {
    let mut harness = harness_without_executors();
    harness.advance(200, 260);
    harness.report(260, "a", &[], &[]);
    harness.advance(260, 320);
    harness.answer_hold(320, "a", HoldAnswer::Unknown);
    harness.advance(320, 400);
    assert_eq!(harness.take_ends(), []);
}
