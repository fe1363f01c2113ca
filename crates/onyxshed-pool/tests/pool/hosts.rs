//! Entry hosts that become unresponsive, and callers that cancel or resubmit jobs.

use onyxshed_core::Millis;
use onyxshed_pool::{
    FencingToken, JobEnd, JobId, JobRequest, NotRunReason, RefuseReason, Session, StartAnswer,
    SubmissionNumber, TaskId, UnknownReason,
};
use rstest::rstest;

use crate::fixture::{Harness, PEER, at_ms, facts, heartbeat_of, id, job};

fn from_peer(number: u64) -> JobRequest {
    JobRequest {
        peer: PEER,
        ..job(number, 1, 100)
    }
}

fn heartbeat(harness: &mut Harness, ms: u64) -> Session {
    heartbeat_on(harness, ms, 1)
}

/// Submits job 9 of the entry host at 1 ms, and returns its only task, whose run has been ordered.
fn start_job_of_peer(harness: &mut Harness, session: Session) -> TaskId {
    let submitted = harness.pool.submit(at_ms(1), session, from_peer(9));
    harness.actions.extend(submitted);
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    starts[0].1.task
}

/// Processes a heartbeat on the connection with this number.
fn heartbeat_on(harness: &mut Harness, ms: u64, number: u64) -> Session {
    let heartbeat = heartbeat_of(PEER, number, at_ms(ms));
    let (actions, session) = harness.pool.record_peer_contact(at_ms(ms), &heartbeat);
    harness.actions.extend(actions);
    session
}

/// An entry host crashes with a running job. Its caller resubmits the job 1,300 ms later, so the runs must
/// be stopped well before: after 600 ms without a heartbeat.
#[test]
fn runs_of_unresponsive_entry_host_are_stopped() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let session = heartbeat(&mut harness, 0);
    let submitted = harness.pool.submit(at_ms(1), session, from_peer(9));
    harness.actions.extend(submitted);
    assert_eq!(harness.take_starts().len(), 1);
    harness.advance(0, 590);
    assert!(harness.take_stops().is_empty());
    harness.advance(590, 620);
    assert_eq!(harness.take_stops().len(), 1);
    assert_eq!(
        harness.take_ends(),
        [(JobId(9), JobEnd::Unknown(UnknownReason::PeerSilent))]
    );
}

/// Guards against an owner that keeps the jobs of an entry host that was silent for too long, because the
/// host's next heartbeat comes before the owner's next tick.
#[test]
fn heartbeat_after_the_timeout_does_not_keep_jobs() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let old = heartbeat(&mut harness, 0);
    start_job_of_peer(&mut harness, old);
    harness.advance(0, 590);
    let new = heartbeat(&mut harness, 700);
    assert_ne!(old, new);
    harness.advance(700, 740);
    assert_eq!(harness.take_stops().len(), 1);
    assert_eq!(
        harness.take_ends(),
        [(JobId(9), JobEnd::Unknown(UnknownReason::PeerSilent))]
    );
}

/// An entry host is paused with a submission in its socket, and resumes while the resubmitted job
/// runs elsewhere. The delayed submission names the old session and must be rejected.
#[test]
fn submission_of_old_session_is_rejected() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let old = heartbeat(&mut harness, 0);
    harness.advance(0, 700);
    let new = heartbeat(&mut harness, 710);
    assert_ne!(old, new);
    let late = harness.pool.submit(at_ms(711), old, from_peer(9));
    harness.actions.extend(late);
    assert!(matches!(
        harness.take_ends()[..],
        [(JobId(9), JobEnd::NotRun(NotRunReason::OldSession, _))]
    ));
    let fresh = harness.pool.submit(at_ms(712), new, from_peer(10));
    harness.actions.extend(fresh);
    assert_eq!(harness.take_starts().len(), 1);
}

/// Guards against a host that gives up its pool, takes it over again and starts a submission that was made to it as
/// the earlier owner.
#[test]
fn submission_to_earlier_ownership_is_rejected() {
    let mut earlier = Harness::with_executors(&[]);
    let old = heartbeat(&mut earlier, 0);
    let mut harness = Harness::with_token(FencingToken(8), &[("x1", 64)]);
    heartbeat(&mut harness, 0);
    let late = harness.pool.submit(at_ms(1), old, from_peer(9));
    harness.actions.extend(late);
    assert!(harness.take_starts().is_empty());
    assert!(matches!(
        harness.take_ends()[..],
        [(JobId(9), JobEnd::NotRun(NotRunReason::OldSession, _))]
    ));
}

/// The owner's process is paused for 500 ms, and entry hosts may have answered their callers meanwhile.
/// When it resumes, it must end their jobs before it processes any other event.
#[test]
fn paused_owner_ends_jobs_of_other_hosts() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let session = heartbeat(&mut harness, 0);
    let many = JobRequest {
        tasks: 5,
        ..from_peer(9)
    };
    let submitted = harness.pool.submit(at_ms(1), session, many);
    harness.actions.extend(submitted);
    let running = harness.take_starts();
    assert_eq!(running.len(), 2);
    let task = running[0].1.task;
    harness.report(501, "x1", &[], &[(1, task, 1, onyxshed_pool::RunEnd::Done)]);
    assert!(
        harness.take_starts().is_empty(),
        "nothing starts after a pause"
    );
    assert_eq!(
        harness.take_ends(),
        [(JobId(9), JobEnd::Unknown(UnknownReason::OwnerPaused))]
    );
}

/// Guards against a run that starts for an unresponsive entry host because ticks of a starved owner are far
/// apart.
#[test]
fn no_run_starts_between_ticks_for_unresponsive_entry_host() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let session = heartbeat(&mut harness, 0);
    let many = JobRequest {
        tasks: 5,
        ..from_peer(9)
    };
    let submitted = harness.pool.submit(at_ms(1), session, many);
    harness.actions.extend(submitted);
    let running = harness.take_starts();
    assert_eq!(running.len(), 2);
    for tick_ms in [290, 580] {
        harness.tick(tick_ms);
    }
    let task = running[0].1.task;
    harness.report(870, "x1", &[], &[(1, task, 1, onyxshed_pool::RunEnd::Done)]);
    assert!(harness.take_starts().is_empty());
    assert_eq!(
        harness.take_ends(),
        [(JobId(9), JobEnd::Unknown(UnknownReason::PeerSilent))]
    );
}

/// A caller loses its answer and resubmits the running job through another entry host. The runs continue,
/// and the second entry host gets the answer.
#[test]
fn resubmission_joins_running_job() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let session = heartbeat(&mut harness, 0);
    let submitted = harness.pool.submit(at_ms(1), session, from_peer(9));
    harness.actions.extend(submitted);
    assert_eq!(harness.take_starts().len(), 1);
    harness.submit(
        50,
        JobRequest {
            submission: SubmissionNumber(77),
            ..job(9, 1, 100)
        },
    );
    assert!(harness.take_starts().is_empty());
    assert_eq!(
        harness.take_ends(),
        [(JobId(9), JobEnd::Unknown(UnknownReason::Superseded))]
    );
    // The first entry host can't cancel the job any more.
    let cancelled = harness.pool.cancel(
        at_ms(51),
        PEER,
        SubmissionNumber(9),
        JobId(9),
        UnknownReason::Cancelled,
    );
    harness.actions.extend(cancelled);
    assert!(harness.take_stops().is_empty());
}

/// A job that is cancelled in the queue has not run, and its caller may send it again at once.
#[test]
fn cancelled_queued_job_does_not_end_as_unknown() {
    let mut harness = Harness::with_executors(&[("x1", 32)]);
    harness.submit_and_start(1, job(8, 1, 1_000));
    harness.submit(2, job(9, 1, 1_000));
    for number in [8, 9] {
        let cancelled = harness.pool.cancel(
            at_ms(50),
            crate::fixture::OWN,
            SubmissionNumber(number),
            JobId(number),
            UnknownReason::EntryStopped,
        );
        harness.actions.extend(cancelled);
    }
    let ends = harness.take_ends();
    let unknown = JobEnd::Unknown(UnknownReason::EntryStopped);
    let [started, queued] = ends[..] else {
        panic!("{ends:?}");
    };
    assert_eq!(started, (JobId(8), unknown));
    assert!(
        matches!(queued, (JobId(9), JobEnd::NotRun(NotRunReason::NoTime, _))),
        "{queued:?}"
    );
}

#[test]
fn cancelled_job_is_stopped_and_frees_resources() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let (name, order) = harness.submit_and_start(1, job(9, 1, 1_000));
    let cancelled = harness.pool.cancel(
        at_ms(50),
        crate::fixture::OWN,
        SubmissionNumber(9),
        JobId(9),
        UnknownReason::Cancelled,
    );
    harness.actions.extend(cancelled);
    assert_eq!(harness.take_stops().len(), 1);
    harness.submit(51, job(10, 2, 100));
    assert_eq!(
        harness.take_starts().len(),
        1,
        "the stopped run still holds its resources"
    );
    harness.report(
        60,
        &name,
        &[],
        &[(1, order.task, 1, onyxshed_pool::RunEnd::Stopped)],
    );
    assert_eq!(harness.take_starts().len(), 1);
}

/// A job that can't end while its answer is useful is rejected immediately and never runs. The
/// retry delay is the time in which the pool processes its queue.
#[test]
fn job_that_cannot_end_in_time_is_rejected_at_once() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    harness.submit(1, job(8, 2, 1_000));
    harness.submit(2, job(9, 20, 1_000));
    harness.take_starts();
    harness.submit(3, job(10, 30, 1_000));
    let rejected = harness.take_ends();
    let [(JobId(10), JobEnd::NotRun(NotRunReason::NoTime, Millis(wait_ms)))] = rejected[..] else {
        panic!("{rejected:?}");
    };
    assert!((1_000..=5_000).contains(&wait_ms), "{wait_ms}");
}

#[test]
fn task_larger_than_any_executor_is_rejected() {
    let mut harness = Harness::with_executors(&[("x1", 16)]);
    harness.submit(1, job(9, 1, 100));
    assert!(matches!(
        harness.take_ends()[..],
        [(JobId(9), JobEnd::NotRun(NotRunReason::NoExecutor, _))]
    ));
}

/// A started job ends when its caller stops waiting, since its runs would block other jobs to no purpose.
/// Its outcome is unknown, not "not run".
#[test]
fn job_ends_at_caller_deadline() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let impatient = JobRequest {
        time_left: Millis(300),
        ..job(9, 1, 200)
    };
    harness.submit_and_start(1, impatient);
    harness.advance(1, 290);
    assert!(harness.take_ends().is_empty());
    harness.advance(290, 310);
    assert_eq!(
        harness.take_ends(),
        [(JobId(9), JobEnd::Unknown(UnknownReason::TimeOut))]
    );
    assert_eq!(harness.take_stops().len(), 1);
}

/// Guards against heartbeats on a new connection that keep the jobs of a lost one running.
#[test]
fn jobs_of_lost_connection_end_while_host_is_heard_on_next_connection() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let session = heartbeat_on(&mut harness, 0, 1);
    start_job_of_peer(&mut harness, session);
    harness.advance(0, 550);
    for ms in [552, 700, 850] {
        let next = heartbeat_on(&mut harness, ms, 2);
        assert_ne!(next, session);
        harness.advance(ms, ms + 140);
    }
    assert_eq!(harness.take_stops().len(), 1);
    assert_eq!(
        harness.take_ends(),
        [(JobId(9), JobEnd::Unknown(UnknownReason::PeerSilent))]
    );
}

/// Guards against an owner that counts a delayed heartbeat as contact when it processes it.
#[test]
fn delayed_heartbeats_do_not_keep_jobs_running() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let session = heartbeat(&mut harness, 0);
    start_job_of_peer(&mut harness, session);
    for ms in [150, 300, 450, 600] {
        harness.advance(ms - 150, ms);
        let delayed = heartbeat_of(PEER, 1, at_ms(ms / 30));
        let (actions, _) = harness.pool.record_peer_contact(at_ms(ms), &delayed);
        harness.actions.extend(actions);
    }
    harness.advance(600, 640);
    assert_eq!(harness.take_stops().len(), 1);
    assert_eq!(
        harness.take_ends(),
        [(JobId(9), JobEnd::Unknown(UnknownReason::PeerSilent))]
    );
}

/// Guards against an owner that fell behind and applies a report before it ends the jobs of a host not heard in time.
#[test]
fn session_that_expired_since_the_last_tick_ends_before_a_report_is_applied() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let session = heartbeat(&mut harness, 0);
    let task = start_job_of_peer(&mut harness, session);
    harness.advance(0, 400);
    harness.report(790, "x1", &[(task, 1)], &[]);
    assert!(!harness.take_stops().is_empty());
    assert_eq!(
        harness.take_ends(),
        [(JobId(9), JobEnd::Unknown(UnknownReason::PeerSilent))]
    );
}

/// Guards against a start order that renews the lease of a dropped job's run, whose stop orders are lost.
#[test]
fn start_of_another_job_does_not_renew_lease_of_dropped_run() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let session = heartbeat(&mut harness, 0);
    let task = start_job_of_peer(&mut harness, session);
    harness.advance(0, 590);
    harness.report(590, "x1", &[(task, 1)], &[]);
    let last_lease = harness.take_holds().pop().expect("a hold order").1.expires;
    let last_lease = last_lease.expect("a renewal");
    harness.advance(590, 620);
    assert_eq!(harness.take_stops().len(), 1);
    harness.submit(700, job(10, 1, 100));
    let later: Vec<_> = harness
        .take_starts()
        .into_iter()
        .map(|(_, order)| order.expires)
        .collect();
    assert!(
        later.iter().all(|expires| *expires <= last_lease),
        "{later:?} > {last_lease:?}"
    );
}

/// Guards against an owner that resumes and starts a run for a caller of its own whose time is over.
#[test]
fn resumed_owner_starts_no_run_for_own_caller_that_gave_up() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let impatient = JobRequest {
        time_left: Millis(1_500),
        ..job(9, 1, 400)
    };
    let (name, order) = harness.submit_and_start(1, impatient);
    harness.tick(20);
    let ended = [(1, order.task, 1, onyxshed_pool::RunEnd::Stopped)];
    harness.report(3_500, &name, &[], &ended);
    let starts = harness.take_starts();
    assert!(starts.is_empty(), "{starts:?}");
}

/// Guards against a resumed owner that starts the jobs of other hosts because the list of executors is read first.
#[test]
fn listed_executor_after_a_pause_starts_no_job_of_other_hosts() {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let session = heartbeat(&mut harness, 0);
    let submitted = harness.pool.submit(at_ms(1), session, from_peer(9));
    harness.actions.extend(submitted);
    let (name, order) = harness.take_starts().pop().expect("a start order");
    harness.answer_start(
        5,
        &name,
        &order,
        &StartAnswer::Refused(RefuseReason::NoRoom),
    );
    assert!(harness.take_starts().is_empty());
    let listed = harness
        .pool
        .record_listed_executor(at_ms(3_500), id("x1"), facts(64));
    harness.actions.extend(listed);
    let starts = harness.take_starts();
    assert!(starts.is_empty(), "{starts:?}");
}

/// Guards against the loss of jobs on a slow link whose answers arrive before the link is given up.
#[rstest]
#[case::fast(4)]
#[case::slow(240)]
#[case::slowest(440)]
fn session_lasts_at_round_trips_below_the_answer_timeout(#[case] round_trip_ms: u64) {
    let mut harness = Harness::with_executors(&[("x1", 64)]);
    let one_way_ms = round_trip_ms / 2;
    let session = heartbeat(&mut harness, 0);
    start_job_of_peer(&mut harness, session);
    let mut last_ms = 0;
    for sent_ms in (one_way_ms..4_000).step_by(150) {
        harness.advance(last_ms, sent_ms + one_way_ms);
        last_ms = sent_ms + one_way_ms;
        let sent_no_earlier_than = at_ms(sent_ms - one_way_ms);
        let sent = heartbeat_of(PEER, 1, sent_no_earlier_than);
        let (actions, current) = harness.pool.record_peer_contact(at_ms(last_ms), &sent);
        harness.actions.extend(actions);
        assert_eq!(current, session);
    }
}
