//! Availability zones that operators have evacuated, as this host knows them.
//!
//! The store tells them, and other hosts do: one that loses the store learns of an evacuation from the
//! owners and entry hosts that it talks to.

use std::cell::{Ref, RefCell};
use std::rc::Rc;

use metrics::Gauge;
use onyxshed_adapter::evacuation::EvacuationSnapshot;
use onyxshed_core::{Event, EventKind};
use onyxshed_kernel::Kernel;
use onyxshed_pool::{EvacuationChange, EvacuationRecord, Evacuations};
use onyxshed_telemetry::metric;
use smol_str::{SmolStr, format_smolstr};

/// Gauge of the zones that are evacuated by this host's knowledge.
pub const EVACUATED_ZONES: &str = "onyxshed_evacuated_zones";

/// Handle to the evacuations known.
pub struct ZoneEvacuations {
    kernel: Kernel,
    zones: Vec<SmolStr>,
    known: RefCell<Evacuations>,
    evacuated_gauge: Gauge,
}

impl ZoneEvacuations {
    /// Makes the handle for a deployment's zones, none of which is known to be evacuated.
    pub fn new(kernel: &Kernel, zones: Vec<SmolStr>) -> Rc<Self> {
        let text = "Availability zones that are evacuated.";
        Rc::new(ZoneEvacuations {
            kernel: kernel.clone(),
            zones,
            known: RefCell::default(),
            evacuated_gauge: metric::gauge(EVACUATED_ZONES, text),
        })
    }

    /// Tells whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.known.borrow().contains(zone)
    }

    /// Tells whether every zone of the deployment is evacuated.
    pub fn covers_deployment(&self) -> bool {
        let known = self.known.borrow();
        self.zones.iter().all(|zone| known.contains(zone))
    }

    /// Gets everything known.
    pub fn known(&self) -> Ref<'_, Evacuations> {
        self.known.borrow()
    }

    /// Gets the records that other hosts are told.
    pub fn records(&self) -> Vec<EvacuationRecord> {
        self.known.borrow().records()
    }

    /// Takes in records, and who told them.
    pub fn apply(&self, records: impl IntoIterator<Item = EvacuationRecord>, from: &str) {
        for record in records {
            let change = self.known.borrow_mut().apply(record);
            self.log_change(change, from);
        }
    }

    /// Takes in everything that the store lists.
    pub fn apply_snapshot(&self, snapshot: EvacuationSnapshot) {
        let Some(at) = snapshot.at else {
            return;
        };
        let changes = self.known.borrow_mut().apply_snapshot(snapshot.records, at);
        for change in changes {
            self.log_change(change, "the store");
        }
    }

    fn log_change(&self, change: EvacuationChange, from: &str) {
        let (kind, zone) = match change {
            EvacuationChange::Unchanged => return,
            EvacuationChange::Evacuated(zone) => (EventKind::ZoneEvacuated, zone),
            EvacuationChange::Restored(zone) => (EventKind::ZoneRestored, zone),
        };
        let detail = match self.zones.contains(&zone) {
            true => format_smolstr!("from {from}"),
            false => format_smolstr!("from {from}; no such zone"),
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
        // A deployment has a handful of zones.
        self.evacuated_gauge
            .set(f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
    }
}
