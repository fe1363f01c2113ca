//! A new owner that acquires executors while jobs arrive.

use onyxshed_core::Millis;
use onyxshed_pool::{HoldAnswer, JobEnd};

use crate::fixture::{Harness, at_ms, facts, id, job};

const EXECUTORS: [&str; 8] = ["x0", "x1", "x2", "x3", "x4", "x5", "x6", "x7"];

/// Creates an owner that has acquired the first `taken` of its executors at 0 ms; the first hold orders to
/// the others got no answer.
fn harness_with_acquired(taken: usize) -> Harness {
    let mut desk = Harness::with_executors(&[]);
    for name in EXECUTORS {
        let listed = desk.pool.list_executor(at_ms(0), id(name), facts(64));
        desk.actions.extend(listed);
    }
    for (index, name) in EXECUTORS.into_iter().enumerate() {
        match index < taken {
            true => desk.report(0, name, &[], &[]),
            false => desk.answer_hold(50, name, HoldAnswer::Unknown),
        }
    }
    desk
}

/// Jobs must not be rejected while executors that could run them are being acquired.
#[test]
fn jobs_wait_for_executors_that_are_being_taken_over() {
    let mut desk = harness_with_acquired(1);
    for number in 0..12 {
        desk.submit(60, job(number, 2, 60));
    }
    desk.advance(60, 260);
    assert_eq!(desk.take_ends(), []);
    let begun = desk.take_starts().len();
    for name in EXECUTORS.into_iter().skip(1) {
        desk.report(260, name, &[], &[]);
    }
    assert_eq!(
        begun + desk.take_starts().len(),
        16,
        "every executor is full"
    );
}

/// Executors that never answer must not keep callers waiting.
#[test]
fn executors_that_never_answer_count_for_a_while_only() {
    let mut desk = harness_with_acquired(0);
    desk.submit(1_200, job(1, 1, 60));
    let ends = desk.take_ends();
    assert!(matches!(ends[..], [(_, JobEnd::NotRun(..))]), "{ends:?}");
}

/// An owner short of processor time must not treat late first reports as missing.
#[test]
fn a_first_report_may_take_longer_than_a_renewal() {
    let mut desk = Harness::with_executors(&[("x1", 64)]);
    let listed = desk.pool.list_executor(at_ms(0), id("x2"), facts(64));
    desk.actions.extend(listed);
    let first = desk
        .take_holds()
        .pop()
        .expect("a first report is asked for")
        .1;
    desk.report(10, "x1", &[], &[]);
    let next = desk
        .take_holds()
        .pop()
        .expect("the next report is asked for")
        .1;
    assert!(first.answer_within >= Millis(4 * next.answer_within.0));
}

/// Late jobs must not be shed while the pool can process its whole backlog.
#[test]
fn late_jobs_are_kept_while_the_backlog_can_be_worked_off() {
    let mut desk = harness_with_acquired(0);
    for number in 0..4 {
        desk.submit(60, job(number, 2, 60));
    }
    for number in 10..18 {
        desk.submit(100, job(number, 2, 200));
    }
    desk.advance(100, 200);
    assert_eq!(desk.take_ends(), []);
}

/// Under overload, late jobs must not wait until their answers are useless.
#[test]
fn late_jobs_are_shed_while_more_comes_than_the_pool_can_do() {
    let mut desk = harness_with_acquired(0);
    for number in 0..4 {
        desk.submit(60, job(number, 2, 60));
    }
    for number in 10..50 {
        desk.submit(100, job(number, 2, 200));
    }
    desk.advance(100, 200);
    let refused = desk.take_ends().into_iter().map(|(job, _)| job.0);
    assert_eq!(refused.collect::<Vec<_>>(), [0, 1, 2, 3]);
}
