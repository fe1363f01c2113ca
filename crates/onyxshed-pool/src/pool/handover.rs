//! Passing a pool on to its next owner while both live.
//!
//! Answers planned stops, and a store that gives the pool to another host. The old owner's runs are
//! leased under its token; the next owner's first order at an executor raises the token there and
//! ends the old owner's say. So the next owner asks which executors are still in use, and sends no
//! order to those: the old owner finishes what it has begun, starts nothing new, and an executor
//! changes hands when nothing runs on it.

use std::collections::BTreeSet;

use onyxshed_core::{Millis, Mono};
use smol_str::SmolStr;

use super::Pool;
use crate::executor::Phase;
use crate::id::{ExecutorId, FencingToken, PeerIncarnation};
use crate::job::NotRunReason;
use crate::message::{Action, Decision};
use crate::successor::OwnershipTransfer;

/// How far an owner has let go of its pool; it only goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stage {
    /// It means to stay.
    Serving,
    /// It wants to be replaced, and still takes jobs.
    Leaving,
    /// It takes no new jobs.
    Closing,
    /// The next owner is taking the executors over as they fall idle.
    Releasing,
}

/// The owner before this one, as far as it matters.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) enum Predecessor {
    /// There is none, or it has let go of everything.
    #[default]
    None,
    /// It answers, and has not told yet what it holds.
    Unheard,
    /// It holds these.
    Holds(BTreeSet<ExecutorId>),
}

impl Predecessor {
    /// Tells whether an executor may be in its use.
    pub fn may_hold(&self, id: &ExecutorId) -> bool {
        match self {
            Predecessor::None => false,
            Predecessor::Unheard => true,
            Predecessor::Holds(held) => held.contains(id),
        }
    }
}

impl Pool {
    /// Notes that this owner is stopping; it serves on until another host takes over.
    pub fn begin_drain(&mut self) {
        self.stage = self.stage.max(Stage::Leaving);
    }

    /// Says whether a successor is needed among the hosts that offer themselves, for want of the store.
    pub fn set_successor_needed(&mut self, is_sought: bool) {
        self.successor_choice.seek(is_sought);
    }

    /// Gets what a host that was just heard is given, if it is the successor; `members` are the names in the
    /// pool's group of this owner and of those that it succeeds, as far as the store may know them.
    pub fn transfer_ownership(
        &mut self,
        now: Mono,
        life: PeerIncarnation,
        members: Vec<SmolStr>,
    ) -> Option<OwnershipTransfer> {
        let token = self.token.of_successor()?;
        if let Some(successor) = self.successor_choice.name(now, life) {
            self.log(Decision::OwnershipTransferred(successor));
        }
        if self.is_over || !self.successor_choice.is_successor(life) {
            return None;
        }
        let listed = self.executors.iter();
        let listed = listed.filter(|(_, executor)| executor.unlisted_at.is_none());
        Some(OwnershipTransfer {
            token,
            past_members: members,
            executors: listed
                .map(|(id, executor)| (id.clone(), executor.present_facts()))
                .collect(),
        })
    }

    /// Tells whether the next owner is taking over.
    pub fn is_releasing(&self) -> bool {
        self.stage == Stage::Releasing
    }

    /// Lets go of what the next owner, under its token, may take; gets the executors that it may not
    /// take yet.
    ///
    /// Jobs that have begun end here, the others are handed back as not run, and idle executors serve the
    /// next owner at once.
    pub fn release(&mut self, now: Mono, next: FencingToken) -> (Vec<Action>, Vec<ExecutorId>) {
        self.notice_pause(now);
        if self.token.of_successor() == Some(next) {
            self.successor_choice.begun();
        }
        if !self.is_releasing() {
            self.stage = Stage::Releasing;
            let handed_back = self.hand_back_unstarted(NotRunReason::NotOwner);
            let kept = self.jobs.len();
            self.log(Decision::HandoverBegun { handed_back, kept });
        }
        self.place(now);
        // What waits of the jobs that have begun takes the first room there is.
        if self.jobs.values().all(|job| job.waiting == 0) {
            self.executors
                .retain(|_, executor| !executor.runs.is_empty());
        }
        let held = self.executors.keys().cloned().collect();
        (self.take_actions(), held)
    }

    /// Begins as the next owner of a pool whose last one answers: no executor gets an order before
    /// that owner has told what it holds.
    pub fn await_predecessor(&mut self) {
        self.predecessor = Predecessor::Unheard;
    }

    /// Takes in which executors the last owner still uses; the others are taken over.
    pub fn apply_predecessor_executors(
        &mut self,
        now: Mono,
        held: BTreeSet<ExecutorId>,
    ) -> Vec<Action> {
        if self.predecessor == Predecessor::None {
            return self.take_actions();
        }
        let is_done = held.is_empty();
        self.predecessor = Predecessor::Holds(held);
        let released: Vec<ExecutorId> = self
            .executors
            .iter()
            .filter(|(id, executor)| {
                executor.phase == Phase::Withheld && !self.predecessor.may_hold(id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in released {
            if let Some(executor) = self.executors.get_mut(&id) {
                executor.phase = Phase::Taking;
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
