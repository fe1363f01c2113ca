//! Follows keyed topics of the platform's store.
//!
//! Owners of pools follow the topics with long polling. Every other host follows the owner of its
//! home pool ([`crate::topic_relay`]), so that the calls to the store do not grow with the number of
//! hosts; it reads the store itself while that owner does not answer or is itself out of date.

mod log;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use onyxshed_adapter::store::{KeyedRecord, Records};
use onyxshed_adapter::{Error, Store};
use onyxshed_core::Millis;
use onyxshed_kernel::Notifier;

use crate::boot_clock;
use crate::store_calls::{self, StorePurpose};
use crate::store_watch::{ANSWER_TIMEOUT, RETRY_PAUSE, StoreWatch};

pub use log::{TopicLog, TopicUpdate};

/// HTTP status of a topic that has never been written to.
const NO_SUCH_TOPIC: u16 = 404;

/// Time within which a read on a new connection finds a change at a store that answers, on a host at its CPU
/// limit.
const FRESH_READ_MAX: Duration = Duration::from_millis(400);

/// Time after the wait of a read on an unresponsive connection until a read on a new one has found a change.
const UNRESPONSIVE_READ_COST: Duration = ANSWER_TIMEOUT
    .saturating_add(RETRY_PAUSE)
    .saturating_add(FRESH_READ_MAX);

/// Longest time for which an owner waits for a change before it confirms that there is none.
const CONFIRMATION_PERIOD_MAX: Millis = Millis(1_000);

/// Consumer of the records of a topic.
pub trait TopicReader {
    /// Applies the newest record of each key. Called first, and again after the store has deleted
    /// records that were not read.
    fn apply_snapshot(&self, newest: Records);

    /// Applies a record that was written after the snapshot.
    fn apply_record(&self, record: KeyedRecord);

    /// Notes that the topic does not exist yet.
    fn apply_absence(&self) {}
}

/// A topic and how it is followed.
#[derive(Debug, Clone, Copy)]
pub struct TopicOptions {
    /// Name of the topic in the store.
    pub name: &'static str,
    /// What its calls to the store are counted as.
    pub purpose: StorePurpose,
    /// How long a change may stay unknown while the store is reachable on a new connection. A read
    /// waits in the store for half of this time, so that the hosts that follow a reader get each
    /// confirmation before the last one is out of date.
    pub unknown_max: Millis,
    /// Interval between two reads of a topic that does not exist; `None` if the topic must exist,
    /// so that its absence is an error.
    pub absent_period: Option<Duration>,
}

impl TopicOptions {
    /// Returns how long a read waits in the store for a change.
    fn read_wait(&self) -> Millis {
        Millis(self.unknown_max.0 / 2)
    }

    /// Returns the time within which a change is known, if the store answers on new connections.
    ///
    /// A host that follows its owner reads the store on a new connection when its knowledge is as old as
    /// [`Self::unknown_max`], or earlier if the owner does not answer. A host that reads the store notices an
    /// unresponsive connection by the timeout of a read.
    pub fn known_within(&self) -> Duration {
        let followed = Duration::from(self.unknown_max) + FRESH_READ_MAX;
        let read = Duration::from(self.read_wait()) + UNRESPONSIVE_READ_COST;
        followed.max(read)
    }

    /// Returns the longest [`Self::unknown_max`] with which a change is known within `limit`; 0 if there is
    /// none.
    pub fn unknown_max_for(limit: Millis) -> Millis {
        let limit = Duration::from(limit);
        let followed = limit.saturating_sub(FRESH_READ_MAX);
        let read = limit.saturating_sub(UNRESPONSIVE_READ_COST) * 2;
        let longest = followed.min(read).as_millis();
        Millis(u64::try_from(longest).unwrap_or(u64::MAX))
    }
}

/// A topic that is followed, and what is known of it.
struct FollowedTopic {
    options: TopicOptions,
    reader: Rc<dyn TopicReader>,
    log: RefCell<TopicLog>,
}

impl FollowedTopic {
    fn apply(&self, records: Vec<KeyedRecord>) {
        for record in records {
            self.reader.apply_record(record);
        }
    }
}

/// The topics that this host follows.
#[derive(Default)]
pub struct Topics {
    followed: RefCell<BTreeMap<&'static str, Rc<FollowedTopic>>>,
    /// Whether the owner of the home pool answers, so that the topics are followed through it.
    is_relayed: Cell<bool>,
    /// Notified when a topic has to be read from the store.
    read_needed: Notifier,
    /// Notified when a topic has new records.
    advanced: Notifier,
}

impl Topics {
    /// Creates the handle; no topic is followed.
    pub fn new() -> Rc<Self> {
        Rc::new(Topics::default())
    }

    /// Passes a topic's records to a reader until the process ends.
    pub async fn follow(
        self: Rc<Self>,
        options: TopicOptions,
        address: SocketAddr,
        watch: StoreWatch,
        reader: Rc<dyn TopicReader>,
    ) -> Infallible {
        let topic = Rc::new(FollowedTopic {
            options,
            reader,
            log: RefCell::default(),
        });
        let followed = topic.clone();
        self.followed.borrow_mut().insert(options.name, followed);
        let mut store = store_calls::open(address, options.purpose);
        loop {
            if let Err(error) = self.follow_store(&topic, &mut store, &watch).await {
                if matches!(error, Error::Trimmed { .. }) {
                    *topic.log.borrow_mut() = TopicLog::default();
                }
                watch.pause_before_reread(&error).await;
            }
        }
    }

    /// Reads the newest record of each key, unless the position is known, and then every change until
    /// a call fails.
    async fn follow_store(
        &self,
        topic: &FollowedTopic,
        store: &mut Store,
        watch: &StoreWatch,
    ) -> onyxshed_adapter::Result<()> {
        loop {
            if self.wait_while_relayed(topic).await {
                // The connection may have become unresponsive while it was idle.
                store.disconnect();
            }
            let position = topic.log.borrow().position();
            let read = match position {
                None => self.read_newest(topic, store).await,
                Some(position) => self.read_from(topic, store, position).await,
            };
            match (read, topic.options.absent_period) {
                (
                    Err(Error::Status {
                        status: NO_SUCH_TOPIC,
                    }),
                    Some(period),
                ) => {
                    watch.record_answer();
                    topic.log.borrow_mut().begin_empty(boot_clock::now());
                    topic.reader.apply_absence();
                    Timer::after(period).await;
                }
                (read, _) => {
                    read?;
                    watch.record_answer();
                }
            }
        }
    }

    async fn read_newest(
        &self,
        topic: &FollowedTopic,
        store: &mut Store,
    ) -> onyxshed_adapter::Result<()> {
        let newest = store
            .read_newest(topic.options.name, ANSWER_TIMEOUT)
            .await?;
        topic.log.borrow_mut().begin(boot_clock::now(), &newest);
        topic.reader.apply_snapshot(newest);
        self.advanced.notify();
        Ok(())
    }

    async fn read_from(
        &self,
        topic: &FollowedTopic,
        store: &mut Store,
        position: u64,
    ) -> onyxshed_adapter::Result<()> {
        let wait = topic.options.read_wait();
        let timeout = ANSWER_TIMEOUT + Duration::from(wait);
        let read = store
            .read_keyed(topic.options.name, position, wait, timeout)
            .await?;
        let now = boot_clock::now();
        let new = topic.log.borrow_mut().advance(read.records, read.next, now);
        if !new.is_empty() {
            topic.apply(new);
            self.advanced.notify();
        }
        Ok(())
    }

    /// Waits until the topic has to be read from the store. Returns `false` if it had to be at once.
    async fn wait_while_relayed(&self, topic: &FollowedTopic) -> bool {
        let mut has_waited = false;
        loop {
            let needed = self.read_needed.subscribe();
            let due = topic.log.borrow().read_due(topic.options.unknown_max);
            let remaining = due.map(|due| due.since(boot_clock::now()));
            let Some(remaining) = remaining.filter(|time| self.is_relayed.get() && time.0 > 0)
            else {
                return has_waited;
            };
            has_waited = true;
            let expiry = async {
                Timer::after(remaining.into()).await;
            };
            needed.wait().or(expiry).await;
        }
    }

    /// Returns how long an owner may wait for a change before it confirms that there is none: a quarter of the
    /// time for which a change may stay unknown. The owner's own confirmation is up to half of that time
    /// old.
    pub fn confirmation_period(&self) -> Millis {
        let followed = self.followed.borrow();
        let limits = followed.values().map(|topic| topic.options.unknown_max);
        let shortest = limits.min().unwrap_or(CONFIRMATION_PERIOD_MAX);
        Millis(shortest.0 / 4).min(CONFIRMATION_PERIOD_MAX)
    }

    /// Returns the position in each topic that has been read.
    pub fn positions(&self) -> Vec<(&'static str, u64)> {
        let followed = self.followed.borrow();
        let positions = followed.values().filter_map(|topic| {
            let position = topic.log.borrow().position()?;
            Some((topic.options.name, position))
        });
        positions.collect()
    }

    /// Returns what this host knows beyond a reader's position in a topic, or `None` if it has not read the
    /// topic.
    pub fn update_since(&self, name: &str, position: u64) -> Option<TopicUpdate> {
        let followed = self.followed.borrow();
        let log = followed.get(name)?.log.borrow();
        log.update_since(boot_clock::now(), position)
    }

    /// Returns the notifier that signals that a topic has new records.
    pub fn advanced(&self) -> &Notifier {
        &self.advanced
    }

    /// Applies what the owner of the home pool knows of a topic. Returns `false` if the owner knows more
    /// than it passes on, which is then read from the store.
    pub fn apply_update(&self, name: &str, update: TopicUpdate) -> bool {
        let topic = self.followed.borrow().get(name).cloned();
        let Some(topic) = topic else {
            return true;
        };
        let owner_next = update.next;
        let new = topic
            .log
            .borrow_mut()
            .apply_update(boot_clock::now(), update);
        if !new.is_empty() {
            topic.apply(new);
            self.advanced.notify();
        }
        let is_known = topic.log.borrow().position() >= Some(owner_next);
        if !is_known {
            self.read_needed.notify();
        }
        is_known
    }

    /// Sets whether the owner of the home pool answers.
    pub fn set_relayed(&self, is_relayed: bool) {
        if self.is_relayed.replace(is_relayed) && !is_relayed {
            self.read_needed.notify();
        }
    }
}
