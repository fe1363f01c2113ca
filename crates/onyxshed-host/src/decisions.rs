//! Decisions of a pool as events of the log.

use onyxshed_core::{Event, EventKind};
use onyxshed_pool::{Decision, FencingToken};
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
        } => Event::new(EventKind::PoolRunOrdered)
            .job(format_smolstr!("{}", task.job))
            .task(task.index)
            .party(executor.0.clone())
            .detail(format_smolstr!(
                "run {run}, expected {}, waited {}, token {token}",
                expected.as_millis(),
                waited.as_millis()
            )),
        Decision::RunEnded {
            task,
            run,
            executor,
            why,
        } => Event::new(EventKind::PoolRunEnded)
            .job(format_smolstr!("{}", task.job))
            .task(task.index)
            .party(executor.0.clone())
            .detail(format_smolstr!("run {run}: {why}, token {token}")),
        Decision::StrayStopped {
            task,
            run,
            executor,
        } => Event::new(EventKind::PoolStrayStopped)
            .job(format_smolstr!("{}", task.job))
            .task(task.index)
            .party(executor.0.clone())
            .detail(format_smolstr!("run {run}, token {token}")),
        Decision::RunMoved {
            task,
            run,
            executor,
            left,
        } => Event::new(EventKind::PoolRunMoved)
            .job(format_smolstr!("{}", task.job))
            .task(task.index)
            .party(executor.0.clone())
            .detail(format_smolstr!(
                "run {run}, {} left there, token {token}",
                left.as_millis()
            )),
        Decision::ExecutorTaken(id) => about(EventKind::PoolExecutorTaken, id.0.clone()),
        Decision::ExecutorSilent(id) => about(EventKind::PoolExecutorSilent, id.0.clone()),
        Decision::ExecutorBack(id) => about(EventKind::PoolExecutorBack, id.0.clone()),
        Decision::ExecutorAvoided(id, span) => about(EventKind::PoolExecutorAvoided, id.0.clone())
            .detail(format_smolstr!("for {span}")),
        Decision::ExecutorDraining(id) => about(EventKind::PoolExecutorDraining, id.0.clone()),
        Decision::ExecutorGone(id) => about(EventKind::PoolExecutorGone, id.0.clone()),
        Decision::PeerSilent(life, jobs) => {
            about(EventKind::PoolPeerSilent, format_smolstr!("{life}"))
                .detail(format_smolstr!("{jobs} jobs given up"))
        }
        Decision::HandoverBegun { handed_back, kept } => Event::new(EventKind::PoolHandoverBegun)
            .detail(format_smolstr!(
                "token {token}, {handed_back} jobs handed back, {kept} end here"
            )),
        Decision::HandoverEnded => {
            Event::new(EventKind::PoolHandoverEnded).detail(format_smolstr!("token {token}"))
        }
        Decision::EvacuationBegun { handed_back, kept } => {
            Event::new(EventKind::PoolEvacuationBegun).detail(format_smolstr!(
                "token {token}, {handed_back} jobs handed back, {kept} end here"
            ))
        }
        Decision::EvacuationEnded => {
            Event::new(EventKind::PoolEvacuationEnded).detail(format_smolstr!("token {token}"))
        }
        Decision::Transferred(successor) => {
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
