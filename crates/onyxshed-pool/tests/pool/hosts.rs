//! Entry hosts that become unresponsive, and callers that cancel or resubmit jobs.

use onyxshed_core::Millis;
use onyxshed_pool::{
    JobEnd, JobId, JobRequest, NotRunReason, Session, SubmissionNumber, UnknownReason,
};

use crate::fixture::{Harness, PEER, at_ms, job};

fn from_peer(number: u64) -> JobRequest {
    JobRequest {
        peer: PEER,
        ..job(number, 1, 100)
    }
}

fn heard(desk: &mut Harness, ms: u64) -> Session {
    desk.pool.record_peer_contact(at_ms(ms), PEER, None)
}

/// An entry host crashes with a running job. Its caller resubmits the job 1,300 ms later, so the runs must
/// be stopped well before: after 600 ms without a heartbeat.
#[test]
fn a_silent_entry_hosts_runs_are_stopped() {
    let mut desk = Harness::with_executors(&[("x1", 64)]);
    let session = heard(&mut desk, 0);
    let submitted = desk.pool.submit(at_ms(1), session, from_peer(9));
    desk.actions.extend(submitted);
    assert_eq!(desk.take_starts().len(), 1);
    desk.advance(0, 590);
    assert!(desk.take_stops().is_empty());
    desk.advance(590, 620);
    assert_eq!(desk.take_stops().len(), 1);
    assert_eq!(
        desk.take_ends(),
        [(JobId(9), JobEnd::Unknown(UnknownReason::PeerSilent))]
    );
}

/// An entry host is paused with a submission in its socket, and resumes when the resubmitted job runs
/// elsewhere. The delayed submission names the old session and must be rejected.
#[test]
fn a_hand_over_from_before_a_silence_is_refused() {
    let mut desk = Harness::with_executors(&[("x1", 64)]);
    let old = heard(&mut desk, 0);
    desk.advance(0, 700);
    let new = heard(&mut desk, 710);
    assert_ne!(old, new);
    let late = desk.pool.submit(at_ms(711), old, from_peer(9));
    desk.actions.extend(late);
    assert!(matches!(
        desk.take_ends()[..],
        [(JobId(9), JobEnd::NotRun(NotRunReason::OldSession, _))]
    ));
    let fresh = desk.pool.submit(at_ms(712), new, from_peer(10));
    desk.actions.extend(fresh);
    assert_eq!(desk.take_starts().len(), 1);
}

/// The owner's process is paused for 500 ms, and entry hosts may have answered their callers meanwhile.
/// When it resumes, it must end their jobs before it processes any other event.
#[test]
fn an_owner_that_stood_still_gives_up_its_entry_hosts_jobs() {
    let mut desk = Harness::with_executors(&[("x1", 64)]);
    let session = heard(&mut desk, 0);
    let many = JobRequest {
        tasks: 5,
        ..from_peer(9)
    };
    let submitted = desk.pool.submit(at_ms(1), session, many);
    desk.actions.extend(submitted);
    let running = desk.take_starts();
    assert_eq!(running.len(), 2);
    let task = running[0].1.task;
    desk.report(501, "x1", &[], &[(1, task, 1, onyxshed_pool::RunEnd::Done)]);
    assert!(
        desk.take_starts().is_empty(),
        "nothing starts after a standstill"
    );
    assert_eq!(
        desk.take_ends(),
        [(JobId(9), JobEnd::Unknown(UnknownReason::OwnerPaused))]
    );
}

/// A caller loses its answer and resubmits the running job through another entry host. The runs continue,
/// and the second entry host gets the answer.
#[test]
fn a_resubmission_joins_the_job_that_runs() {
    let mut desk = Harness::with_executors(&[("x1", 64)]);
    let session = heard(&mut desk, 0);
    let submitted = desk.pool.submit(at_ms(1), session, from_peer(9));
    desk.actions.extend(submitted);
    assert_eq!(desk.take_starts().len(), 1);
    desk.submit(
        50,
        JobRequest {
            submission: SubmissionNumber(77),
            ..job(9, 1, 100)
        },
    );
    assert!(desk.take_starts().is_empty());
    assert_eq!(
        desk.take_ends(),
        [(JobId(9), JobEnd::Unknown(UnknownReason::Superseded))]
    );
    // The first entry host can't cancel the job any more.
    let cancelled = desk.pool.cancel(
        at_ms(51),
        PEER,
        SubmissionNumber(9),
        JobId(9),
        UnknownReason::Cancelled,
    );
    desk.actions.extend(cancelled);
    assert!(desk.take_stops().is_empty());
}

#[test]
fn a_cancelled_jobs_runs_are_stopped_and_its_room_is_used_again() {
    let mut desk = Harness::with_executors(&[("x1", 64)]);
    let (name, order) = desk.submit_and_start(1, job(9, 1, 1_000));
    let cancelled = desk.pool.cancel(
        at_ms(50),
        crate::fixture::OWN,
        SubmissionNumber(9),
        JobId(9),
        UnknownReason::Cancelled,
    );
    desk.actions.extend(cancelled);
    assert_eq!(desk.take_stops().len(), 1);
    desk.submit(51, job(10, 2, 100));
    assert_eq!(
        desk.take_starts().len(),
        1,
        "the stopped run still takes room"
    );
    desk.report(
        60,
        &name,
        &[],
        &[(1, order.task, 1, onyxshed_pool::RunEnd::Stopped)],
    );
    assert_eq!(desk.take_starts().len(), 1);
}

/// A job that can't end while its answer is useful is rejected at once, with the time in which the queue is
/// processed as the retry delay, and never runs.
#[test]
fn a_job_that_can_not_end_in_time_is_refused_at_once() {
    let mut desk = Harness::with_executors(&[("x1", 64)]);
    desk.submit(1, job(8, 2, 1_000));
    desk.submit(2, job(9, 20, 1_000));
    desk.take_starts();
    desk.submit(3, job(10, 30, 1_000));
    let refused = desk.take_ends();
    let [(JobId(10), JobEnd::NotRun(NotRunReason::NoTime, Millis(wait_ms)))] = refused[..] else {
        panic!("{refused:?}");
    };
    assert!((1_000..=5_000).contains(&wait_ms), "{wait_ms}");
}

#[test]
fn a_task_larger_than_any_executor_is_refused() {
    let mut desk = Harness::with_executors(&[("x1", 16)]);
    desk.submit(1, job(9, 1, 100));
    assert!(matches!(
        desk.take_ends()[..],
        [(JobId(9), JobEnd::NotRun(NotRunReason::NoExecutor, _))]
    ));
}

/// A started job ends when its caller stops waiting, since its runs would block other jobs to no purpose.
/// Its outcome is unknown, not "not run".
#[test]
fn a_job_ends_with_its_callers_patience() {
    let mut desk = Harness::with_executors(&[("x1", 64)]);
    let impatient = JobRequest {
        time_left: Millis(300),
        ..job(9, 1, 200)
    };
    desk.submit_and_start(1, impatient);
    desk.advance(1, 290);
    assert!(desk.take_ends().is_empty());
    desk.advance(290, 310);
    assert_eq!(
        desk.take_ends(),
        [(JobId(9), JobEnd::Unknown(UnknownReason::TimeOut))]
    );
    assert_eq!(desk.take_stops().len(), 1);
}
