//! Claims that wait to be appended or read back.

use std::collections::{BTreeMap, VecDeque};

use onyxshed_core::{Mono, SubmissionId};
use onyxshed_wire::record::Claim;
use ulid::Ulid;

/// A claim that a job waits for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pending {
    /// The claim.
    pub(crate) claim: Claim,
    until: Mono,
    is_sent: bool,
}

/// Claims that jobs wait for, in the order they came.
///
/// The two queues may hold ids that were settled since; they are skipped when they come up.
#[derive(Debug, Default)]
pub(crate) struct ClaimQueue {
    pending: BTreeMap<Ulid, Pending>,
    unsent: VecDeque<Ulid>,
    deadlines: VecDeque<(Mono, Ulid)>,
}

impl ClaimQueue {
    /// Gets the number of claims that jobs wait for.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Gets the claim that a job waits for.
    pub(crate) fn get(&self, id: Ulid) -> Option<&Pending> {
        self.pending.get(&id)
    }

    /// Adds a claim whose job waits until `until`.
    pub(crate) fn push(&mut self, claim: Claim, until: Mono) {
        let id = claim.submission.ulid;
        let pending = Pending {
            claim,
            until,
            is_sent: false,
        };
        self.pending.insert(id, pending);
        self.unsent.push_back(id);
        self.deadlines.push_back((until, id));
    }

    /// Takes a claim out: it was settled or its job gave up.
    pub(crate) fn remove(&mut self, id: Ulid) -> Option<Pending> {
        self.pending.remove(&id)
    }

    /// Tells whether a claim waits to be sent.
    pub(crate) fn has_unsent(&mut self) -> bool {
        while let Some(id) = self.unsent.front() {
            if self.pending.get(id).is_some_and(|pending| !pending.is_sent) {
                return true;
            }
            self.unsent.pop_front();
        }
        false
    }

    /// Takes the next claim to send.
    pub(crate) fn pop_unsent(&mut self) -> Option<Claim> {
        if !self.has_unsent() {
            return None;
        }
        let id = self.unsent.pop_front()?;
        let pending = self.pending.get_mut(&id)?;
        pending.is_sent = true;
        Some(pending.claim)
    }

    /// Puts claims back that were provably not appended.
    pub(crate) fn unsend(&mut self, claims: &[Claim]) {
        for claim in claims.iter().rev() {
            let id = claim.submission.ulid;
            let Some(pending) = self.pending.get_mut(&id) else {
                continue;
            };
            pending.is_sent = false;
            self.unsent.push_front(id);
        }
    }

    /// Takes out every claim whose job has waited too long.
    pub(crate) fn take_overdue(&mut self, now: Mono) -> Vec<SubmissionId> {
        let mut overdue = Vec::new();
        while self.next_deadline().is_some_and(|until| until <= now) {
            let pending = self
                .deadlines
                .pop_front()
                .and_then(|(_, id)| self.remove(id));
            overdue.extend(pending.map(|pending| pending.claim.submission));
        }
        overdue
    }

    /// Gets when the next job will have waited too long.
    pub(crate) fn next_deadline(&mut self) -> Option<Mono> {
        while let Some((until, id)) = self.deadlines.front() {
            if self.pending.get(id).is_some_and(|p| p.until == *until) {
                return Some(*until);
            }
            self.deadlines.pop_front();
        }
        None
    }

    /// Takes out every claim.
    pub(crate) fn take_all(&mut self) -> Vec<SubmissionId> {
        self.unsent.clear();
        self.deadlines.clear();
        let pending = std::mem::take(&mut self.pending);
        pending.values().map(|p| p.claim.submission).collect()
    }
}
