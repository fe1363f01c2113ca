//! Follows the executors' entries in the platform's store while this host owns a pool.
//!
//! A follower runs for each period of ownership, and passes the executors of the pool to the
//! engine. The store sends every renewal of every entry, so only the owner of a zone's first pool
//! reads them; the owners of the zone's other pools ask it for changes, and read the store while it
//! does not answer or is itself out of date.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use onyxshed_adapter::store::{EXECUTORS_TOPIC, KeyedRecord, Records};
use onyxshed_adapter::{Error, ExecutorEntry, Store};
use onyxshed_core::{Event, EventKind, Millis};
use onyxshed_kernel::Kernel;
use onyxshed_pool::{
    ExecutorFacts, ExecutorId, FencingToken, PoolId, ShardLayout, ZoneChanges, ZoneExecutors,
    ZoneView,
};
use smol_str::{SmolStr, format_smolstr};

use crate::boot_clock;
use crate::engine::Engine;
use crate::links::Links;
use crate::shard_layouts::ShardLayouts;
use crate::store_calls::{self, StorePurpose};
use crate::store_watch::{ANSWER_TIMEOUT, StoreWatch};

/// Interval between two reads. Each executor sends a heartbeat every 1.5 s; a draining executor
/// must receive no new task after 2 s.
const READ_PERIOD: Duration = Duration::from_millis(300);

/// Index of the pool whose owner reads the entries for the zone.
const FIRST_POOL: u32 = 0;

/// Maximum number of unreadable entries that are tracked and logged.
const UNREADABLE_MAX: usize = 64;

/// A pending read of the list of all executors.
pub type ExecutorsRead = Task<onyxshed_adapter::Result<Records>>;

/// Executors that a new owner knows at its start.
pub enum InitialExecutors {
    /// The owner knows no executors yet.
    None,
    /// The list of all executors, whose read has been started.
    Reading(ExecutorsRead),
    /// The executors that the previous owner has sent with the ownership transfer.
    FromPredecessor(Vec<(ExecutorId, ExecutorFacts)>),
}

/// Reads the list of all executors from the store.
pub async fn read_all(address: SocketAddr) -> onyxshed_adapter::Result<Records> {
    store_calls::open(address, StorePurpose::Executors)
        .read_newest(EXECUTORS_TOPIC, ANSWER_TIMEOUT)
        .await
}

/// Follows the executors' entries for one pool until this host no longer owns it under `token`.
pub async fn follow(
    kernel: Kernel,
    engine: Rc<Engine>,
    links: Rc<Links>,
    shard_layouts: Rc<ShardLayouts>,
    (token, pool, layout): (FencingToken, PoolId, ShardLayout),
    initial: InitialExecutors,
    address: SocketAddr,
) {
    let watch = StoreWatch::new(&kernel, "executors");
    let mut store = store_calls::open(address, StorePurpose::Executors);
    let mut follower = Follower {
        kernel,
        engine,
        links,
        shard_layouts,
        token,
        pool,
        layout,
        pool_executors: BTreeSet::new(),
        unreadable: BTreeSet::new(),
        position: None,
        initial_list: None,
        view: ZoneView::default(),
    };
    match initial {
        InitialExecutors::None => {}
        InitialExecutors::Reading(list) => follower.initial_list = Some(list),
        InitialExecutors::FromPredecessor(initial) => follower.apply_predecessor_list(initial),
    }
    while follower.is_owner() {
        let Err(error) = follower.follow_sources(&mut store, &watch).await else {
            return;
        };
        if matches!(error, Error::Trimmed { .. }) {
            follower.position = None;
        }
        watch.pause_before_reread(&error).await;
    }
}

struct Follower {
    kernel: Kernel,
    engine: Rc<Engine>,
    links: Rc<Links>,
    shard_layouts: Rc<ShardLayouts>,
    token: FencingToken,
    pool: PoolId,
    layout: ShardLayout,
    /// Executors that are listed for the pool.
    pool_executors: BTreeSet<SmolStr>,
    /// Ids of the executors whose newest entry cannot be parsed.
    unreadable: BTreeSet<SmolStr>,
    /// Offset in the store from which entries are read on; `None` before the list has been read.
    position: Option<u64>,
    /// List whose read was started before this host became the owner.
    initial_list: Option<ExecutorsRead>,
    /// What the zone's reader has sent, unless this owner is the reader.
    view: ZoneView,
}

impl Follower {
    fn is_owner(&self) -> bool {
        self.engine.token() == Some(self.token)
    }

    /// Returns whether this owner reads the entries for the owners of its zone's other pools.
    fn is_zone_reader(&self) -> bool {
        self.pool.index == FIRST_POOL
    }

    /// Reads every change until a call to the store fails. Returns `Ok` when this host no longer owns
    /// the pool under this token.
    async fn follow_sources(
        &mut self,
        store: &mut Store,
        watch: &StoreWatch,
    ) -> onyxshed_adapter::Result<()> {
        while self.is_owner() {
            if !self.is_zone_reader() {
                self.read_from_zone_reader().await;
            }
            if self.is_zone_reader() || self.view.is_store_read_due(boot_clock::now()) {
                self.read_from_store(store).await?;
                watch.record_answer();
            }
            if self.step_down_if_resharded(store).await? {
                return Ok(());
            }
            Timer::after(READ_PERIOD).await;
        }
        Ok(())
    }

    /// Asks the owner of the zone's first pool for changes, and applies them unless they are too old.
    async fn read_from_zone_reader(&mut self) {
        let Some(link) = self.links.link_to(&first_pool(&self.pool.zone)) else {
            return;
        };
        let version = self.view.version();
        let answer = link.zone_executors(&self.pool.zone, version).await;
        let Some(answer) = answer.filter(|_| self.is_owner()) else {
            return;
        };
        if self.view.accept(boot_clock::now(), &answer) {
            self.apply_changes(answer.changes);
        }
    }

    /// Reads the list, or the entries that have changed since the last read.
    async fn read_from_store(&mut self, store: &mut Store) -> onyxshed_adapter::Result<()> {
        let read = match (self.position, self.initial_list.take()) {
            (None, Some(list)) => list.await?,
            (None, None) => store.read_newest(EXECUTORS_TOPIC, ANSWER_TIMEOUT).await?,
            (Some(position), _) => {
                store
                    .read_keyed(EXECUTORS_TOPIC, position, Millis(0), ANSWER_TIMEOUT)
                    .await?
            }
        };
        if !self.is_owner() {
            return Ok(());
        }
        if self.position.replace(read.next).is_none() {
            self.remove_missing(&read.records);
        }
        let (entries, unreadable) = newest_entries(&read.records);
        for (id, error) in unreadable {
            self.log_unreadable(id, &error);
        }
        for (id, entry) in entries {
            self.apply_entry(id, entry);
        }
        self.view.record_store_read(boot_clock::now());
        self.update_zone(|_| {});
        self.engine.mark_executors_read();
        Ok(())
    }

    /// Passes the zone's list to `change` if this owner reads it for the zone's other owners.
    fn update_zone(&self, change: impl FnOnce(&mut ZoneExecutors)) {
        if self.is_zone_reader() {
            let reader = self.engine.zone_reader();
            reader.record_read(&self.pool.zone, self.token, change);
        }
    }

    /// Gives up the pool and returns `true` if the shard layout of its zone has changed. The owner
    /// of the zone's first pool publishes a new layout when the number of executors requires one.
    async fn step_down_if_resharded(&self, store: &mut Store) -> onyxshed_adapter::Result<bool> {
        let count = self.engine.zone_reader().accepting_count(self.token);
        if let Some(count) = count
            && let Some(new_layout) = self.layout.resharded(count)
        {
            self.shard_layouts
                .publish(store, &self.pool.zone, new_layout)
                .await?;
        }
        let is_resharded = self.shard_layouts.layout_of(&self.pool.zone) != self.layout;
        if is_resharded {
            self.engine.step_down("the zone was resharded");
        }
        Ok(is_resharded)
    }

    /// Applies the executors that the previous owner has sent. The store's list corrects them once
    /// it can be read.
    fn apply_predecessor_list(&mut self, executors: Vec<(ExecutorId, ExecutorFacts)>) {
        if executors.is_empty() {
            return;
        }
        for (id, facts) in executors {
            self.record_listed(id, facts);
        }
        self.engine.mark_executors_read();
    }

    /// Applies what the zone's reader has sent.
    fn apply_changes(&mut self, changes: ZoneChanges) {
        if changes.is_complete {
            let present: BTreeSet<&SmolStr> = changes.listed.iter().map(|(id, _)| &id.0).collect();
            self.retain(&present);
        }
        for id in &changes.unlisted {
            self.remove_unlisted(&id.0);
        }
        for (id, facts) in changes.listed {
            if self.layout.index_of(&id) == self.pool.index {
                self.record_listed(id, facts);
            }
        }
        self.engine.mark_executors_read();
    }

    /// Removes the executors that a complete list does not contain.
    fn remove_missing(&mut self, list: &[KeyedRecord]) {
        let present: BTreeSet<&SmolStr> = list.iter().map(|record| &record.key).collect();
        self.retain(&present);
        let ids = present.into_iter().cloned().map(ExecutorId).collect();
        self.update_zone(|zone| zone.retain(&ids));
    }

    fn retain(&mut self, present: &BTreeSet<&SmolStr>) {
        let missing = self.pool_executors.iter();
        let missing: Vec<SmolStr> = missing
            .filter(|id| !present.contains(id))
            .cloned()
            .collect();
        for id in missing {
            self.remove_unlisted(&id);
        }
    }

    /// Applies the newest entry of an executor; `None` if it was removed.
    fn apply_entry(&mut self, id: &SmolStr, entry: Option<ExecutorEntry>) {
        let Some(entry) = entry else {
            return self.remove_unlisted(id);
        };
        self.unreadable.remove(id);
        if entry.zone != self.pool.zone {
            return;
        }
        let id = ExecutorId(id.clone());
        let facts = facts_of(entry);
        self.update_zone(|zone| zone.record_listed(id.clone(), facts.clone()));
        if self.layout.index_of(&id) == self.pool.index {
            self.record_listed(id, facts);
        }
    }

    fn record_listed(&mut self, id: ExecutorId, facts: ExecutorFacts) {
        self.pool_executors.insert(id.0.clone());
        self.engine.record_listed_executor(id, facts);
    }

    /// Logs an entry that cannot be parsed, once until it can be parsed again.
    fn log_unreadable(&mut self, id: &SmolStr, error: &Error) {
        if self.unreadable.len() < UNREADABLE_MAX && self.unreadable.insert(id.clone()) {
            let event = Event::new(EventKind::PoolExecutorUnreadable).party(id.clone());
            self.kernel.emit(event.detail(format_smolstr!("{error}")));
        }
    }

    /// Removes an executor that is no longer listed.
    fn remove_unlisted(&mut self, id: &SmolStr) {
        let executor = ExecutorId(id.clone());
        self.update_zone(|zone| zone.record_unlisted(&executor));
        if self.pool_executors.remove(id) {
            self.engine.record_unlisted_executor(&executor);
        }
    }
}

/// Newest entry of each executor, by its id; `None` if it was removed.
type NewestEntries<'a> = BTreeMap<&'a SmolStr, Option<ExecutorEntry>>;

/// Returns the newest entry of each executor in `records`, and the ids and errors of the records that cannot
/// be parsed. An executor that drains must not get a task because of an older entry.
///
/// A record that cannot be parsed was not written by an executor and describes none, so an older entry with
/// its id still holds.
pub fn newest_entries(records: &[KeyedRecord]) -> (NewestEntries<'_>, Vec<(&SmolStr, Error)>) {
    let mut entries = NewestEntries::new();
    let mut unreadable = Vec::new();
    for record in records {
        match record
            .value
            .as_deref()
            .map(ExecutorEntry::parse)
            .transpose()
        {
            Ok(entry) => {
                entries.insert(&record.key, entry);
            }
            Err(error) => unreadable.push((&record.key, error)),
        }
    }
    (entries, unreadable)
}

/// Returns the pool whose owner reads the executors' entries for the other owners of its zone.
pub fn first_pool(zone: &SmolStr) -> PoolId {
    PoolId {
        zone: zone.clone(),
        index: FIRST_POOL,
    }
}

fn facts_of(entry: ExecutorEntry) -> ExecutorFacts {
    ExecutorFacts {
        rack: entry.rack().cloned(),
        address: entry.address,
        upstream: entry.upstream,
        capacity: entry.capacity,
        labels: entry.labels,
        is_draining: entry.is_draining,
        started_at: entry.started_at,
    }
}
