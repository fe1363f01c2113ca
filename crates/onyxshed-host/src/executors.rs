//! Follows the executors' entries in the platform's store, while this host owns a pool.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use onyxshed_adapter::store::{EXECUTORS_TOPIC, KeyedRecord, Records};
use onyxshed_adapter::{Error, ExecutorEntry, Store};
use onyxshed_core::{Event, EventKind, Millis};
use onyxshed_kernel::Kernel;
use onyxshed_pool::{ExecutorFacts, ExecutorId, FencingToken, PoolId, ShardLayout};
use smol_str::{SmolStr, format_smolstr};

use crate::engine::Engine;
use crate::shard_layouts::ShardLayouts;
use crate::store_watch::{ANSWER_TIMEOUT, StoreWatch};

/// Time between two reads. A heartbeat of each executor comes every 1.5 s; a draining executor
/// must get no new task after 2 s.
const READ_PERIOD: Duration = Duration::from_millis(300);

/// Most unreadable entries that are remembered, and told of.
const UNREADABLE_MAX: usize = 64;

/// The list of all executors, as it is being read.
pub type ExecutorsRead = Task<onyxshed_adapter::Result<Records>>;

/// Executors that a new owner knows when it begins.
pub enum InitialExecutors {
    /// None.
    None,
    /// The list, as it is being read.
    Reading(ExecutorsRead),
    /// Those of its predecessor.
    FromPredecessor(Vec<(ExecutorId, ExecutorFacts)>),
}

/// Tries to read the list of all executors.
pub async fn read_all(address: SocketAddr) -> onyxshed_adapter::Result<Records> {
    Store::new(address)
        .newest(EXECUTORS_TOPIC, ANSWER_TIMEOUT)
        .await
}

/// Follows the entries for one pool until it has another owner.
pub async fn follow(
    kernel: Kernel,
    engine: Rc<Engine>,
    divisions: Rc<ShardLayouts>,
    (token, pool, division): (FencingToken, PoolId, ShardLayout),
    known: InitialExecutors,
    address: SocketAddr,
) {
    let watch = StoreWatch::new(&kernel, "executors");
    let mut store = Store::new(address);
    let mut follower = Follower {
        kernel,
        engine,
        shard_layouts: divisions,
        token,
        pool,
        layout: division,
        pool_executors: BTreeSet::new(),
        zone_executors: BTreeSet::new(),
        unreadable: BTreeSet::new(),
    };
    let mut list = match known {
        InitialExecutors::None => None,
        InitialExecutors::Reading(list) => Some(list),
        InitialExecutors::FromPredecessor(known) => {
            follower.apply_predecessor_list(known);
            None
        }
    };
    while follower.is_owner() {
        let followed = follower.follow_once(&mut store, &watch, list.take()).await;
        let Err(error) = followed else {
            return;
        };
        watch.pause_before_reread(&error).await;
    }
}

struct Follower {
    kernel: Kernel,
    engine: Rc<Engine>,
    shard_layouts: Rc<ShardLayouts>,
    token: FencingToken,
    pool: PoolId,
    layout: ShardLayout,
    /// Executors of the pool.
    pool_executors: BTreeSet<SmolStr>,
    /// Executors of the whole zone, by which it is divided.
    zone_executors: BTreeSet<SmolStr>,
    /// Ids whose newest entry can't be read.
    unreadable: BTreeSet<SmolStr>,
}

impl Follower {
    fn is_owner(&self) -> bool {
        self.engine.token() == Some(self.token)
    }

    /// Reads the newest state, unless that has begun before, and every change from there on, until a call
    /// fails; ends well when the pool has another owner.
    async fn follow_once(
        &mut self,
        store: &mut Store,
        watch: &StoreWatch,
        list: Option<ExecutorsRead>,
    ) -> onyxshed_adapter::Result<()> {
        let newest = match list {
            Some(list) => list.await?,
            None => store.newest(EXECUTORS_TOPIC, ANSWER_TIMEOUT).await?,
        };
        self.apply_snapshot(&newest.records);
        let mut next = newest.next;
        while self.is_owner() {
            if self.step_down_if_resharded(store).await? {
                return Ok(());
            }
            watch.record_answer();
            Timer::after(READ_PERIOD).await;
            let read = store
                .read_keyed(EXECUTORS_TOPIC, next, Millis(0), ANSWER_TIMEOUT)
                .await?;
            next = read.next;
            read.records
                .iter()
                .for_each(|record| self.apply_record(record));
        }
        Ok(())
    }

    /// Gives the pool up if its zone has another division by now; the owner of the zone's first
    /// pool makes one when the number of executors asks for it.
    async fn step_down_if_resharded(&self, store: &mut Store) -> onyxshed_adapter::Result<bool> {
        if self.pool.index == 0
            && let Some(renewed) = self.layout.resharded(self.zone_executors.len())
        {
            self.shard_layouts
                .publish(store, &self.pool.zone, renewed)
                .await?;
        }
        let is_new = self.shard_layouts.layout_of(&self.pool.zone) != self.layout;
        if is_new {
            self.engine.step_down("the zone is divided anew");
        }
        Ok(is_new)
    }

    /// Takes in what the last owner has told; the store's list corrects it when it can be read.
    fn apply_predecessor_list(&mut self, known: Vec<(ExecutorId, ExecutorFacts)>) {
        if known.is_empty() {
            return;
        }
        for (id, facts) in known {
            self.pool_executors.insert(id.0.clone());
            self.engine.list_executor(id, facts);
        }
        self.engine.mark_executors_read();
    }

    /// Takes in the whole list: whoever is not on it is no longer listed.
    fn apply_snapshot(&mut self, records: &[KeyedRecord]) {
        let present: BTreeSet<&SmolStr> = records.iter().map(|record| &record.key).collect();
        let gone: Vec<SmolStr> = self
            .pool_executors
            .iter()
            .filter(|id| !present.contains(id))
            .cloned()
            .collect();
        self.zone_executors.retain(|id| present.contains(id));
        for id in gone {
            self.unlist(&id);
        }
        records.iter().for_each(|record| self.apply_record(record));
        self.engine.mark_executors_read();
    }

    fn apply_record(&mut self, record: &KeyedRecord) {
        let Some(value) = &record.value else {
            return self.unlist(&record.key);
        };
        // An entry that can't be read comes from a foreign writer and names no executor; what is
        // known of an executor of that id stays.
        let entry = match ExecutorEntry::parse(value) {
            Ok(entry) => entry,
            Err(error) => return self.log_unreadable(&record.key, &error),
        };
        self.unreadable.remove(&record.key);
        if entry.zone != self.pool.zone {
            return;
        }
        self.zone_executors.insert(record.key.clone());
        let id = ExecutorId(record.key.clone());
        if self.layout.index_of(&id) != self.pool.index {
            return;
        }
        self.pool_executors.insert(record.key.clone());
        self.engine.list_executor(id, facts_of(entry));
    }

    /// Writes one line for an entry that can't be read, until it can.
    fn log_unreadable(&mut self, id: &SmolStr, error: &Error) {
        if self.unreadable.len() < UNREADABLE_MAX && self.unreadable.insert(id.clone()) {
            let event = Event::new(EventKind::PoolExecutorUnreadable).party(id.clone());
            self.kernel.emit(event.detail(format_smolstr!("{error}")));
        }
    }

    fn unlist(&mut self, id: &SmolStr) {
        self.zone_executors.remove(id);
        if self.pool_executors.remove(id) {
            self.engine.unlist_executor(&ExecutorId(id.clone()));
        }
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
        started_at: entry.born,
    }
}
