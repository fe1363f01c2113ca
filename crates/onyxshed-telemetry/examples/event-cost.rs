//! Measures the cost of one event: stamping it, counting it, recording it in a full ring, and the
//! log's decision to drop it. Prints nanoseconds per event and the ring's memory per event.

use std::time::Instant;

use onyxshed_core::{Event, EventKind, Incarnation};
use onyxshed_kernel::Kernel;
use onyxshed_settings::LogSettings;
use onyxshed_telemetry::{Filter, Telemetry, TelemetryOptions};

/// Number of events emitted; the time printed is their average.
const EVENTS: u32 = 1_000_000;

fn main() {
    let kernel = Kernel::new();
    let options = TelemetryOptions {
        process: "event-cost".into(),
        version: "0".into(),
        host: "host-1".into(),
        boot: Incarnation(1),
        log: LogSettings::default(),
        timeline_events_max: 50_000,
    };
    let telemetry = Telemetry::open(&kernel, options).expect("log and metrics open");
    let id = "01JABCDEFGHJKMNPQRSTVWXYZ0".parse().expect("an id");
    let class = "stock-sync".parse().expect("a name");
    let start = Instant::now();
    for _ in 0..EVENTS {
        let event = Event::new(EventKind::TaskStarted)
            .submission(id)
            .task(7)
            .class(&class);
        kernel.emit(event.party("executor-17"));
    }
    let per_event_ns = start.elapsed().as_nanos() / u128::from(EVENTS);
    let page = telemetry.timeline(&Filter::default());
    let per_kept_bytes = page.memory_bytes / page.events_max as u64;
    println!("{per_event_ns} ns an event, {per_kept_bytes} bytes an event kept");
}
