//! Pools whose executors are all lost at once.

use onyxshed_core::Millis;
use onyxshed_pool::{ExecutorFacts, HoldAnswer, JobEnd, JobId, NotRunReason, UnknownReason};

use crate::fixture::{Desk, at_ms, facts, id, job};

/// Makes a pool with one job at work and one that waits, whose only executor has stopped answering at
/// 200 ms.
fn desk_without_executors() -> Desk {
    let mut desk = Desk::with_executors(&[("a", 32)]);
    desk.run_one(0, job(1, 1, 900));
    desk.submit(1, job(2, 1, 900));
    desk.pass(1, 200);
    desk.hold_answer(200, "a", HoldAnswer::Unknown);
    desk
}

/// Guards against jobs that wait for their deadline in a zone that has gone dark, while other zones have
/// room.
#[test]
fn a_job_that_has_not_begun_is_handed_back() {
    let mut desk = desk_without_executors();
    desk.pass(200, 280);
    assert_eq!(desk.ends(), []);
    desk.pass(280, 340);
    let not_run = JobEnd::NotRun(NotRunReason::NoExecutor, Millis(5_000));
    assert!(desk.ends().contains(&(JobId(2), not_run)));
}

/// Guards against callers who hear at their deadline that a job is lost.
#[test]
fn a_job_that_has_begun_ends_as_unknown() {
    let mut desk = desk_without_executors();
    desk.pass(200, 340);
    let unknown = JobEnd::Unknown(UnknownReason::ExecutorsLost);
    assert!(desk.ends().contains(&(JobId(1), unknown)));
}

/// Guards against runs that are cut off on executors that leave and still work.
#[test]
fn a_job_at_work_on_a_draining_executor_goes_on() {
    let mut desk = Desk::with_executors(&[("a", 32)]);
    desk.run_one(0, job(1, 1, 900));
    let draining = ExecutorFacts {
        is_draining: true,
        ..facts(32)
    };
    let actions = desk.pool.list_executor(at_ms(10), id("a"), draining);
    desk.asked.extend(actions);
    desk.pass(10, 400);
    assert_eq!(desk.ends(), []);
}

/// Guards against jobs that are given up because one report was late.
#[test]
fn a_job_stays_when_its_executor_answers_again() {
    let mut desk = desk_without_executors();
    desk.pass(200, 260);
    desk.report(260, "a", &[], &[]);
    desk.pass(260, 320);
    desk.hold_answer(320, "a", HoldAnswer::Unknown);
    desk.pass(320, 400);
    assert_eq!(desk.ends(), []);
}
