//! Availability zones that operators have evacuated, as known to this host.
//!
//! Evacuations are read from the store and exchanged with peers: a host that cannot reach the store
//! receives them from the owners and entry hosts that it is connected to.

use std::cell::{Ref, RefCell};
use std::rc::Rc;

use metrics::Gauge;
use onyxshed_adapter::evacuation::EvacuationSnapshot;
use onyxshed_core::{Event, EventKind};
use onyxshed_kernel::Kernel;
use onyxshed_pool::{EvacuationChange, EvacuationRecord, Evacuations};
use onyxshed_telemetry::metric;
use smol_str::{SmolStr, format_smolstr};

/// Name of the gauge for the number of the deployment's zones that this host knows to be evacuated.
pub const EVACUATED_ZONES: &str = "onyxshed_evacuated_zones";

/// Evacuations known to this host. Logs every change, and counts the evacuated zones in a gauge.
pub struct ZoneEvacuations {
    kernel: Kernel,
    zones: Vec<SmolStr>,
    known: RefCell<Evacuations>,
    evacuated_gauge: Gauge,
}

impl ZoneEvacuations {
    /// Creates the handle for a deployment's zones, none of which is known to be evacuated.
    pub fn new(kernel: &Kernel, zones: Vec<SmolStr>) -> Rc<Self> {
        let text = "Availability zones that are evacuated.";
        Rc::new(ZoneEvacuations {
            kernel: kernel.clone(),
            zones,
            known: RefCell::default(),
            evacuated_gauge: metric::gauge(EVACUATED_ZONES, text),
        })
    }

    /// Returns whether this host knows that a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.known.borrow().contains(zone)
    }

    /// Returns whether every zone of the deployment is evacuated.
    pub fn covers_deployment(&self) -> bool {
        let known = self.known.borrow();
        self.zones.iter().all(|zone| known.contains(zone))
    }

    /// Returns the state of all known evacuations.
    pub fn known(&self) -> Ref<'_, Evacuations> {
        self.known.borrow()
    }

    /// Returns the records of all known evacuations, which are sent to peers.
    pub fn records(&self) -> Vec<EvacuationRecord> {
        self.known.borrow().records()
    }

    /// Applies records and logs the changes; `source` names their source in the log.
    pub fn apply(&self, records: impl IntoIterator<Item = EvacuationRecord>, source: &str) {
        for record in records {
            let change = self.known.borrow_mut().apply(record);
            self.log_change(change, source);
        }
    }

    /// Applies a snapshot of the store's records; ignored if it has no position, since the topic is
    /// empty then.
    pub fn apply_snapshot(&self, snapshot: EvacuationSnapshot) {
        let Some(at) = snapshot.at else {
            return;
        };
        let changes = self.known.borrow_mut().apply_snapshot(snapshot.records, at);
        for change in changes {
            self.log_change(change, "the store");
        }
    }

    fn log_change(&self, change: EvacuationChange, source: &str) {
        let (kind, zone) = match change {
            EvacuationChange::Unchanged => return,
            EvacuationChange::Evacuated(zone) => (EventKind::ZoneEvacuated, zone),
            EvacuationChange::Restored(zone) => (EventKind::ZoneRestored, zone),
        };
        let detail = match self.zones.contains(&zone) {
            true => format_smolstr!("from {source}"),
            false => format_smolstr!("from {source}; no such zone"),
        };
        let event = Event::new(kind).party(zone).detail(detail);
        self.kernel.emit(event);
        self.update_gauge();
    }

    fn update_gauge(&self) {
        let known = self.known.borrow();
        let count = self
            .zones
            .iter()
            .filter(|zone| known.contains(zone))
            .count();
        // The conversion does not fail: a deployment has a handful of zones.
        self.evacuated_gauge
            .set(f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
    }
}
