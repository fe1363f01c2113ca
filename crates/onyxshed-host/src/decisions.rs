//! Decisions of a pool as events of the log.

use onyxshed_core::{Event, EventKind};
use onyxshed_pool::{Decision, ExecutorId, FencingToken, TaskId};
use smol_str::{SmolStr, format_smolstr};

/// Makes an event of a decision, with the token under which it was made.
pub fn event_of(decision: &Decision, token: FencingToken) -> Event {
    match decision {
        Decision::RunOrdered {
            task,
            run,
            executor,
            expected,
            waited,
        } => about_run(EventKind::PoolRunOrdered, *task, executor).detail(format_smolstr!(
            "run {run}, expected {}, waited {}, token {token}",
            expected.as_millis(),
            waited.as_millis()
        )),
        Decision::RunEnded {
            task,
            run,
            executor,
            reason: why,
        } => about_run(EventKind::PoolRunEnded, *task, executor)
            .detail(format_smolstr!("run {run}: {why}, token {token}")),
        Decision::OrphanStopped {
            task,
            run,
            executor,
        } => about_run(EventKind::PoolStrayStopped, *task, executor)
            .detail(format_smolstr!("run {run}, token {token}")),
        Decision::RunMoved {
            task,
            run,
            executor,
            remaining: left,
        } => about_run(EventKind::PoolRunMoved, *task, executor).detail(format_smolstr!(
            "run {run}, {} left there, token {token}",
            left.as_millis()
        )),
        Decision::ExecutorAcquired(id) => about(EventKind::PoolExecutorTaken, id.0.clone()),
        Decision::ExecutorUnresponsive(id) => about(EventKind::PoolExecutorSilent, id.0.clone()),
        Decision::ExecutorRecovered(id) => about(EventKind::PoolExecutorBack, id.0.clone()),
        Decision::ExecutorAvoided(id, span) => about(EventKind::PoolExecutorAvoided, id.0.clone())
            .detail(format_smolstr!("for {span}")),
        Decision::ExecutorDraining(id) => about(EventKind::PoolExecutorDraining, id.0.clone()),
        Decision::ExecutorForgotten(id) => about(EventKind::PoolExecutorGone, id.0.clone()),
        Decision::PeerUnresponsive(life, jobs) => {
            about(EventKind::PoolPeerSilent, format_smolstr!("{life}"))
                .detail(format_smolstr!("{jobs} jobs given up"))
        }
        Decision::HandoverBegun { handed_back, kept } => {
            emptying(EventKind::PoolHandoverBegun, token, *handed_back, *kept)
        }
        Decision::HandoverEnded => {
            Event::new(EventKind::PoolHandoverEnded).detail(format_smolstr!("token {token}"))
        }
        Decision::EvacuationBegun { handed_back, kept } => {
            emptying(EventKind::PoolEvacuationBegun, token, *handed_back, *kept)
        }
        Decision::EvacuationEnded => {
            Event::new(EventKind::PoolEvacuationEnded).detail(format_smolstr!("token {token}"))
        }
        Decision::OwnershipTransferred(successor) => {
            about(EventKind::PoolTransferred, format_smolstr!("{successor}"))
                .detail(format_smolstr!("token {token}"))
        }
        Decision::Paused(span, jobs) => Event::new(EventKind::PauseDetected).detail(
            format_smolstr!("{}, {jobs} jobs given up", span.as_millis()),
        ),
    }
}

fn about(kind: EventKind, party: SmolStr) -> Event {
    Event::new(kind).party(party)
}

fn about_run(kind: EventKind, task: TaskId, executor: &ExecutorId) -> Event {
    about(kind, executor.0.clone())
        .job(format_smolstr!("{}", task.job))
        .task(task.index)
}

/// Makes an event of a pool that takes no new jobs from now on.
fn emptying(kind: EventKind, token: FencingToken, handed_back: usize, kept: usize) -> Event {
    Event::new(kind).detail(format_smolstr!(
        "token {token}, {handed_back} jobs handed back, {kept} end here"
    ))
}
