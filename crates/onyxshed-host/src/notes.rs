//! Decisions of a pool as events of the log.

use onyxshed_core::{Event, EventKind};
use onyxshed_pool::{FencingToken, Note};
use smol_str::{SmolStr, format_smolstr};

/// Makes an event of a decision, with the token under which it was made.
pub fn event_of(note: &Note, token: FencingToken) -> Event {
    match note {
        Note::RunOrdered {
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
        Note::RunEnded {
            task,
            run,
            executor,
            why,
        } => Event::new(EventKind::PoolRunEnded)
            .job(format_smolstr!("{}", task.job))
            .task(task.index)
            .party(executor.0.clone())
            .detail(format_smolstr!("run {run}: {why}, token {token}")),
        Note::StrayStopped {
            task,
            run,
            executor,
        } => Event::new(EventKind::PoolStrayStopped)
            .job(format_smolstr!("{}", task.job))
            .task(task.index)
            .party(executor.0.clone())
            .detail(format_smolstr!("run {run}, token {token}")),
        Note::RunMoved {
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
        Note::ExecutorTaken(id) => about(EventKind::PoolExecutorTaken, id.0.clone()),
        Note::ExecutorSilent(id) => about(EventKind::PoolExecutorSilent, id.0.clone()),
        Note::ExecutorBack(id) => about(EventKind::PoolExecutorBack, id.0.clone()),
        Note::ExecutorAvoided(id, span) => about(EventKind::PoolExecutorAvoided, id.0.clone())
            .detail(format_smolstr!("for {span}")),
        Note::ExecutorDraining(id) => about(EventKind::PoolExecutorDraining, id.0.clone()),
        Note::ExecutorGone(id) => about(EventKind::PoolExecutorGone, id.0.clone()),
        Note::PeerSilent(life, jobs) => about(EventKind::PoolPeerSilent, format_smolstr!("{life}"))
            .detail(format_smolstr!("{jobs} jobs given up")),
        Note::HandoverBegun { handed_back, kept } => Event::new(EventKind::PoolHandoverBegun)
            .detail(format_smolstr!(
                "token {token}, {handed_back} jobs handed back, {kept} end here"
            )),
        Note::HandoverEnded => {
            Event::new(EventKind::PoolHandoverEnded).detail(format_smolstr!("token {token}"))
        }
        Note::EvacuationBegun { handed_back, kept } => Event::new(EventKind::PoolEvacuationBegun)
            .detail(format_smolstr!(
                "token {token}, {handed_back} jobs handed back, {kept} end here"
            )),
        Note::EvacuationEnded => {
            Event::new(EventKind::PoolEvacuationEnded).detail(format_smolstr!("token {token}"))
        }
        Note::Transferred(successor) => {
            about(EventKind::PoolTransferred, format_smolstr!("{successor}"))
                .detail(format_smolstr!("token {token}"))
        }
        Note::Paused(span, jobs) => Event::new(EventKind::PauseDetected).detail(format_smolstr!(
            "{}, {jobs} jobs given up",
            span.as_millis()
        )),
    }
}

fn about(kind: EventKind, party: SmolStr) -> Event {
    Event::new(kind).party(party)
}
