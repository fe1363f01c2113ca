//! The owner that reads a zone's executors for the zone's other owners, and what those rely on.
//!
//! The reader may die, stand still or lose the store. Its answers carry the age of what it knows, and an
//! owner that has got no recent answer reads the store itself.

use onyxshed_core::{Micros, Millis, Mono};
use smol_str::SmolStr;

use crate::id::FencingToken;
use crate::zone_executors::{ZoneChanges, ZoneExecutors};

/// Age of the known entries from which an owner reads the store itself. An executor that drains must get no
/// task after 2 s; the rest covers the periods of both reads, a call that times out and the read.
const ENTRIES_AGE_MAX: Millis = Millis(1_000);

/// Answer of a zone's reader to another owner of the zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneAnswer {
    /// Fencing token of the reader, which counts the versions.
    pub token: FencingToken,
    /// Time since the store's entries were last read.
    pub age: Millis,
    /// What has changed.
    pub changes: ZoneChanges,
}

/// The list of a zone's executors at its reader.
#[derive(Debug)]
pub struct ZoneList {
    zone: SmolStr,
    token: FencingToken,
    read_at: Mono,
    executors: ZoneExecutors,
}

impl ZoneList {
    /// Creates an empty list, read at `now` by the owner with `token`.
    pub fn new(now: Mono, zone: SmolStr, token: FencingToken) -> Self {
        ZoneList {
            zone,
            token,
            read_at: now,
            executors: ZoneExecutors::default(),
        }
    }

    /// Returns the fencing token of the reader.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns the zone.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Returns the executors.
    pub fn executors(&self) -> &ZoneExecutors {
        &self.executors
    }

    /// Returns the executors, to which entries that were read at `now` are applied.
    pub fn record_read(&mut self, now: Mono) -> &mut ZoneExecutors {
        self.read_at = now;
        &mut self.executors
    }

    /// Returns what has changed after a version that the reader `token` counted.
    pub fn answer(&self, now: Mono, (token, version): (FencingToken, u64)) -> ZoneAnswer {
        let known = if token == self.token { version } else { 0 };
        ZoneAnswer {
            token: self.token,
            age: now.since(self.read_at).as_millis(),
            changes: self.executors.changes_since(known),
        }
    }
}

/// What another owner of the zone has got from the reader or the store, and since when it holds.
#[derive(Debug, Default)]
pub struct ZoneView {
    version: Option<(FencingToken, u64)>,
    read_at: Option<Mono>,
    /// When this owner itself last read the entries from the store.
    store_read_at: Option<Mono>,
}

impl ZoneView {
    /// Returns the last version that was accepted, with the token of the reader that counted it; zeros before
    /// the first one.
    pub fn version(&self) -> (FencingToken, u64) {
        self.version.unwrap_or((FencingToken(0), 0))
    }

    /// Records an answer that arrived at `now`. Returns whether its changes are to be applied: an answer that
    /// is too old, or older than what this owner has read itself, is ignored.
    pub fn accept(&mut self, now: Mono, answer: &ZoneAnswer) -> bool {
        let age = Micros::from(answer.age);
        let read_at = Mono(now.0.saturating_sub(age.0));
        if answer.age >= ENTRIES_AGE_MAX || self.store_read_at > Some(read_at) {
            return false;
        }
        self.read_at = Some(read_at);
        self.version = Some((answer.token, answer.changes.version));
        true
    }

    /// Records that the entries were read from the store.
    pub fn record_store_read(&mut self, now: Mono) {
        self.read_at = Some(now);
        self.store_read_at = Some(now);
    }

    /// Returns whether the entries have to be read from the store. A missing answer is waited for first, since
    /// the store's list is large.
    pub fn is_store_read_due(&self, now: Mono) -> bool {
        let is_recent = |at: Mono| now.since(at) < ENTRIES_AGE_MAX.into();
        !self.read_at.is_some_and(is_recent)
    }
}
