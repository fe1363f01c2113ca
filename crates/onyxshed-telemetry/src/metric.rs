//! Metrics in Prometheus text.
//!
//! Names follow the field's conventions: base units in the name (`_seconds`, `_bytes`), `_total`
//! for counters. Every histogram of seconds has the same buckets, from a tenth of a millisecond up.

use std::sync::OnceLock;

use metrics::{Counter, Gauge, Histogram, Unit};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use onyxshed_core::{EventKind, Micros};

use crate::error::{Error, Result};

/// Counter of events by kind.
pub const EVENTS_TOTAL: &str = "onyxshed_events_total";

/// Counter of log lines dropped because too many waited.
pub const LOG_DROPPED_TOTAL: &str = "onyxshed_log_lines_dropped_total";

/// Gauge of the time line's memory.
pub const TIMELINE_BYTES: &str = "onyxshed_timeline_bytes";

/// Counter of time line events dropped for newer ones.
pub const TIMELINE_DROPPED_TOTAL: &str = "onyxshed_timeline_dropped_total";

/// Upper bounds of the buckets of every histogram of seconds.
const SECONDS_BUCKETS: &[f64] = &[
    0.0001, 0.000_25, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    5.0, 10.0, 30.0,
];

/// The process's one recorder; the library has a single place for it.
static RECORDER: OnceLock<Result<PrometheusHandle>> = OnceLock::new();

/// Handle to the process's metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    handle: PrometheusHandle,
    events: Vec<Counter>,
}

impl Metrics {
    /// Tries to set up the process's metrics; a second call shares the first one's.
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

    /// Counts an event.
    pub fn count_event(&self, kind: EventKind) {
        if let Ok(index) = EventKind::ALL.binary_search(&kind) {
            self.events[index].increment(1);
        }
    }

    /// Writes every metric as Prometheus text.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Folds observations into their buckets, so that they take no more memory; due every few
    /// seconds.
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

/// Makes a counter; its name ends in `_total`.
pub fn counter(name: &'static str, text: &'static str) -> Counter {
    metrics::describe_counter!(name, text);
    metrics::counter!(name)
}

/// Makes one of several counters that differ in a label; the name ends in `_total`.
pub fn labelled_counter(
    name: &'static str,
    text: &'static str,
    label: &'static str,
    value: &'static str,
) -> Counter {
    metrics::describe_counter!(name, text);
    metrics::counter!(name, label => value)
}

/// Makes a gauge; its name ends in its unit.
pub fn gauge(name: &'static str, text: &'static str) -> Gauge {
    metrics::describe_gauge!(name, text);
    metrics::gauge!(name)
}

/// Makes a histogram of spans; its name ends in `_seconds`.
pub fn seconds_histogram(name: &'static str, text: &'static str) -> Histogram {
    metrics::describe_histogram!(name, Unit::Seconds, text);
    metrics::histogram!(name)
}

/// Makes a histogram of spans for each value of a label; its name ends in `_seconds`.
pub fn labelled_seconds_histogram(
    name: &'static str,
    text: &'static str,
    label: &'static str,
    value: String,
) -> Histogram {
    metrics::describe_histogram!(name, Unit::Seconds, text);
    metrics::histogram!(name, label => value)
}

/// Gets a span in seconds, as histograms take it.
pub fn seconds(span: Micros) -> f64 {
    std::time::Duration::from(span).as_secs_f64()
}
