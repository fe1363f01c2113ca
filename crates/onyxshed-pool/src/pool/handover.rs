//! Handover of a pool to its next owner while both owners are running.
//!
//! A handover takes place when an owner is stopped as planned or the store elects another host. The
//! runs of the old owner are leased under its fencing token, and the first order of the next owner
//! raises the token at an executor and fences the old owner off. The next owner therefore asks
//! which executors are still in use and sends no orders to those. The old owner completes the jobs
//! that it has started, starts no others, and releases each executor once nothing runs on it.

use std::collections::BTreeSet;

use onyxshed_core::{Millis, Mono};
use smol_str::SmolStr;

use super::Pool;
use crate::executor::Phase;
use crate::id::{ExecutorId, FencingToken, PeerIncarnation};
use crate::job::{NotRunReason, UnknownReason};
use crate::message::{Action, Decision};
use crate::successor::OwnershipTransfer;

/// Progress of an owner towards giving up its pool. The stage never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum HandoverStage {
    /// The owner serves the pool.
    Serving,
    /// The owner is stopping and needs to be replaced, but still admits jobs.
    Draining,
    /// The owner admits no new jobs.
    Closed,
    /// The next owner has requested the executors and acquires each of them when it becomes idle.
    Releasing,
}

/// Executors that the previous owner of the pool still uses, as far as this new owner knows.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) enum Predecessor {
    /// There is no previous owner, or it has released every executor.
    #[default]
    None,
    /// The previous owner answers, but has not yet named the executors that it uses.
    Unknown,
    /// The previous owner uses these executors.
    Holds(BTreeSet<ExecutorId>),
}

impl Predecessor {
    /// Returns whether the previous owner may still use an executor.
    pub fn can_hold(&self, id: &ExecutorId) -> bool {
        match self {
            Predecessor::None => false,
            Predecessor::Unknown => true,
            Predecessor::Holds(in_use) => in_use.contains(id),
        }
    }
}

impl Pool {
    /// Records that this owner is stopping. It serves the pool until another host takes over.
    pub fn begin_drain(&mut self) {
        self.stage = self.stage.max(HandoverStage::Draining);
    }

    /// Sets whether this owner has to select a successor among the hosts that offer themselves,
    /// because the store has not elected the next owner.
    pub fn set_successor_needed(&mut self, is_needed: bool) {
        self.successor_selection.set_needed(is_needed);
    }

    /// Selects a successor if one is needed, and returns the transfer for the host `incarnation`,
    /// from which a heartbeat just arrived. Returns `None` if that host is not the successor, if
    /// this owner has stepped down, or if its token permits no further successor.
    ///
    /// `members` are the member names, in the pool's group in the store, of this owner and of the
    /// earlier owners that the store may still regard as the owner.
    pub fn transfer_ownership(
        &mut self,
        now: Mono,
        incarnation: PeerIncarnation,
        members: Vec<SmolStr>,
    ) -> Option<OwnershipTransfer> {
        let token = self.token.successor()?;
        if let Some(successor) = self.successor_selection.select(now, incarnation) {
            self.log(Decision::OwnershipTransferred(successor));
        }
        if self.has_stepped_down || !self.successor_selection.is_successor(incarnation) {
            return None;
        }
        let listed = self.executors.iter();
        let listed = listed.filter(|(_, executor)| executor.unlisted_at.is_none());
        Some(OwnershipTransfer {
            token,
            past_members: members,
            executors: listed
                .map(|(id, executor)| (id.clone(), executor.current_facts()))
                .collect(),
        })
    }

    /// Returns whether the next owner has requested the executors ([`Pool::release`]).
    pub fn is_releasing(&self) -> bool {
        self.stage == HandoverStage::Releasing
    }

    /// Hands the executors over to the next owner, whose token is `next`, and returns the actions
    /// and the executors that this owner still uses. The host calls this for each query of the next
    /// owner.
    ///
    /// The first call ends the jobs that have not started as not run; this owner completes the
    /// others. Idle executors are released once no started job has waiting tasks.
    pub fn release(&mut self, now: Mono, next: FencingToken) -> (Vec<Action>, Vec<ExecutorId>) {
        self.apply_elapsed_time(now);
        if self.token.successor() == Some(next) {
            self.successor_selection.record_takeover();
        }
        if !self.is_releasing() {
            self.stage = HandoverStage::Releasing;
            let returned_jobs =
                self.return_unstarted_jobs(NotRunReason::NotOwner, UnknownReason::OwnerChanged);
            let remaining_jobs = self.jobs.len();
            self.log(Decision::HandoverBegun {
                returned_jobs,
                remaining_jobs,
            });
        }
        self.place(now);
        // Waiting tasks of started jobs may need the idle executors, so these are released only
        // when no started job has waiting tasks.
        if self.jobs.values().all(|job| job.waiting == 0) {
            self.executors.remove_idle();
        }
        let in_use = self.executors.keys().cloned().collect();
        (self.take_actions(), in_use)
    }

    /// Makes this new owner wait for its predecessor, which still answers: no executor gets an order before
    /// [`Pool::apply_predecessor_executors`] names those that the predecessor uses.
    pub fn await_predecessor(&mut self) {
        self.predecessor = Predecessor::Unknown;
    }

    /// Applies the set of executors that the previous owner still uses, and begins to acquire the
    /// others. An empty set ends the handover.
    pub fn apply_predecessor_executors(
        &mut self,
        now: Mono,
        in_use: BTreeSet<ExecutorId>,
    ) -> Vec<Action> {
        self.apply_elapsed_time(now);
        if self.predecessor == Predecessor::None {
            return self.take_actions();
        }
        let is_done = in_use.is_empty();
        self.predecessor = Predecessor::Holds(in_use);
        let released: Vec<ExecutorId> = self
            .executors
            .iter()
            .filter(|(id, executor)| {
                executor.phase == Phase::Withheld && !self.predecessor.can_hold(id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in released {
            if let Some(mut executor) = self.executors.get_mut(&id) {
                executor.phase = Phase::Acquiring;
            }
            self.send_hold(now, &id, Millis(0));
        }
        if is_done {
            self.predecessor = Predecessor::None;
            self.log(Decision::HandoverEnded);
        }
        self.take_actions()
    }
}
