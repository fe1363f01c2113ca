//! What became of changes, by their ids.

use std::collections::{BTreeMap, VecDeque};

use onyxshed_core::{ChangeId, Revision};

/// How many accepted changes are remembered by id.
///
/// Snapshots carry all of them, so a late reader and one that has read everything ignore the same
/// repeated changes.
pub const RECENT_CHANGES: usize = 256;

/// How many refused changes are remembered by id.
const REFUSED_MAX: usize = 1_024;

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It made this revision.
    Accepted(Revision),
    /// It was based on another revision than the one it found.
    Raced {
        /// The revision it was based on.
        based_on: Revision,
        /// The revision in force when it came.
        found: Revision,
    },
    /// It broke a rule.
    Invalid,
    /// It has not been read, or was too long ago.
    NotSeen,
}

/// The ids of the last accepted changes, oldest first; the last one made the current revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct RecentChanges(VecDeque<ChangeId>);

impl RecentChanges {
    /// Takes over a list that a snapshot or a peer tells.
    pub(super) fn from_list(list: &[ChangeId]) -> Self {
        let surplus = list.len().saturating_sub(RECENT_CHANGES);
        RecentChanges(list.iter().skip(surplus).copied().collect())
    }

    /// Gets the list, oldest first.
    pub(super) fn to_list(&self) -> Vec<ChangeId> {
        self.0.iter().copied().collect()
    }

    /// Gets how many there are.
    pub(super) fn len(&self) -> u64 {
        self.0.len() as u64
    }

    /// Tells whether a change is among them.
    pub(super) fn contains(&self, id: ChangeId) -> bool {
        self.0.contains(&id)
    }

    /// Adds the change that made the newest revision.
    pub(super) fn push(&mut self, id: ChangeId) {
        self.0.push_back(id);
        if self.0.len() > RECENT_CHANGES {
            self.0.pop_front();
        }
    }

    /// Gets the revision that a change made, given the newest revision.
    pub(super) fn revision_of(&self, id: ChangeId, newest: Revision) -> Option<Revision> {
        let since = self.0.iter().rev().position(|recent| *recent == id)?;
        Some(Revision(newest.0.saturating_sub(since as u64)))
    }
}

/// The fates of refused changes, the newest ones.
#[derive(Debug, Clone, Default)]
pub(super) struct Fates {
    by_id: BTreeMap<ChangeId, ChangeOutcome>,
    order: VecDeque<ChangeId>,
}

impl Fates {
    /// Gets the fate of a change.
    pub(super) fn get(&self, id: ChangeId) -> ChangeOutcome {
        self.by_id
            .get(&id)
            .copied()
            .unwrap_or(ChangeOutcome::NotSeen)
    }

    /// Notes the fate of a change; the last one counts if it came more than once.
    pub(super) fn put(&mut self, id: ChangeId, fate: ChangeOutcome) {
        if self.by_id.insert(id, fate).is_none() {
            self.order.push_back(id);
        }
        if self.order.len() > REFUSED_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }
}
