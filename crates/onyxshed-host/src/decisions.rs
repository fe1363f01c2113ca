//! Converts the decisions of a pool to log events.

use onyxshed_core::{Event, EventKind};
use onyxshed_pool::{Decision, ExecutorId, FencingToken, TaskId};
use smol_str::{SmolStr, format_smolstr};

/// Returns the log event of a decision; `token` is the fencing token under which it was made.
pub fn event_of(decision: &Decision, token: FencingToken) -> Event {
    match decision {
        Decision::RunOrdered {
            task,
            run,
            executor,
            expected,
            waited,
            submitted_as: (peer, submission),
        } => run_event(EventKind::PoolRunOrdered, *task, executor).detail(format_smolstr!(
            "run {run}, expected {}, waited {}, submission {submission} of {peer}, token {token}",
            expected.as_millis(),
            waited.as_millis()
        )),
        Decision::JobDropped {
            job,
            submitted_as: (peer, submission),
            reason,
            last_contact,
        } => {
            let last_contact = match last_contact {
                Some(ago) => format_smolstr!("heard {} ago", ago.as_millis()),
                None => SmolStr::new_static("not heard"),
            };
            event_about(EventKind::PoolJobDropped, format_smolstr!("{peer}"))
                .job(format_smolstr!("{job}"))
                .detail(format_smolstr!(
                    "{reason:?}, submission {submission}, {last_contact}, token {token}"
                ))
        }
        Decision::RunEnded {
            task,
            run,
            executor,
            reason,
        } => run_event(EventKind::PoolRunEnded, *task, executor)
            .detail(format_smolstr!("run {run}: {reason}, token {token}")),
        Decision::OrphanStopped {
            task,
            run,
            executor,
        } => run_event(EventKind::PoolStrayStopped, *task, executor)
            .detail(format_smolstr!("run {run}, token {token}")),
        Decision::RunMoved {
            task,
            run,
            executor,
            remaining,
        } => run_event(EventKind::PoolRunMoved, *task, executor).detail(format_smolstr!(
            "run {run}, {} remaining there, token {token}",
            remaining.as_millis()
        )),
        Decision::ExecutorAcquired(id) => event_about(EventKind::PoolExecutorTaken, id.0.clone()),
        Decision::ExecutorUnresponsive(id) => {
            event_about(EventKind::PoolExecutorSilent, id.0.clone())
        }
        Decision::ExecutorRecovered(id) => event_about(EventKind::PoolExecutorBack, id.0.clone()),
        Decision::ExecutorRestarted {
            executor,
            is_listed,
        } => {
            let detail = match is_listed {
                true => "its new entry is known",
                false => "no task until its new entry is read",
            };
            event_about(EventKind::PoolExecutorRestarted, executor.0.clone()).detail(detail)
        }
        Decision::ExecutorAvoided(id, span) => {
            event_about(EventKind::PoolExecutorAvoided, id.0.clone())
                .detail(format_smolstr!("for {span}"))
        }
        Decision::ExecutorDraining(id) => {
            event_about(EventKind::PoolExecutorDraining, id.0.clone())
        }
        Decision::ExecutorForgotten(id) => event_about(EventKind::PoolExecutorGone, id.0.clone()),
        Decision::PeerUnresponsive(peer, jobs) => {
            event_about(EventKind::PoolPeerSilent, format_smolstr!("{peer}"))
                .detail(format_smolstr!("{jobs} jobs given up"))
        }
        Decision::HandoverBegun {
            returned_jobs,
            remaining_jobs,
        } => drain_event(
            EventKind::PoolHandoverBegun,
            token,
            *returned_jobs,
            *remaining_jobs,
        ),
        Decision::HandoverEnded => {
            Event::new(EventKind::PoolHandoverEnded).detail(format_smolstr!("token {token}"))
        }
        Decision::EvacuationBegun {
            returned_jobs,
            remaining_jobs,
        } => drain_event(
            EventKind::PoolEvacuationBegun,
            token,
            *returned_jobs,
            *remaining_jobs,
        ),
        Decision::EvacuationEnded => {
            Event::new(EventKind::PoolEvacuationEnded).detail(format_smolstr!("token {token}"))
        }
        Decision::JobRefused {
            job,
            class,
            reason,
            wait,
            slack,
        } => Event::new(EventKind::PoolOverloadRefused)
            .job(format_smolstr!("{job}"))
            .detail(format_smolstr!(
                "{reason:?}, class {class}, wait {wait}, slack {slack}, token {token}"
            )),
        Decision::JobGivenUp {
            job,
            class,
            waiting_tasks,
            elapsed,
        } => Event::new(EventKind::PoolOverloadGivenUp)
            .job(format_smolstr!("{job}"))
            .detail(format_smolstr!(
                "class {class}, {waiting_tasks} tasks waiting after {}, token {token}",
                elapsed.as_millis()
            )),
        Decision::OwnershipTransferred(successor) => {
            event_about(EventKind::PoolTransferred, format_smolstr!("{successor}"))
                .detail(format_smolstr!("token {token}"))
        }
        Decision::OverloadChanged { from, to, sample } => {
            Event::new(EventKind::PoolOverloadChanged)
                .detail(format_smolstr!("{from} to {to}: {sample}, token {token}"))
        }
        Decision::CallerLimited {
            caller,
            class,
            admitted,
            mode,
        } => event_about(EventKind::PoolCallerLimited, format_smolstr!("{caller}")).detail(
            format_smolstr!("class {class}, {admitted} admitted, overload mode {mode}"),
        ),
        Decision::CallerWithinShare {
            caller,
            class,
            exceeded,
        } => event_about(
            EventKind::PoolCallerWithinShare,
            format_smolstr!("{caller}"),
        )
        .detail(format_smolstr!(
            "class {class}, {exceeded} jobs above its share"
        )),
        Decision::Paused(span, jobs) => Event::new(EventKind::PauseDetected).detail(
            format_smolstr!("{}, {jobs} jobs given up", span.as_millis()),
        ),
    }
}

fn event_about(kind: EventKind, party: SmolStr) -> Event {
    Event::new(kind).party(party)
}

fn run_event(kind: EventKind, task: TaskId, executor: &ExecutorId) -> Event {
    event_about(kind, executor.0.clone())
        .job(format_smolstr!("{}", task.job))
        .task(task.index)
}

/// Creates the log event for the start of a handover or an evacuation, when a pool stops accepting
/// jobs. `returned_jobs` is the number of jobs returned to their entry hosts, `remaining_jobs` the
/// number of jobs that this host still completes.
fn drain_event(
    kind: EventKind,
    token: FencingToken,
    returned_jobs: usize,
    remaining_jobs: usize,
) -> Event {
    Event::new(kind).detail(format_smolstr!(
        "token {token}, {returned_jobs} jobs handed back, {remaining_jobs} end here"
    ))
}
