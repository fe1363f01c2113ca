//! Pending claims: those that wait to be appended or read back.

use std::collections::{BTreeMap, VecDeque};

use onyxshed_core::{Mono, SubmissionId};
use onyxshed_wire::record::Claim;
use ulid::Ulid;

/// A claim whose outcome a job is waiting for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingClaim {
    /// The claim as it is written to the log.
    pub(crate) claim: Claim,
    deadline: Mono,
    is_sent: bool,
}

/// Pending claims in the order in which they were queued.
///
/// `unsent` and `deadlines` may contain ids whose claims were decided in the meantime; such ids are
/// skipped when they reach the front.
#[derive(Debug, Default)]
pub(crate) struct ClaimQueue {
    pending: BTreeMap<Ulid, PendingClaim>,
    unsent: VecDeque<Ulid>,
    deadlines: VecDeque<(Mono, Ulid)>,
}

impl ClaimQueue {
    /// Returns the number of pending claims, whether or not they have been sent.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the pending claim on an id, or `None` if no job waits for a claim on it.
    pub(crate) fn get(&self, id: Ulid) -> Option<&PendingClaim> {
        self.pending.get(&id)
    }

    /// Adds a claim that fails unless it is decided before `deadline`.
    pub(crate) fn push(&mut self, claim: Claim, deadline: Mono) {
        let id = claim.submission.ulid;
        let pending = PendingClaim {
            claim,
            deadline,
            is_sent: false,
        };
        self.pending.insert(id, pending);
        self.unsent.push_back(id);
        self.deadlines.push_back((deadline, id));
    }

    /// Removes a claim that was decided or whose job was abandoned.
    pub(crate) fn remove(&mut self, id: Ulid) -> Option<PendingClaim> {
        self.pending.remove(&id)
    }

    /// Returns whether any pending claim has not been sent.
    pub(crate) fn has_unsent(&mut self) -> bool {
        while let Some(id) = self.unsent.front() {
            if self.pending.get(id).is_some_and(|pending| !pending.is_sent) {
                return true;
            }
            self.unsent.pop_front();
        }
        false
    }

    /// Marks the next unsent claim as sent and returns it.
    pub(crate) fn pop_unsent(&mut self) -> Option<Claim> {
        if !self.has_unsent() {
            return None;
        }
        let id = self.unsent.pop_front()?;
        let pending = self.pending.get_mut(&id)?;
        pending.is_sent = true;
        Some(pending.claim)
    }

    /// Puts claims that were provably not appended back at the front of the unsent queue.
    pub(crate) fn requeue(&mut self, claims: &[Claim]) {
        for claim in claims.iter().rev() {
            let id = claim.submission.ulid;
            let Some(pending) = self.pending.get_mut(&id) else {
                continue;
            };
            pending.is_sent = false;
            self.unsent.push_front(id);
        }
    }

    /// Removes every claim whose deadline has passed and returns their submissions.
    pub(crate) fn take_overdue(&mut self, now: Mono) -> Vec<SubmissionId> {
        let mut overdue = Vec::new();
        while self.next_deadline().is_some_and(|deadline| deadline <= now) {
            let pending = self
                .deadlines
                .pop_front()
                .and_then(|(_, id)| self.remove(id));
            overdue.extend(pending.map(|pending| pending.claim.submission));
        }
        overdue
    }

    /// Returns the earliest deadline of a pending claim, or `None` if no claim is pending.
    pub(crate) fn next_deadline(&mut self) -> Option<Mono> {
        while let Some((deadline, id)) = self.deadlines.front() {
            if self
                .pending
                .get(id)
                .is_some_and(|p| p.deadline == *deadline)
            {
                return Some(*deadline);
            }
            self.deadlines.pop_front();
        }
        None
    }

    /// Removes every claim and returns their submissions.
    pub(crate) fn take_all(&mut self) -> Vec<SubmissionId> {
        self.unsent.clear();
        self.deadlines.clear();
        let pending = std::mem::take(&mut self.pending);
        pending.values().map(|p| p.claim.submission).collect()
    }
}
