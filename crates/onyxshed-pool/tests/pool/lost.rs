//! Pools that lose all their executors at once.

use onyxshed_core::Millis;
use onyxshed_pool::{ExecutorFacts, HoldAnswer, JobEnd, JobId, NotRunReason, UnknownReason};

use crate::fixture::{Harness, at_ms, facts, id, job};

/// Creates a pool with one running and one queued job, whose only executor stops answering at 200 ms.
fn harness_without_executors() -> Harness {
    let mut desk = Harness::with_executors(&[("a", 32)]);
    desk.submit_and_start(0, job(1, 1, 900));
    desk.submit(1, job(2, 1, 900));
    desk.advance(1, 200);
    desk.answer_hold(200, "a", HoldAnswer::Unknown);
    desk
}

/// A queued job must not wait for its deadline in a zone without executors while other zones have free
/// executors.
#[test]
fn a_job_that_has_not_begun_is_handed_back() {
    let mut desk = harness_without_executors();
    desk.advance(200, 280);
    assert_eq!(desk.take_ends(), []);
    desk.advance(280, 340);
    let not_run = JobEnd::NotRun(NotRunReason::NoExecutor, Millis(5_000));
    assert!(desk.take_ends().contains(&(JobId(2), not_run)));
}

/// Callers must learn that a job is lost before their deadlines.
#[test]
fn a_job_that_has_begun_ends_as_unknown() {
    let mut desk = harness_without_executors();
    desk.advance(200, 340);
    let unknown = JobEnd::Unknown(UnknownReason::ExecutorsLost);
    assert!(desk.take_ends().contains(&(JobId(1), unknown)));
}

/// Runs on a draining executor that still answers must not be ended.
#[test]
fn a_job_at_work_on_a_draining_executor_goes_on() {
    let mut desk = Harness::with_executors(&[("a", 32)]);
    desk.submit_and_start(0, job(1, 1, 900));
    let draining = ExecutorFacts {
        is_draining: true,
        ..facts(32)
    };
    let actions = desk.pool.list_executor(at_ms(10), id("a"), draining);
    desk.actions.extend(actions);
    desk.advance(10, 400);
    assert_eq!(desk.take_ends(), []);
}

/// A single late report must not end jobs.
#[test]
fn a_job_stays_when_its_executor_answers_again() {
    let mut desk = harness_without_executors();
    desk.advance(200, 260);
    desk.report(260, "a", &[], &[]);
    desk.advance(260, 320);
    desk.answer_hold(320, "a", HoldAnswer::Unknown);
    desk.advance(320, 400);
    assert_eq!(desk.take_ends(), []);
}
