//! How many pools each zone has, as its owners have written it into the store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use onyxshed_adapter::Store;
use onyxshed_adapter::store::{KeyedRecord, Records};
use onyxshed_core::Millis;
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_pool::{PoolId, ShardLayout};
use smol_str::SmolStr;

use crate::names::SHARD_LAYOUTS;
use crate::store_watch::{ANSWER_TIMEOUT, StoreWatch};
use crate::topic::{self, TopicOptions, TopicReader};

/// Topic of this system's own records.
const TOPIC: &str = "keyed.onyxshed.pools";

/// Time between two reads while no zone was ever divided.
const ABSENT_TOPIC_PERIOD: Duration = Duration::from_millis(3_000);

/// How long a read waits at the store for a change; divisions change with the size of a deployment,
/// seldom.
const LONG_POLL_WAIT: Millis = Millis(10_000);

/// Handle to the divisions known.
pub struct ShardLayouts {
    zones: Vec<SmolStr>,
    known: RefCell<BTreeMap<SmolStr, ShardLayout>>,
}

impl ShardLayouts {
    /// Makes a handle for a deployment's zones, none of which is known to be divided.
    pub fn new(zones: Vec<SmolStr>) -> Rc<Self> {
        Rc::new(ShardLayouts {
            zones,
            known: RefCell::default(),
        })
    }

    /// Gets a zone's division.
    pub fn layout_of(&self, zone: &str) -> ShardLayout {
        self.known.borrow().get(zone).copied().unwrap_or_default()
    }

    /// Gets every pool of every zone.
    pub fn pools(&self) -> Vec<PoolId> {
        let zones = self.zones.iter();
        let pools = zones.flat_map(|zone| {
            (0..self.layout_of(zone).pools).map(|index| PoolId {
                zone: zone.clone(),
                index,
            })
        });
        pools.collect()
    }

    /// Gets every division known.
    pub fn known(&self) -> Vec<(SmolStr, ShardLayout)> {
        let known = self.known.borrow();
        known
            .iter()
            .map(|(zone, division)| (zone.clone(), *division))
            .collect()
    }

    /// Takes in a zone's division; an older one than is known changes nothing.
    pub fn apply(&self, zone: &SmolStr, division: ShardLayout) {
        let mut known = self.known.borrow_mut();
        let held = known.entry(zone.clone()).or_default();
        if division.version > held.version {
            *held = division;
        }
    }

    /// Tries to write a zone's division into the store, in place of the one before it.
    ///
    /// The record is written only where nothing was written since the version before it was read: two owners
    /// that divide the zone under one version would each hold the same executors.
    pub async fn publish(
        &self,
        store: &mut Store,
        zone: &SmolStr,
        division: ShardLayout,
    ) -> onyxshed_adapter::Result<()> {
        let end = self.refresh(store).await?;
        if self.layout_of(zone).version + 1 != division.version {
            return Ok(());
        }
        let text = division.to_text();
        let is_written = store
            .append_keyed(TOPIC, Some(end), zone, text.as_bytes(), ANSWER_TIMEOUT)
            .await?;
        if is_written {
            self.apply(zone, division);
        }
        Ok(())
    }

    /// Reads the store's records once, and gets where they end.
    pub async fn refresh(&self, store: &mut Store) -> onyxshed_adapter::Result<u64> {
        // Before anything was written no zone is divided.
        let Some(newest) = store.newest_if_any(TOPIC, ANSWER_TIMEOUT).await? else {
            return Ok(0);
        };
        let next = newest.next;
        self.apply_snapshot(newest);
        Ok(next)
    }
}

impl TopicReader for ShardLayouts {
    fn apply_snapshot(&self, newest: Records) {
        for record in newest.records {
            self.apply_record(record);
        }
    }

    fn apply_record(&self, record: KeyedRecord) {
        let text = record.value.and_then(|value| String::from_utf8(value).ok());
        if let Some(division) = text.as_deref().and_then(ShardLayout::from_text) {
            self.apply(&record.key, division);
        }
    }
}

/// The divisions as a service.
pub struct ShardLayoutService {
    shard_layouts: Rc<ShardLayouts>,
    store: SocketAddr,
}

impl ShardLayoutService {
    /// Makes the service.
    pub fn new(divisions: Rc<ShardLayouts>, store: SocketAddr) -> Self {
        ShardLayoutService {
            shard_layouts: divisions,
            store,
        }
    }
}

impl Service for ShardLayoutService {
    fn name(&self) -> ServiceName {
        SHARD_LAYOUTS
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let watch = StoreWatch::new(kernel, "divisions");
            let topic = TopicOptions {
                name: TOPIC,
                wait: LONG_POLL_WAIT,
                absent_period: Some(ABSENT_TOPIC_PERIOD),
            };
            let follow = topic::follow(topic, self.store, watch, self.shard_layouts.clone());
            kernel.spawn(follow).detach();
            let descriptor = Descriptor {
                name: SHARD_LAYOUTS,
                summary: "how many pools each zone has",
            };
            kernel.register(descriptor, self.shard_layouts.clone())
        })
    }
}
