//! What this host knows of a topic, how far, and since when that is confirmed.
//!
//! A host can bring a reader up to date from every position from which it knows all changes.

use std::collections::BTreeMap;

use onyxshed_adapter::store::{KeyedRecord, Records};
use onyxshed_core::{Micros, Millis, Mono};
use smol_str::SmolStr;

/// Maximum total size of the records of an update, in bytes. Twelve to thirty hosts follow one owner,
/// and an owner on a small host has a link of 2.5 MB/s. Larger records are read from the store.
const UPDATE_MAX_BYTES: usize = 32 * 1024;

/// What a host knows of a topic beyond the position of a reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicUpdate {
    /// Offset at which the host's knowledge ends.
    pub next: u64,
    /// Time since the store confirmed that the topic ends there.
    pub age: Millis,
    /// Newest record of each key from the reader's position on; empty if there are none, if they are too
    /// large, or if not all changes from there on are known.
    pub records: Vec<KeyedRecord>,
}

/// The newest records of a topic, and the position from which it is read on.
#[derive(Debug, Default)]
pub struct TopicLog {
    /// Offset of the first record that is not known; `None` before the first read.
    next: Option<u64>,
    /// Lowest position from which every change is known.
    first: u64,
    newest: BTreeMap<SmolStr, KeyedRecord>,
    confirmed_at: Mono,
    /// Whether another host knows records that it could not pass on.
    is_behind: bool,
}

impl TopicLog {
    /// Returns the offset from which the topic is read on, or `None` before the first read.
    pub fn position(&self) -> Option<u64> {
        self.next
    }

    /// Begins anew with the newest record of each key. Removed keys are not known then.
    pub fn begin(&mut self, now: Mono, newest: &Records) {
        let records = newest.records.iter();
        self.newest = records
            .map(|record| (record.key.clone(), record.clone()))
            .collect();
        self.first = newest.next;
        self.next = Some(newest.next);
        self.confirmed_at = now;
        self.is_behind = false;
    }

    /// Begins with an empty topic: the store creates a topic with its first record.
    pub fn begin_empty(&mut self, now: Mono) {
        self.next.get_or_insert(0);
        self.confirmed_at = now;
    }

    /// Adds records up to the offset `next`, which `confirmed_at` was the end of the topic. Returns the
    /// records that were not known.
    pub fn advance(
        &mut self,
        records: Vec<KeyedRecord>,
        next: u64,
        confirmed_at: Mono,
    ) -> Vec<KeyedRecord> {
        let known = self.next.unwrap_or_default();
        if next < known {
            return Vec::new();
        }
        let mut new = records;
        new.retain(|record| record.offset >= known);
        for record in &new {
            self.newest.insert(record.key.clone(), record.clone());
        }
        self.next = Some(next);
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        self.is_behind = false;
        new
    }

    /// Applies the update of another host that arrived at `now`. Returns the records that were not
    /// known; empty if the other host knows less, or does not pass on what it knows.
    pub fn apply_update(&mut self, now: Mono, update: TopicUpdate) -> Vec<KeyedRecord> {
        let Some(known) = self.next else {
            return Vec::new();
        };
        if update.records.is_empty() && update.next > known {
            self.is_behind = true;
            return Vec::new();
        }
        let confirmed_at = Mono(now.0.saturating_sub(Micros::from(update.age).0));
        let mut records = update.records;
        records.sort_by_key(|record| record.offset);
        self.advance(records, update.next, confirmed_at)
    }

    /// Returns what is known beyond `position`, without records if changes from there on are not all known;
    /// `None` before the first read.
    pub fn update_since(&self, now: Mono, position: u64) -> Option<TopicUpdate> {
        let next = self.next?;
        let newer = self.newest.values();
        let records: Vec<KeyedRecord> = newer
            .filter(|record| record.offset >= position)
            .cloned()
            .collect();
        let is_passed_on = position >= self.first && byte_size(&records) <= UPDATE_MAX_BYTES;
        Some(TopicUpdate {
            next,
            age: now.since(self.confirmed_at).as_millis(),
            records: if is_passed_on { records } else { Vec::new() },
        })
    }

    /// Returns when the topic has to be read from the store, if a change may stay unknown for `limit`;
    /// `None` if at once.
    pub fn read_due(&self, limit: Millis) -> Option<Mono> {
        let is_known = self.next.is_some() && !self.is_behind;
        is_known.then_some(self.confirmed_at + limit)
    }
}

/// Returns the total size of the values of records, in bytes.
fn byte_size(records: &[KeyedRecord]) -> usize {
    let values = records.iter().filter_map(|record| record.value.as_ref());
    values.map(Vec::len).sum()
}
