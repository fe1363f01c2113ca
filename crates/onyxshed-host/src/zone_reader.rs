//! The list of a zone's executors that the owner of the zone's first pool reads for the owners of the
//! other pools.

use std::cell::RefCell;

use onyxshed_core::{Millis, Mono};
use onyxshed_pool::{FencingToken, ZoneChanges, ZoneExecutors};
use smol_str::SmolStr;

use crate::boot_clock;

/// Answer to an owner that asks for the executors of its zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneAnswer {
    /// Fencing token of the reader, which counts the versions.
    pub token: FencingToken,
    /// Time since the store's entries were last read.
    pub age: Millis,
    /// What has changed.
    pub changes: ZoneChanges,
}

struct ReaderList {
    zone: SmolStr,
    token: FencingToken,
    read_at: Mono,
    executors: ZoneExecutors,
}

/// The list that this host reads for its zone; empty unless it owns the zone's first pool.
#[derive(Default)]
pub struct ZoneReader {
    list: RefCell<Option<ReaderList>>,
}

impl ZoneReader {
    /// Records that entries of a zone's executors have been read by the owner with `token`, and passes
    /// the list to `change`.
    pub fn record_read(
        &self,
        zone: &SmolStr,
        token: FencingToken,
        change: impl FnOnce(&mut ZoneExecutors),
    ) {
        let mut list = self.list.borrow_mut();
        if list.as_ref().is_none_or(|list| list.token != token) {
            *list = Some(ReaderList {
                zone: zone.clone(),
                token,
                read_at: boot_clock::now(),
                executors: ZoneExecutors::default(),
            });
        }
        if let Some(list) = list.as_mut() {
            list.read_at = boot_clock::now();
            change(&mut list.executors);
        }
    }

    /// Returns the number of the zone's executors that accept tasks, or `None` unless the owner with `token`
    /// reads them.
    pub fn accepting_count(&self, token: FencingToken) -> Option<usize> {
        let list = self.list.borrow();
        let list = list.as_ref().filter(|list| list.token == token)?;
        Some(list.executors.accepting_count())
    }

    /// Returns what has changed in a zone after a version that the reader `token` counted. Returns
    /// `None` unless this host reads the zone as owner with the token `owner`.
    pub fn answer(
        &self,
        zone: &str,
        owner: Option<FencingToken>,
        (token, version): (FencingToken, u64),
    ) -> Option<ZoneAnswer> {
        let list = self.list.borrow();
        let list = list
            .as_ref()
            .filter(|list| list.zone == zone && Some(list.token) == owner)?;
        let known = if token == list.token { version } else { 0 };
        Some(ZoneAnswer {
            token: list.token,
            age: boot_clock::now().since(list.read_at).as_millis(),
            changes: list.executors.changes_since(known),
        })
    }
}
