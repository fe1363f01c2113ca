//! Metrics in the Prometheus text format.
//!
//! Names follow the Prometheus conventions: base units in the name (`_seconds`, `_bytes`), `_total`
//! for counters. Every histogram of seconds has the same buckets, from a tenth of a millisecond up.

use std::sync::OnceLock;

use metrics::{Counter, Gauge, Histogram, Unit};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use onyxshed_core::{EventKind, Micros};

use crate::error::{Error, Result};

/// Counter of events by kind.
pub const EVENTS_TOTAL: &str = "onyxshed_events_total";

/// Counter of log lines dropped: over the budget, over the queue's limit or by a failed write.
pub const LOG_DROPPED_TOTAL: &str = "onyxshed_log_lines_dropped_total";

/// Gauge of the memory used by the time line.
pub const TIMELINE_BYTES: &str = "onyxshed_timeline_bytes";

/// Counter of events dropped from the time line to make room for newer ones.
pub const TIMELINE_DROPPED_TOTAL: &str = "onyxshed_timeline_dropped_total";

/// Upper bounds of the buckets of every histogram of seconds.
const SECONDS_BUCKETS: &[f64] = &[
    0.0001, 0.000_25, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    5.0, 10.0, 30.0,
];

/// The recorder of the process; the library allows only one.
static RECORDER: OnceLock<Result<PrometheusHandle>> = OnceLock::new();

/// A handle to the metrics of the process.
#[derive(Debug, Clone)]
pub struct Metrics {
    handle: PrometheusHandle,
    events: Vec<Counter>,
}

impl Metrics {
    /// Installs the metrics recorder of the process. Further calls share the first one's recorder.
    pub fn install() -> Result<Self> {
        let handle = RECORDER.get_or_init(install_recorder).clone()?;
        metrics::describe_counter!(
            EVENTS_TOTAL,
            "Events by kind; docs/EVENTS.md explains each."
        );
        let events = EventKind::ALL.iter().map(|kind| event_counter(*kind));
        Ok(Metrics {
            handle,
            events: events.collect(),
        })
    }

    /// Increments the counter of events of this kind.
    pub fn count_event(&self, kind: EventKind) {
        if let Ok(index) = EventKind::ALL.binary_search(&kind) {
            self.events[index].increment(1);
        }
    }

    /// Renders every metric in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Merges observations into their histogram buckets, which bounds their memory. To be called
    /// every few seconds.
    pub fn run_upkeep(&self) {
        self.handle.run_upkeep();
    }
}

fn install_recorder() -> Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), SECONDS_BUCKETS)
        .map_err(Error::metrics)?
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(Error::metrics)?;
    Ok(handle)
}

fn event_counter(kind: EventKind) -> Counter {
    metrics::counter!(EVENTS_TOTAL, "kind" => kind.name())
}

/// Returns a counter, whose name must end in `_total`.
pub fn counter(name: &'static str, description: &'static str) -> Counter {
    metrics::describe_counter!(name, description);
    metrics::counter!(name)
}

/// Returns a counter with a label, whose name must end in `_total`.
pub fn labelled_counter(
    name: &'static str,
    description: &'static str,
    label: &'static str,
    value: &'static str,
) -> Counter {
    metrics::describe_counter!(name, description);
    metrics::counter!(name, label => value)
}

/// Returns a counter of a listener with a further label, whose name must end in `_total`.
pub fn listener_counter(
    name: &'static str,
    description: &'static str,
    listener: &'static str,
    (label, value): (&'static str, &'static str),
) -> Counter {
    metrics::describe_counter!(name, description);
    metrics::counter!(name, "listener" => listener, label => value)
}

/// Returns a gauge, whose name must end in its unit if it has one.
pub fn gauge(name: &'static str, description: &'static str) -> Gauge {
    metrics::describe_gauge!(name, description);
    metrics::gauge!(name)
}

/// Returns a histogram of durations, whose name must end in `_seconds`.
pub fn seconds_histogram(name: &'static str, description: &'static str) -> Histogram {
    metrics::describe_histogram!(name, Unit::Seconds, description);
    metrics::histogram!(name)
}

/// Returns a histogram of durations with a label, whose name must end in `_seconds`.
pub fn labelled_seconds_histogram(
    name: &'static str,
    description: &'static str,
    label: &'static str,
    value: String,
) -> Histogram {
    metrics::describe_histogram!(name, Unit::Seconds, description);
    metrics::histogram!(name, label => value)
}

/// Converts a duration to seconds, the unit of histograms.
pub fn seconds(duration: Micros) -> f64 {
    std::time::Duration::from(duration).as_secs_f64()
}
