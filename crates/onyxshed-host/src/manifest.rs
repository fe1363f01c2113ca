//! Follows what operators publish in the platform's store: the manifest, and evacuations of zones.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use onyxshed_adapter::evacuation;
use onyxshed_adapter::manifest::{MANIFEST_KEY, Manifest};
use onyxshed_adapter::store::{KeyedRecord, OPERATORS_TOPIC, Records};
use onyxshed_core::{Event, EventKind, Millis};
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use smol_str::format_smolstr;

use crate::evacuations::ZoneEvacuations;
use crate::names::MANIFEST;
use crate::store_watch::StoreWatch;
use crate::topic::{self, TopicOptions, TopicReader};

/// Shortest time that a read waits at the store for a change.
const LONG_POLL_WAIT_MIN: Millis = Millis(1_500);

/// Part of the time within which a manifest has to be in force that is kept for the answer's timeout, a
/// new connection and the read that finds the change.
const LONG_POLL_MARGIN: Millis = Millis(1_200);

/// Gets how long a read waits at the store for a change, given the time within which a manifest has to
/// be in force. The wait bounds for how long a connection that has gone silent is trusted.
pub fn long_poll_wait(manifest_within: Option<Millis>) -> Millis {
    let wait_ms = manifest_within.map_or(0, |within| within.0.saturating_sub(LONG_POLL_MARGIN.0));
    LONG_POLL_WAIT_MIN.max(Millis(wait_ms))
}

/// The newest manifest this host knows.
pub struct ManifestHolder {
    kernel: Kernel,
    current: RefCell<Option<Rc<Manifest>>>,
    /// The same as the store holds it, for hosts that start while the store is away.
    text: RefCell<Vec<u8>>,
}

impl ManifestHolder {
    /// Gets the manifest in force; none before the first one is known.
    pub fn get(&self) -> Option<Rc<Manifest>> {
        self.current.borrow().clone()
    }

    /// Gets the manifest in force as the store holds it; empty before the first one is known.
    pub fn text(&self) -> Vec<u8> {
        self.text.borrow().clone()
    }

    /// Takes in a record. A version that is not higher changes nothing: the store may show an
    /// older state for a while, and what is in force never goes back.
    fn apply_record(&self, record: &KeyedRecord) {
        if record.key != MANIFEST_KEY {
            return;
        }
        let Some(value) = &record.value else {
            return;
        };
        self.apply(value, "the store");
    }

    /// Takes in a manifest as the store holds it, and who told it.
    pub fn apply(&self, text: &[u8], from: &str) {
        match Manifest::parse(text) {
            Ok(manifest) => self.install(manifest, text, from),
            Err(error) => {
                let event = Event::new(EventKind::ConfigRecordIgnored);
                self.kernel.emit(event.detail(format_smolstr!("{error}")));
            }
        }
    }

    fn install(&self, manifest: Manifest, text: &[u8], from: &str) {
        let held = self.current.borrow().as_ref().map(|held| held.version);
        if held.is_some_and(|version| version >= manifest.version) {
            return;
        }
        let detail = format_smolstr!(
            "version {}, {} routes, from {from}",
            manifest.version,
            manifest.routes.len()
        );
        *self.current.borrow_mut() = Some(Rc::new(manifest));
        *self.text.borrow_mut() = text.to_vec();
        self.kernel
            .emit(Event::new(EventKind::ManifestInForce).detail(detail));
    }
}

/// Follows the manifest as a service.
pub struct ManifestService {
    store: SocketAddr,
    long_poll_wait: Millis,
    evacuations: Rc<ZoneEvacuations>,
}

impl ManifestService {
    /// Makes the service for a store's address; reads wait up to `read_wait` for a change. Evacuations are
    /// passed on as they are read.
    pub fn new(store: SocketAddr, read_wait: Millis, evacuations: Rc<ZoneEvacuations>) -> Self {
        ManifestService {
            store,
            long_poll_wait: read_wait,
            evacuations,
        }
    }
}

impl Service for ManifestService {
    fn name(&self) -> ServiceName {
        MANIFEST
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let holder = Rc::new(ManifestHolder {
                kernel: kernel.clone(),
                current: RefCell::default(),
                text: RefCell::default(),
            });
            let reader = OperatorRecords {
                manifest: holder.clone(),
                evacuations: self.evacuations.clone(),
            };
            let topic = TopicOptions {
                name: OPERATORS_TOPIC,
                wait: self.long_poll_wait,
                absent_period: None,
            };
            let watch = StoreWatch::new(kernel, "manifest");
            let follow = topic::follow(topic, self.store, watch, Rc::new(reader));
            kernel.spawn(follow).detach();
            let descriptor = Descriptor {
                name: MANIFEST,
                summary: "the operators' manifest",
            };
            kernel.register(descriptor, holder)
        })
    }
}

/// Passes the operators' records on to what they are about.
struct OperatorRecords {
    manifest: Rc<ManifestHolder>,
    evacuations: Rc<ZoneEvacuations>,
}

impl TopicReader for OperatorRecords {
    fn apply_snapshot(&self, newest: Records) {
        for record in &newest.records {
            self.manifest.apply_record(record);
        }
        self.evacuations
            .apply_snapshot(evacuation::snapshot(&newest));
    }

    fn apply_record(&self, record: KeyedRecord) {
        self.manifest.apply_record(&record);
        let evacuation = evacuation::read(&record);
        self.evacuations.apply(evacuation, "the store");
    }
}
