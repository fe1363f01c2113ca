//! Remembers the outcomes of recent changes by their ids, so that a repeated change is ignored and
//! an operator's command can report the result of its change.

use std::collections::{BTreeMap, VecDeque};

use onyxshed_core::{ChangeId, Revision};

/// Number of accepted changes that are remembered by id.
///
/// Snapshots contain all of their ids, so a process that starts late ignores the same repeated
/// changes as a process that has read every record.
pub const RECENT_CHANGES: usize = 256;

/// Number of rejected changes that are remembered by id.
const REJECTED_MAX: usize = 1_024;

/// Outcome of a change, as far as the log has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was accepted and created this revision.
    Accepted(Revision),
    /// The change was rejected, because it was based on another revision than the one in force.
    Raced {
        /// The revision that the change was based on.
        based_on: Revision,
        /// The revision in force when the change was read.
        found: Revision,
    },
    /// The change violated a rule and was rejected.
    Invalid,
    /// The change has not been read, or was read too long ago to be remembered.
    NotSeen,
}

/// Ids of the last [`RECENT_CHANGES`] accepted changes, oldest first. The last id is that of the
/// change that created the current revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct RecentChanges(VecDeque<ChangeId>);

impl RecentChanges {
    /// Creates the list from the ids in a snapshot or in a peer's message, keeping the newest.
    pub(super) fn from_list(ids: &[ChangeId]) -> Self {
        let surplus = ids.len().saturating_sub(RECENT_CHANGES);
        RecentChanges(ids.iter().skip(surplus).copied().collect())
    }

    /// Returns the ids, oldest first.
    pub(super) fn to_list(&self) -> Vec<ChangeId> {
        self.0.iter().copied().collect()
    }

    /// Returns the number of remembered ids, at most [`RECENT_CHANGES`].
    pub(super) fn len(&self) -> u64 {
        self.0.len() as u64
    }

    /// Returns whether a change is among the last [`RECENT_CHANGES`] accepted changes.
    pub(super) fn contains(&self, id: ChangeId) -> bool {
        self.0.contains(&id)
    }

    /// Adds the change that created the newest revision.
    pub(super) fn push(&mut self, id: ChangeId) {
        self.0.push_back(id);
        if self.0.len() > RECENT_CHANGES {
            self.0.pop_front();
        }
    }

    /// Returns the revision that a change created, given the newest revision. `None` if the change
    /// is not remembered.
    pub(super) fn revision_of(&self, id: ChangeId, newest: Revision) -> Option<Revision> {
        let age = self.0.iter().rev().position(|recent| *recent == id)?;
        Some(Revision(newest.0.saturating_sub(age as u64)))
    }
}

/// Outcomes of the newest rejected changes.
#[derive(Debug, Clone, Default)]
pub(super) struct RejectedChanges {
    by_id: BTreeMap<ChangeId, ChangeOutcome>,
    order: VecDeque<ChangeId>,
}

impl RejectedChanges {
    /// Returns the outcome of a rejected change, or [`ChangeOutcome::NotSeen`] if it is not
    /// remembered.
    pub(super) fn outcome_of(&self, id: ChangeId) -> ChangeOutcome {
        self.by_id
            .get(&id)
            .copied()
            .unwrap_or(ChangeOutcome::NotSeen)
    }

    /// Records the outcome of a rejected change, replacing an earlier outcome of the same change.
    pub(super) fn record(&mut self, id: ChangeId, outcome: ChangeOutcome) {
        if self.by_id.insert(id, outcome).is_none() {
            self.order.push_back(id);
        }
        if self.order.len() > REJECTED_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }
}
