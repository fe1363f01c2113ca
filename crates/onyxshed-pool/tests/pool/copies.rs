//! Copies of a job that arrive while runs of its earlier copy are being stopped.

use onyxshed_core::Millis;
use onyxshed_pool::{
    FencingToken, HoldAnswer, JobEnd, JobId, JobRequest, SubmissionNumber, UnknownReason,
};

use crate::fixture::{Harness, OWN, at_ms, job};

/// Creates a pool whose only executor is full with the cancelled run of a job, and submits a copy of the job,
/// which is queued.
fn harness_with_queued_copy(copy: JobRequest) -> Harness {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    harness.submit_and_start(0, job(1, 1, 900));
    let cancelled = harness.pool.cancel(
        at_ms(10),
        OWN,
        SubmissionNumber(1),
        JobId(1),
        UnknownReason::Cancelled,
    );
    harness.actions.extend(cancelled);
    harness.submit(
        11,
        JobRequest {
            submission: SubmissionNumber(2),
            ..copy
        },
    );
    assert_eq!(harness.take_stops().len(), 1);
    assert_eq!(harness.take_starts(), []);
    let cancelled = JobEnd::Unknown(UnknownReason::Cancelled);
    assert_eq!(harness.take_ends(), [(JobId(1), cancelled)]);
    harness
}

/// The next owner must not start a task whose stopped run still executes at this owner.
#[test]
fn copy_is_not_returned_at_handover_while_runs_are_stopped() {
    let mut harness = harness_with_queued_copy(job(1, 1, 900));
    let (actions, _) = harness.pool.release(at_ms(20), FencingToken(100));
    harness.actions.extend(actions);
    let unknown = JobEnd::Unknown(UnknownReason::OwnerChanged);
    assert_eq!(harness.take_ends(), [(JobId(1), unknown)]);
}

/// Another zone's pool must not start a task whose stopped run still executes in the evacuated zone.
#[test]
fn copy_is_not_returned_at_evacuation_while_runs_are_stopped() {
    let mut harness = harness_with_queued_copy(job(1, 1, 900));
    let actions = harness.pool.set_evacuated(at_ms(20), true);
    harness.actions.extend(actions);
    let unknown = JobEnd::Unknown(UnknownReason::ZoneEvacuated);
    assert_eq!(harness.take_ends(), [(JobId(1), unknown)]);
}

/// Another pool must not start a task of a shed copy whose stopped run still executes here.
#[test]
fn copy_is_not_shed_as_not_run_while_runs_are_stopped() {
    let late = JobRequest {
        time_left: Millis(300),
        ..job(1, 1, 900)
    };
    let mut harness = harness_with_queued_copy(late);
    harness.tick(20);
    let unknown = JobEnd::Unknown(UnknownReason::TimeOut);
    assert_eq!(harness.take_ends(), [(JobId(1), unknown)]);
}

/// Another pool must not start a task whose stopped run may still execute on an unresponsive executor.
#[test]
fn copy_is_not_returned_with_lost_executors_while_runs_are_stopped() {
    let mut harness = harness_with_queued_copy(job(1, 1, 900));
    harness.answer_hold(20, "a", HoldAnswer::Unknown);
    harness.advance(20, 160);
    let unknown = JobEnd::Unknown(UnknownReason::ExecutorsLost);
    assert_eq!(harness.take_ends(), [(JobId(1), unknown)]);
}
