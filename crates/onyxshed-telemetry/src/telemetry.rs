//! The telemetry of a process: log, metrics and time line, all fed by its event bus.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use onyxshed_core::{Event, Incarnation, Mono, Revision, UnixMs};
use onyxshed_kernel::{Clock, Kernel, Readiness};
use onyxshed_settings::LogSettings;
use onyxshed_wire::admin::{Status, TimelinePage};
use smol_str::SmolStr;

use crate::error::Result;
use crate::log::Log;
use crate::metric::{self, Metrics};
use crate::timeline::{Filter, Timeline};
use crate::usage;

/// The identity of the process and the limits of its telemetry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TelemetryOptions {
    /// The name of the binary, shown in the status and with the time line.
    pub process: SmolStr,
    /// The version of the binary, shown in the status.
    pub version: SmolStr,
    /// The host on which the process runs.
    pub host: SmolStr,
    /// The incarnation of the process, drawn at random at each start.
    pub boot: Incarnation,
    /// Format and level of the log.
    pub log: LogSettings,
    /// Largest number of events kept in the time line.
    pub timeline_events_max: usize,
}

/// The parts of the status that depend on the kind of process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StatusParts {
    /// The configuration revision in force, or `None` if the process has none.
    pub config_revision: Option<Revision>,
    /// Further details for operators, as free-form JSON.
    pub details: serde_json::Value,
}

/// A function that returns the parts of the status that depend on the kind of process.
pub type StatusSource = Box<dyn Fn() -> StatusParts>;

/// The log, metrics, time line and status of a process.
pub struct Telemetry {
    options: TelemetryOptions,
    clock: Clock,
    readiness: Readiness,
    log: Log,
    metrics: Metrics,
    timeline: RefCell<Timeline>,
    status_source: RefCell<Option<StatusSource>>,
    timeline_dropped: Cell<u64>,
    started_ms: UnixMs,
}

impl Telemetry {
    /// Opens log and metrics and subscribes to the kernel's event bus.
    pub fn open(kernel: &Kernel, options: TelemetryOptions) -> Result<Rc<Self>> {
        let log = Log::open(options.log)?;
        Telemetry::with_log(kernel, options, log)
    }

    /// Sets up the telemetry with a log that is already open and subscribes to the kernel's event
    /// bus.
    pub fn with_log(kernel: &Kernel, options: TelemetryOptions, log: Log) -> Result<Rc<Self>> {
        let telemetry = Rc::new(Telemetry {
            timeline: RefCell::new(Timeline::new(options.timeline_events_max)),
            options,
            clock: kernel.clock().clone(),
            readiness: kernel.readiness().clone(),
            log,
            metrics: Metrics::install()?,
            status_source: RefCell::default(),
            timeline_dropped: Cell::new(0),
            started_ms: kernel.clock().now().wall,
        });
        // Weak, because the kernel owns the bus and also holds the telemetry as a service: a strong
        // reference would be a cycle.
        let weak = Rc::downgrade(&telemetry);
        let handle_event = move |event: &Event| {
            if let Some(telemetry) = weak.upgrade() {
                telemetry.handle_event(event);
            }
        };
        kernel.bus().subscribe(Rc::new(handle_event));
        Ok(telemetry)
    }

    fn handle_event(&self, event: &Event) {
        self.metrics.count_event(event.kind);
        self.timeline.borrow_mut().record(event);
        self.log.write(event);
    }

    /// Sets the function that returns the parts of the status that depend on the kind of process.
    pub fn set_status_source(&self, source: StatusSource) {
        *self.status_source.borrow_mut() = Some(source);
    }

    /// Returns the log, whose queued lines must be flushed before the process exits.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the current status, with which `GET /v1/status` is answered.
    pub fn status(&self) -> Status {
        let source = self.status_source.borrow();
        let parts = source.as_ref().map(|source| source()).unwrap_or_default();
        let why_not_ready = self.readiness.not_ready_reason();
        let uptime = self.clock.now().mono.since(Mono(0));
        Status {
            process: self.options.process.clone(),
            version: self.options.version.clone(),
            host: self.options.host.clone(),
            boot: self.options.boot,
            uptime_ms: uptime.as_millis(),
            is_ready: why_not_ready.is_none(),
            why_not_ready,
            config_revision: parts.config_revision,
            details: parts.details,
        }
    }

    /// Returns the events that match a filter, with which `GET /v1/timeline` is answered.
    pub fn timeline(&self, filter: &Filter) -> TimelinePage {
        let timeline = self.timeline.borrow();
        let matches = timeline.find(filter);
        TimelinePage {
            process: self.options.process.clone(),
            host: self.options.host.clone(),
            boot: self.options.boot,
            started_ms: self.started_ms,
            dropped: timeline.dropped(),
            events_max: timeline.events_max(),
            memory_bytes: timeline.memory_bytes(),
            events: matches.events,
            is_cut: matches.is_cut,
        }
    }

    /// Updates and renders every metric in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        self.upkeep();
        self.metrics.render()
    }

    /// Updates the metrics that are not counted event by event. To be called every few seconds.
    pub fn upkeep(&self) {
        let timeline = self.timeline.borrow();
        // Exact up to 2^53 bytes.
        let bytes = timeline.memory_bytes() as f64;
        metric::gauge(metric::TIMELINE_BYTES, "Memory of the time line.").set(bytes);
        let dropped = timeline.dropped();
        let newly_dropped = dropped - self.timeline_dropped.replace(dropped);
        metric::counter(
            metric::TIMELINE_DROPPED_TOTAL,
            "Time line events dropped for newer ones.",
        )
        .increment(newly_dropped);
        metric::counter(
            metric::LOG_DROPPED_TOTAL,
            "Log lines dropped because too many waited or standard error is closed.",
        )
        .absolute(self.log.dropped());
        usage::update();
        self.metrics.run_upkeep();
    }
}
