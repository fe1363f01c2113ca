//! The executors of a zone in numbered versions, as one owner reads them for the zone's other owners.
//!
//! Executors renew their entries in the platform's store every few seconds, and a reader of the
//! entries gets every renewal of every zone. If each owner read them, the store would send a number
//! of records that grows with the executors times the pools. One owner of a zone reads them, and
//! the others ask it for what changed after the version that they know. A renewal that changes
//! nothing is not a change.

use std::collections::{BTreeMap, BTreeSet};

use crate::executor::ExecutorFacts;
use crate::id::ExecutorId;

/// Maximum number of removed executors that are remembered. A reader that knows an older version gets
/// the complete list.
const REMOVALS_MAX: usize = 1_024;

/// What changed after a version, or the complete list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneChanges {
    /// Version that includes the changes.
    pub version: u64,
    /// Executors that were listed, or whose facts changed.
    pub listed: Vec<(ExecutorId, ExecutorFacts)>,
    /// Executors that are no longer listed.
    pub unlisted: Vec<ExecutorId>,
    /// Whether `listed` are all executors of the zone, so that every other one is no longer listed.
    pub is_complete: bool,
}

/// The executors of a zone, each with the version in which it last changed.
#[derive(Debug, Default)]
pub struct ZoneExecutors {
    version: u64,
    listed: BTreeMap<ExecutorId, (u64, ExecutorFacts)>,
    /// Removed executors, by the version in which they were removed.
    removed: BTreeMap<u64, ExecutorId>,
    /// Oldest version after which every removal is remembered.
    complete_after: u64,
}

impl ZoneExecutors {
    /// Returns the number of executors that accept tasks, which determines the shard layout. An executor that
    /// drains is listed beside its replacement for a while, and must not make the zone look larger.
    pub fn accepting_count(&self) -> usize {
        let facts = self.listed.values().map(|(_, facts)| facts);
        facts.filter(|facts| !facts.is_draining).count()
    }

    /// Adds or updates an executor. The version increases only if the facts are new.
    pub fn record_listed(&mut self, id: ExecutorId, facts: ExecutorFacts) {
        let is_known = self
            .listed
            .get(&id)
            .is_some_and(|(_, known)| *known == facts);
        if !is_known {
            self.version += 1;
            self.listed.insert(id, (self.version, facts));
        }
    }

    /// Removes an executor, if it is listed.
    pub fn record_unlisted(&mut self, id: &ExecutorId) {
        if self.listed.remove(id).is_none() {
            return;
        }
        self.version += 1;
        self.removed.insert(self.version, id.clone());
        if self.removed.len() > REMOVALS_MAX
            && let Some((version, _)) = self.removed.pop_first()
        {
            self.complete_after = version;
        }
    }

    /// Removes every executor that is not in `present`.
    pub fn retain(&mut self, present: &BTreeSet<ExecutorId>) {
        let gone = self.listed.keys().filter(|id| !present.contains(id));
        let gone: Vec<ExecutorId> = gone.cloned().collect();
        for id in gone {
            self.record_unlisted(&id);
        }
    }

    /// Returns what changed after `version`, or the complete list if that is not known.
    pub fn changes_since(&self, version: u64) -> ZoneChanges {
        let is_complete = version < self.complete_after || version > self.version || version == 0;
        let from = if is_complete { 0 } else { version };
        let listed = self.listed.iter().filter(|(_, (at, _))| *at > from);
        let unlisted = match is_complete {
            true => Vec::new(),
            false => self.removed_after(version),
        };
        ZoneChanges {
            version: self.version,
            listed: listed
                .map(|(id, (_, facts))| (id.clone(), facts.clone()))
                .collect(),
            unlisted,
            is_complete,
        }
    }

    /// Returns the executors that were removed after `version` and have not been listed again.
    fn removed_after(&self, version: u64) -> Vec<ExecutorId> {
        let removed = self.removed.range(version + 1..).map(|(_, id)| id);
        removed
            .filter(|id| !self.listed.contains_key(*id))
            .cloned()
            .collect()
    }
}
