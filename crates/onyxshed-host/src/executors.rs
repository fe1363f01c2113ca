//! Follows the executors' entries in the platform's store, while this host owns a pool.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_adapter::store::{EXECUTORS_TOPIC, KeyedRecord};
use onyxshed_adapter::{Error, ExecutorEntry, Store};
use onyxshed_core::Millis;
use onyxshed_kernel::Kernel;
use onyxshed_pool::{ExecutorFacts, ExecutorId, FencingToken};
use smol_str::SmolStr;

use crate::engine::Engine;
use crate::store_watch::StoreWatch;

/// Time between two reads. A heartbeat of each executor comes every 1.5 s; a draining executor
/// must get no new task after 2 s.
const READ_PERIOD: Duration = Duration::from_millis(300);

/// How long an answer of the store may take; its slowest ones take about 300 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows the entries for the pool of one zone until it has another owner.
pub async fn follow(
    kernel: Kernel,
    engine: Rc<Engine>,
    token: FencingToken,
    zone: SmolStr,
    address: SocketAddr,
) {
    let watch = StoreWatch::new(&kernel, "executors");
    let mut store = Store::new(address);
    let mut follower = Follower {
        engine,
        token,
        zone,
        listed: BTreeSet::new(),
    };
    while follower.is_needed() {
        let Err(error) = follower.follow_once(&mut store, &watch).await else {
            return;
        };
        if !matches!(error, Error::Trimmed { .. }) {
            watch.failed(&error);
            Timer::after(RETRY_PAUSE).await;
        }
    }
}

struct Follower {
    engine: Rc<Engine>,
    token: FencingToken,
    zone: SmolStr,
    listed: BTreeSet<SmolStr>,
}

impl Follower {
    fn is_needed(&self) -> bool {
        self.engine.token() == Some(self.token)
    }

    /// Reads the newest state and every change from there on, until a call fails; ends well when
    /// the pool has another owner.
    async fn follow_once(
        &mut self,
        store: &mut Store,
        watch: &StoreWatch,
    ) -> onyxshed_adapter::Result<()> {
        let newest = store.newest(EXECUTORS_TOPIC, ANSWER_TIMEOUT).await?;
        self.take_newest(&newest.records);
        let mut next = newest.next;
        while self.is_needed() {
            watch.answered();
            Timer::after(READ_PERIOD).await;
            let read = store
                .read_keyed(EXECUTORS_TOPIC, next, Millis(0), ANSWER_TIMEOUT)
                .await?;
            next = read.next;
            read.records.iter().for_each(|record| self.take(record));
        }
        Ok(())
    }

    /// Takes in the whole list: whoever is not on it is no longer listed.
    fn take_newest(&mut self, records: &[KeyedRecord]) {
        let present: BTreeSet<&SmolStr> = records.iter().map(|record| &record.key).collect();
        let gone: Vec<SmolStr> = self
            .listed
            .iter()
            .filter(|id| !present.contains(id))
            .cloned()
            .collect();
        for id in gone {
            self.unlist(&id);
        }
        records.iter().for_each(|record| self.take(record));
    }

    fn take(&mut self, record: &KeyedRecord) {
        let Some(value) = &record.value else {
            return self.unlist(&record.key);
        };
        // An entry that can't be read comes from a foreign writer and names no executor; what is
        // known of an executor of that id stays.
        let Ok(entry) = ExecutorEntry::parse(value) else {
            return;
        };
        if entry.zone != self.zone {
            return;
        }
        self.listed.insert(record.key.clone());
        self.engine
            .executor_listed(ExecutorId(record.key.clone()), facts_of(entry));
    }

    fn unlist(&mut self, id: &SmolStr) {
        if self.listed.remove(id) {
            self.engine.executor_unlisted(&ExecutorId(id.clone()));
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
        born: entry.born,
    }
}
