//! A new owner that acquires executors while jobs arrive.

use onyxshed_core::Millis;
use onyxshed_pool::{HoldAnswer, JobEnd};

use crate::fixture::{Harness, at_ms, facts, id, job};

const EXECUTORS: [&str; 8] = ["x0", "x1", "x2", "x3", "x4", "x5", "x6", "x7"];

/// Creates an owner that has acquired the first `acquired` of its executors at 0 ms; the first hold orders to
/// the others got no answer.
fn harness_with_acquired(acquired: usize) -> Harness {
    let mut harness = Harness::with_executors(&[]);
    for name in EXECUTORS {
        let listed = harness
            .pool
            .record_listed_executor(at_ms(0), id(name), facts(64));
        harness.actions.extend(listed);
    }
    for (index, name) in EXECUTORS.into_iter().enumerate() {
        match index < acquired {
            true => harness.report(0, name, &[], &[]),
            false => harness.answer_hold(50, name, HoldAnswer::Unknown),
        }
    }
    harness
}

/// Jobs must not be rejected while executors that could run them are being acquired.
#[test]
fn jobs_wait_for_executors_being_acquired() {
    let mut harness = harness_with_acquired(1);
    for number in 0..12 {
        harness.submit(60, job(number, 2, 60));
    }
    harness.advance(60, 260);
    assert_eq!(harness.take_ends(), []);
    let started_before = harness.take_starts().len();
    for name in EXECUTORS.into_iter().skip(1) {
        harness.report(260, name, &[], &[]);
    }
    assert_eq!(
        started_before + harness.take_starts().len(),
        16,
        "every executor is full"
    );
}

/// Executors that never answer must not keep callers waiting.
#[test]
fn unresponsive_executors_count_only_for_grace_period() {
    let mut harness = harness_with_acquired(0);
    harness.submit(1_200, job(1, 1, 60));
    let ends = harness.take_ends();
    assert!(matches!(ends[..], [(_, JobEnd::NotRun(..))]), "{ends:?}");
}

/// An owner short of processor time must not drop connections because first reports are late, so
/// first reports have a longer time-out.
#[test]
fn first_report_has_longer_timeout_than_renewal() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let listed = harness
        .pool
        .record_listed_executor(at_ms(0), id("x2"), facts(64));
    harness.actions.extend(listed);
    let first = harness
        .take_holds()
        .pop()
        .expect("a hold order for the first report")
        .1;
    harness.report(10, "x1", &[], &[]);
    let next = harness
        .take_holds()
        .pop()
        .expect("a hold order for the next report")
        .1;
    assert!(first.answer_within >= Millis(4 * next.answer_within.0));
}

/// Late jobs must not be shed while the pool can process its whole backlog.
#[test]
fn late_jobs_are_kept_while_backlog_is_small() {
    let mut harness = harness_with_acquired(0);
    for number in 0..4 {
        harness.submit(60, job(number, 2, 60));
    }
    for number in 10..18 {
        harness.submit(100, job(number, 2, 200));
    }
    harness.advance(100, 200);
    assert_eq!(harness.take_ends(), []);
}

/// Under overload, late jobs must not wait until their answers are useless.
#[test]
fn late_jobs_are_shed_under_overload() {
    let mut harness = harness_with_acquired(0);
    for number in 0..4 {
        harness.submit(60, job(number, 2, 60));
    }
    for number in 10..50 {
        harness.submit(100, job(number, 2, 200));
    }
    harness.advance(100, 200);
    let shed = harness.take_ends().into_iter().map(|(job, _)| job.0);
    assert_eq!(shed.collect::<Vec<_>>(), [0, 1, 2, 3]);
}
