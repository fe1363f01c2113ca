//! The list of executors that this host reads for the owners of its zone's other pools.

use std::cell::RefCell;

use onyxshed_pool::{FencingToken, ZoneAnswer, ZoneExecutors, ZoneList};
use smol_str::SmolStr;

use crate::boot_clock;

/// Handle to the list; empty unless this host owns the zone's first pool.
#[derive(Default)]
pub struct ZoneReader {
    list: RefCell<Option<ZoneList>>,
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
        let now = boot_clock::now();
        let mut list = self.list.borrow_mut();
        let current = list.take().filter(|list| list.token() == token);
        let current = current.unwrap_or_else(|| ZoneList::new(now, zone.clone(), token));
        change(list.insert(current).record_read(now));
    }

    /// Forgets the list when the pool is given up.
    pub fn clear(&self) {
        self.list.take();
    }

    /// Returns the number of the zone's executors that accept tasks, or `None` unless the owner with `token`
    /// reads them.
    pub fn accepting_count(&self, token: FencingToken) -> Option<usize> {
        let list = self.list.borrow();
        let list = list.as_ref().filter(|list| list.token() == token)?;
        Some(list.executors().accepting_count())
    }

    /// Returns what has changed in a zone after a version; see [`ZoneList::answer`]. Returns `None` unless this
    /// host reads the zone as owner with the token `owner`.
    pub fn answer(
        &self,
        zone: &str,
        owner: Option<FencingToken>,
        known: (FencingToken, u64),
    ) -> Option<ZoneAnswer> {
        let list = self.list.borrow();
        let list = list.as_ref()?;
        let is_reader = list.zone() == zone && Some(list.token()) == owner;
        is_reader.then(|| list.answer(boot_clock::now(), known))
    }
}
