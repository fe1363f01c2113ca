//! Shard layouts: the number of pools of each zone. The owner of a zone's first pool publishes the
//! layout in the store, and every host follows it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use onyxshed_adapter::Store;
use onyxshed_adapter::store::{KeyedRecord, Records};
use onyxshed_core::Millis;
use onyxshed_http::client::with_timeout;
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Notifier, Result, Service, ServiceName};
use onyxshed_pool::{PoolId, ShardLayout};
use smol_str::SmolStr;

use crate::names::SHARD_LAYOUTS;
use crate::store_calls::StorePurpose;
use crate::store_watch::{ANSWER_TIMEOUT, StoreWatch};
use crate::topic::{TopicOptions, TopicReader, Topics};

/// Topic of the shard layouts, with the zone as key.
const TOPIC: &str = "keyed.onyxshed.pools";

/// Interval between two reads while the topic does not exist, since no layout has been published.
const ABSENT_TOPIC_PERIOD: Duration = Duration::from_millis(3_000);

/// How long a layout may stay unknown. Layouts change rarely, with the size of a deployment.
const UNKNOWN_MAX: Millis = Millis(10_000);

/// The shard layouts that this host knows; a zone without a known layout has the default layout.
pub struct ShardLayouts {
    zones: Vec<SmolStr>,
    known: RefCell<BTreeMap<SmolStr, ShardLayout>>,
    /// Whether the published layouts have been read.
    is_read: Cell<bool>,
    read: Notifier,
}

impl ShardLayouts {
    /// Creates a handle for a deployment's zones, each with the default layout.
    pub fn new(zones: Vec<SmolStr>) -> Rc<Self> {
        Rc::new(ShardLayouts {
            zones,
            known: RefCell::default(),
            is_read: Cell::new(false),
            read: Notifier::default(),
        })
    }

    /// Returns the shard layout of a zone, or the default layout if none is known.
    pub fn layout_of(&self, zone: &str) -> ShardLayout {
        self.known.borrow().get(zone).copied().unwrap_or_default()
    }

    /// Returns the pools of all zones.
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

    /// Waits until the published layouts have been read, for at most `timeout`. Before that, every zone seems
    /// to have a single pool.
    pub async fn wait_until_read(&self, timeout: Duration) {
        let read = self.read.subscribe();
        if !self.is_read.get() {
            with_timeout(timeout, read.wait()).await;
        }
    }

    fn mark_read(&self) {
        self.is_read.set(true);
        self.read.notify();
    }

    /// Returns the zones with a known shard layout, and the layouts.
    pub fn known(&self) -> Vec<(SmolStr, ShardLayout)> {
        let known = self.known.borrow();
        known
            .iter()
            .map(|(zone, layout)| (zone.clone(), *layout))
            .collect()
    }

    /// Applies a zone's shard layout if its version is higher than that of the known layout.
    pub fn apply(&self, zone: &SmolStr, layout: ShardLayout) {
        let mut known = self.known.borrow_mut();
        let current = known.entry(zone.clone()).or_default();
        if layout.version > current.version {
            *current = layout;
        }
    }

    /// Publishes `layout` in the store as the next version of a zone's shard layout. Does nothing
    /// if the version in the store is not the version before `layout.version`.
    ///
    /// The write is conditional on the topic's end being unchanged since the read: two owners that
    /// reshard the zone under the same version would each claim the same executors.
    pub async fn publish(
        &self,
        store: &mut Store,
        zone: &SmolStr,
        layout: ShardLayout,
    ) -> onyxshed_adapter::Result<()> {
        let end = self.refresh(store).await?;
        if self.layout_of(zone).version + 1 != layout.version {
            return Ok(());
        }
        let text = layout.to_text();
        let is_written = store
            .append_keyed(TOPIC, Some(end), zone, text.as_bytes(), ANSWER_TIMEOUT)
            .await?;
        if is_written {
            self.apply(zone, layout);
        }
        Ok(())
    }

    /// Reads and applies the published layouts once. Returns the offset at which the topic ends.
    pub async fn refresh(&self, store: &mut Store) -> onyxshed_adapter::Result<u64> {
        // Without the topic, no layout has been published yet.
        let Some(newest) = store.read_newest_if_exists(TOPIC, ANSWER_TIMEOUT).await? else {
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
        self.mark_read();
    }

    fn apply_absence(&self) {
        self.mark_read();
    }

    fn apply_record(&self, record: KeyedRecord) {
        let text = record.value.and_then(|value| String::from_utf8(value).ok());
        if let Some(layout) = text.as_deref().and_then(ShardLayout::from_text) {
            self.apply(&record.key, layout);
        }
    }
}

/// Service that follows the published shard layouts.
pub struct ShardLayoutService {
    shard_layouts: Rc<ShardLayouts>,
    store: SocketAddr,
    topics: Rc<Topics>,
}

impl ShardLayoutService {
    /// Creates the service, which reads the layouts from the store at address `store`.
    pub fn new(shard_layouts: Rc<ShardLayouts>, store: SocketAddr, topics: Rc<Topics>) -> Self {
        ShardLayoutService {
            shard_layouts,
            store,
            topics,
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
                purpose: StorePurpose::Layouts,
                unknown_max: UNKNOWN_MAX,
                absent_period: Some(ABSENT_TOPIC_PERIOD),
            };
            let topics = self.topics.clone();
            let follow = topics.follow(topic, self.store, watch, self.shard_layouts.clone());
            kernel.spawn(follow).detach();
            let descriptor = Descriptor {
                name: SHARD_LAYOUTS,
                summary: "number of pools of each zone",
            };
            kernel.register(descriptor, self.shard_layouts.clone())
        })
    }
}
