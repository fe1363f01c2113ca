//! Log, metrics and time line of one process, fed by its event bus.

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

/// Who the process is and how much it keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TelemetryOptions {
    /// The binary's name.
    pub process: SmolStr,
    /// Its version.
    pub version: SmolStr,
    /// The host it runs on.
    pub host: SmolStr,
    /// This run of it.
    pub boot: Incarnation,
    /// The log.
    pub log: LogSettings,
    /// Most events kept for the time line.
    pub timeline_events_max: usize,
}

/// What a kind of process adds to its status.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StatusParts {
    /// The configuration revision in force, if the process has one.
    pub config_revision: Option<Revision>,
    /// Whatever else operators want to see.
    pub details: serde_json::Value,
}

/// What makes the process's own part of the status.
pub type StatusSource = Box<dyn Fn() -> StatusParts>;

/// Everything a process tells about itself.
pub struct Telemetry {
    options: TelemetryOptions,
    clock: Clock,
    readiness: Readiness,
    log: Log,
    metrics: Metrics,
    timeline: RefCell<Timeline>,
    status: RefCell<Option<StatusSource>>,
    timeline_dropped: Cell<u64>,
    started_ms: UnixMs,
}

impl Telemetry {
    /// Tries to open log and metrics, and takes in every event of the kernel's bus from now on.
    pub fn open(kernel: &Kernel, options: TelemetryOptions) -> Result<Rc<Self>> {
        let log = Log::open(options.log)?;
        Telemetry::with_log(kernel, options, log)
    }

    /// Tries to set up with a log that is open already.
    pub fn with_log(kernel: &Kernel, options: TelemetryOptions, log: Log) -> Result<Rc<Self>> {
        let telemetry = Rc::new(Telemetry {
            timeline: RefCell::new(Timeline::new(options.timeline_events_max)),
            options,
            clock: kernel.clock().clone(),
            readiness: kernel.readiness().clone(),
            log,
            metrics: Metrics::install()?,
            status: RefCell::default(),
            timeline_dropped: Cell::new(0),
            started_ms: kernel.clock().now().wall,
        });
        // Weak, because the kernel, which the bus is part of, holds the telemetry as a service.
        let taker = Rc::downgrade(&telemetry);
        let take = move |event: &Event| {
            if let Some(telemetry) = taker.upgrade() {
                telemetry.take(event);
            }
        };
        kernel.bus().subscribe(Rc::new(take));
        Ok(telemetry)
    }

    fn take(&self, event: &Event) {
        self.metrics.count_event(event.kind);
        self.timeline.borrow_mut().record(event);
        self.log.write(event);
    }

    /// Sets what makes the process's own part of the status.
    pub fn set_status_source(&self, source: StatusSource) {
        *self.status.borrow_mut() = Some(source);
    }

    /// Gets the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Gets the status.
    pub fn status(&self) -> Status {
        let source = self.status.borrow();
        let parts = source.as_ref().map(|source| source()).unwrap_or_default();
        let why_not_ready = self.readiness.why_not();
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

    /// Gets the events that match.
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

    /// Writes every metric as Prometheus text.
    pub fn render_metrics(&self) -> String {
        self.upkeep();
        self.metrics.render()
    }

    /// Brings slow-moving metrics up to date; due every few seconds.
    pub fn upkeep(&self) {
        let timeline = self.timeline.borrow();
        // Exact up to 2^53 bytes.
        let bytes = timeline.memory_bytes() as f64;
        metric::gauge(metric::TIMELINE_BYTES, "Memory of the time line.").set(bytes);
        let dropped = timeline.dropped();
        let fresh = dropped - self.timeline_dropped.replace(dropped);
        metric::counter(
            metric::TIMELINE_DROPPED_TOTAL,
            "Time line events dropped for newer ones.",
        )
        .increment(fresh);
        metric::counter(
            metric::LOG_DROPPED_TOTAL,
            "Log lines dropped because too many waited or standard error is closed.",
        )
        .absolute(self.log.dropped());
        usage::update();
        self.metrics.run_upkeep();
    }
}
