//! Copies of a job that arrive while it runs, or while runs of its earlier copy are being stopped.

use onyxshed_core::Millis;
use onyxshed_pool::{
    Action, ExecutorReport, FencingToken, HoldAnswer, JobEnd, JobId, JobRequest, RunEnd,
    StartOrder, StopAnswer, SubmissionNumber, TaskId, UnknownReason,
};
use rstest::rstest;

use crate::fixture::{Harness, OWN, PEER, at_ms, facts, id, job};

/// Creates the second submission of job 1.
fn copy() -> JobRequest {
    JobRequest {
        submission: SubmissionNumber(2),
        ..job(1, 1, 900)
    }
}

fn cancel_first_submission(harness: &mut Harness, ms: u64) {
    let cancelled = harness.pool.cancel(
        at_ms(ms),
        OWN,
        SubmissionNumber(1),
        JobId(1),
        UnknownReason::Cancelled,
    );
    harness.actions.extend(cancelled);
}

/// How an owner stops admitting jobs.
#[derive(Debug, Clone, Copy)]
enum Stop {
    Close,
    Release,
}

fn stop_admission(harness: &mut Harness, stop: Stop) {
    let actions = match stop {
        Stop::Close => harness.pool.close(),
        Stop::Release => harness.pool.release(at_ms(5), FencingToken(100)).0,
    };
    harness.actions.extend(actions);
}

/// Returns the outcomes that were reported, by submission.
fn ends_by_submission(harness: &Harness) -> Vec<(SubmissionNumber, JobEnd)> {
    let ends = harness.actions.iter().filter_map(|action| match action {
        Action::End {
            submission, end, ..
        } => Some((*submission, *end)),
        _ => None,
    });
    ends.collect()
}

/// Creates a pool whose only executor is full with the cancelled run of a job, and submits a copy of the job,
/// which is queued.
fn harness_with_queued_copy(copy: JobRequest) -> Harness {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    harness.submit_and_start(0, job(1, 1, 900));
    cancel_first_submission(&mut harness, 10);
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

/// Another entry host must not hear "not run" of a cancelled copy whose stopped run still executes.
#[test]
fn cancelled_copy_does_not_end_as_not_run_while_runs_are_stopped() {
    let mut harness = harness_with_queued_copy(job(1, 1, 900));
    let reason = UnknownReason::EntryStopped;
    let cancelled = harness
        .pool
        .cancel(at_ms(20), OWN, SubmissionNumber(2), JobId(1), reason);
    harness.actions.extend(cancelled);
    assert_eq!(harness.take_ends(), [(JobId(1), JobEnd::Unknown(reason))]);
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

/// Another pool must not start a task that runs at an owner which admits no jobs any more.
#[rstest]
fn copy_joins_its_job_that_runs_at_stopping_owner(
    #[values(Stop::Close, Stop::Release)] stop: Stop,
) {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    let (_, order) = harness.submit_and_start(0, job(1, 1, 900));
    stop_admission(&mut harness, stop);
    harness.submit(10, copy());
    harness.report(900, "a", &[], &[(1, order.task, 1, RunEnd::Done)]);
    let superseded = JobEnd::Unknown(UnknownReason::Superseded);
    let expected = [
        (SubmissionNumber(1), superseded),
        (SubmissionNumber(2), JobEnd::Completed),
    ];
    assert_eq!(ends_by_submission(&harness), expected);
}

/// Another pool must not start a task whose stopped run still executes at an owner which admits no jobs.
#[rstest]
fn copy_is_not_refused_as_not_run_by_stopping_owner_while_runs_are_stopped(
    #[values(Stop::Close, Stop::Release)] stop: Stop,
) {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    harness.submit_and_start(0, job(1, 1, 900));
    stop_admission(&mut harness, stop);
    cancel_first_submission(&mut harness, 10);
    harness.take_ends();
    harness.submit(11, copy());
    let unknown = JobEnd::Unknown(UnknownReason::OwnerChanged);
    assert_eq!(harness.take_ends(), [(JobId(1), unknown)]);
}

/// Where the earlier copy of a job is when its next copy arrives.
#[derive(Debug, Clone, Copy)]
enum Earlier {
    Queued,
    Running,
    Stopping,
}

/// Another pool must not start a task of a job that is here, whatever session its copy names.
#[rstest]
fn copy_of_old_session_is_not_refused_as_not_run(
    #[values(Earlier::Queued, Earlier::Running, Earlier::Stopping)] earlier: Earlier,
) {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    if matches!(earlier, Earlier::Queued) {
        harness.submit_and_start(0, job(9, 1, 900));
    }
    harness.submit(1, job(1, 1, 900));
    if matches!(earlier, Earlier::Stopping) {
        cancel_first_submission(&mut harness, 10);
        harness.take_ends();
    }
    let late = JobRequest {
        peer: PEER,
        ..copy()
    };
    harness.submit(11, late);
    let unknown = JobEnd::Unknown(UnknownReason::PeerSilent);
    assert_eq!(harness.take_ends(), [(JobId(1), unknown)]);
}

/// How the owner learns that a stopped run does not execute any more.
#[derive(Debug, Clone, Copy)]
enum Gone {
    Ended(RunEnd),
    Missing,
    Lapsed,
    Replaced,
}

fn make_run_gone(harness: &mut Harness, name: &str, order: &StartOrder, gone: Gone) {
    match gone {
        Gone::Ended(end) => {
            harness.report(30, name, &[], &[(1, order.task, order.run.0, end)]);
        }
        Gone::Missing => harness.report(30, name, &[], &[]),
        Gone::Lapsed => {
            harness.answer_hold(30, name, HoldAnswer::Unknown);
            harness.advance(30, 700);
        }
        Gone::Replaced => {
            let replaced = HoldAnswer::Report(ExecutorReport::OtherIncarnation);
            harness.answer_hold(30, name, replaced);
        }
    }
}

fn tasks_and_runs(starts: &[(String, StartOrder)]) -> Vec<(TaskId, u32)> {
    let starts = starts.iter();
    starts.map(|(_, order)| (order.task, order.run.0)).collect()
}

/// A copy's run must not start while the stopped run of the same task still executes on another executor.
#[rstest]
fn copy_starts_task_only_after_earlier_run_is_gone(
    #[values(
        Gone::Ended(RunEnd::Stopped),
        Gone::Ended(RunEnd::Done),
        Gone::Ended(RunEnd::Failed),
        Gone::Missing,
        Gone::Lapsed,
        Gone::Replaced
    )]
    gone: Gone,
) {
    let mut harness = Harness::with_executors(&[("a", 32), ("b", 32)]);
    let (name, first) = harness.submit_and_start(0, job(1, 1, 900));
    cancel_first_submission(&mut harness, 10);
    harness.submit(11, copy());
    let (task, run) = (first.task, first.run);
    let stopped =
        harness
            .pool
            .apply_stop_answer(at_ms(12), &id(&name), task, run, StopAnswer::Accepted);
    harness.actions.extend(stopped);
    harness.tick(20);
    assert_eq!(tasks_and_runs(&harness.take_starts()), []);
    make_run_gone(&mut harness, &name, &first, gone);
    assert_eq!(tasks_and_runs(&harness.take_starts()), [(task, 2)]);
}

/// Tasks of a copy without an earlier run must not wait for the stopped runs of its other tasks.
#[test]
fn copy_starts_tasks_without_earlier_runs_at_once() {
    let two_tasks = || job(1, 2, 900);
    let mut harness = Harness::with_executors(&[("a", 32)]);
    let (_, first) = harness.submit_and_start(0, two_tasks());
    cancel_first_submission(&mut harness, 10);
    let listed = harness
        .pool
        .record_listed_executor(at_ms(10), id("b"), facts(64));
    harness.actions.extend(listed);
    harness.report(10, "b", &[], &[]);
    harness.submit(
        11,
        JobRequest {
            submission: SubmissionNumber(2),
            ..two_tasks()
        },
    );
    let second = TaskId {
        index: 1,
        ..first.task
    };
    assert_eq!(tasks_and_runs(&harness.take_starts()), [(second, 1)]);
}

/// An entry host must not refuse a copy on arrival while its own pool has the job or runs of it.
#[test]
fn a_job_that_the_pool_has_is_known() {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    assert!(!harness.pool.has_job(JobId(1)));
    let (_, order) = harness.submit_and_start(0, job(1, 1, 900));
    assert!(harness.pool.has_job(JobId(1)));
    cancel_first_submission(&mut harness, 10);
    assert!(harness.pool.has_job(JobId(1)));
    let stopped = (1, order.task, 1, RunEnd::Stopped);
    harness.report(40, "a", &[], &[stopped]);
    assert!(!harness.pool.has_job(JobId(1)));
}
