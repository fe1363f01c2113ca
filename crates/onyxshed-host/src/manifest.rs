//! Follows the records that operators publish in the platform's store: the manifest and the
//! evacuations of zones.

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
use crate::store_calls::StorePurpose;
use crate::store_watch::StoreWatch;
use crate::topic::{TopicOptions, TopicReader, Topics};

/// How long a manifest may stay unknown if no time is set within which it has to take effect.
const UNKNOWN_MAX_DEFAULT: Millis = Millis(1_500);

/// Shortest time for which a manifest may stay unknown; bounds the rate of the reads.
const UNKNOWN_MAX_MIN: Millis = Millis(200);

/// Difference between the time within which a manifest has to take effect and the time for which it may stay
/// unknown, if the former is long: covers the timeout of the answer, a new connection and the read that finds
/// the change.
const UNKNOWN_MAX_MARGIN: Millis = Millis(1_200);

/// Returns how long a manifest may stay unknown before it is read from the store on a new connection.
/// `manifest_within` is the time within which a manifest has to take effect, also if an open connection to the
/// store is unresponsive; times under 1,350 ms can't be kept then.
pub fn manifest_unknown_max(manifest_within: Option<Millis>) -> Millis {
    let Some(within) = manifest_within else {
        return UNKNOWN_MAX_DEFAULT;
    };
    let with_margin = Millis(within.0.saturating_sub(UNKNOWN_MAX_MARGIN.0));
    UNKNOWN_MAX_DEFAULT
        .max(with_margin)
        .min(TopicOptions::unknown_max_for(within))
        .max(UNKNOWN_MAX_MIN)
}

/// The newest manifest that this host knows.
pub struct ManifestHolder {
    kernel: Kernel,
    current: RefCell<Option<Rc<Manifest>>>,
    /// The manifest in the store's format, for peers that start while the store is unavailable.
    text: RefCell<Vec<u8>>,
}

impl ManifestHolder {
    /// Returns the manifest in effect, or `None` before the first one is known.
    pub fn get(&self) -> Option<Rc<Manifest>> {
        self.current.borrow().clone()
    }

    /// Returns the manifest in effect in the store's format; empty before the first one is known.
    pub fn text(&self) -> Vec<u8> {
        self.text.borrow().clone()
    }

    /// Applies a record of the operators' topic, if it contains a manifest. A version that is not
    /// higher is ignored: the store may temporarily return an older state, and the manifest in
    /// effect is never reverted.
    fn apply_record(&self, record: &KeyedRecord) {
        if record.key != MANIFEST_KEY {
            return;
        }
        let Some(value) = &record.value else {
            return;
        };
        self.apply(value, "the store");
    }

    /// Applies a manifest in the store's format; `source` names its source in the log. A manifest
    /// that cannot be parsed is logged and ignored.
    pub fn apply(&self, text: &[u8], source: &str) {
        match Manifest::parse(text) {
            Ok(manifest) => self.install(manifest, text, source),
            Err(error) => {
                let event = Event::new(EventKind::ConfigRecordIgnored);
                self.kernel.emit(event.detail(format_smolstr!("{error}")));
            }
        }
    }

    fn install(&self, manifest: Manifest, text: &[u8], source: &str) {
        let current = self
            .current
            .borrow()
            .as_ref()
            .map(|current| current.version);
        if current.is_some_and(|version| version >= manifest.version) {
            return;
        }
        let detail = format_smolstr!(
            "version {}, {} routes, from {source}",
            manifest.version,
            manifest.routes.len()
        );
        *self.current.borrow_mut() = Some(Rc::new(manifest));
        *self.text.borrow_mut() = text.to_vec();
        self.kernel
            .emit(Event::new(EventKind::ManifestInForce).detail(detail));
    }
}

/// Service that follows the operators' topic and registers the [`ManifestHolder`].
pub struct ManifestService {
    store: SocketAddr,
    unknown_max: Millis,
    evacuations: Rc<ZoneEvacuations>,
    topics: Rc<Topics>,
}

impl ManifestService {
    /// Creates the service for a store's address. A change stays unknown for `unknown_max` at most
    /// while the store is reachable. Evacuations are passed to `evacuations`.
    pub fn new(
        store: SocketAddr,
        unknown_max: Millis,
        evacuations: Rc<ZoneEvacuations>,
        topics: Rc<Topics>,
    ) -> Self {
        ManifestService {
            store,
            unknown_max,
            evacuations,
            topics,
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
                purpose: StorePurpose::Operators,
                unknown_max: self.unknown_max,
                absent_period: None,
            };
            let watch = StoreWatch::new(kernel, "manifest");
            let topics = self.topics.clone();
            let follow = topics.follow(topic, self.store, watch, Rc::new(reader));
            kernel.spawn(follow).detach();
            let descriptor = Descriptor {
                name: MANIFEST,
                summary: "the operators' manifest",
            };
            kernel.register(descriptor, holder)
        })
    }
}

/// Passes the operators' records to the manifest and the evacuations.
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
        let evacuation = evacuation::parse(&record);
        self.evacuations.apply(evacuation, "the store");
    }
}
