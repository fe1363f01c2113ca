//! Latency histograms and counters of a host, and metrics of the state of overload of its pool.

use std::cell::Cell;

use metrics::{Counter, Gauge, Histogram};
use onyxshed_core::{Micros, Mono};
use onyxshed_pool::{JobEnd, NotRunReason, OverloadState};
use onyxshed_telemetry::metric::{gauge, labelled_counter, labelled_seconds_histogram, seconds};

/// Name of the histogram of the time from a job's arrival to its reply.
pub const JOB_SECONDS: &str = "onyxshed_pool_job_seconds";

/// Name of the histogram of the time that an executor takes to answer an order.
pub const ORDER_SECONDS: &str = "onyxshed_pool_order_seconds";

/// Name of the gauge of the detected state of overload: 0 if normal, 1 if overloaded, 2 if saturated.
pub const OVERLOAD_STATE: &str = "onyxshed_pool_overload_state";

/// Name of the histogram of the time spent in a state of overload before it was left; its sum is the
/// time in the state.
pub const OVERLOAD_STATE_SECONDS: &str = "onyxshed_pool_overload_state_seconds";

/// Name of the counter of changes of the state of overload.
pub const OVERLOAD_CHANGES_TOTAL: &str = "onyxshed_pool_overload_changes_total";

/// Name of the counter of requests that were refused on arrival, before they were submitted to a pool.
pub const REFUSED_ON_ARRIVAL_TOTAL: &str = "onyxshed_refused_on_arrival_total";
/// Name of the counter of jobs that were submitted to another pool than the home pool.
pub const SENT_AWAY_TOTAL: &str = "onyxshed_pool_jobs_sent_away_total";

/// Why a job was submitted to another pool than the home pool of its entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SentAway {
    /// The pool came first in the order, because the job ends earlier there or the home pool can't be
    /// used.
    Chosen,
    /// A pool had refused the job for want of room.
    Refused,
}

/// Kind of an order to an executor, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// An order to start a run.
    Start,
    /// An order to stop a run.
    Stop,
}

/// Handles to the histograms of this host: a histogram for each way in which a job ends, and for
/// each kind of order.
pub struct HostMetrics {
    completed: Histogram,
    failed: Histogram,
    not_run: Histogram,
    unknown: Histogram,
    start: Histogram,
    stop: Histogram,
    chosen_away: Counter,
    refused_away: Counter,
}

impl HostMetrics {
    /// Registers and describes every histogram.
    pub fn new() -> Self {
        let job = |end: &str| {
            let text = "Time from a job's arrival to its answer, by how it ended.";
            labelled_seconds_histogram(JOB_SECONDS, text, "end", end.to_owned())
        };
        let order = |kind: &str| {
            let text = "Time that an executor takes to answer an order, by kind.";
            labelled_seconds_histogram(ORDER_SECONDS, text, "order", kind.to_owned())
        };
        let sent_away = |reason: &'static str| {
            let text = "Jobs submitted to another pool than the host's home pool, by reason.";
            labelled_counter(SENT_AWAY_TOTAL, text, "reason", reason)
        };
        HostMetrics {
            completed: job("completed"),
            failed: job("failed"),
            not_run: job("not_run"),
            unknown: job("unknown"),
            start: order("start"),
            stop: order("stop"),
            chosen_away: sent_away("chosen"),
            refused_away: sent_away("refused"),
        }
    }

    /// Records the time from a job's arrival to its reply, in the histogram for the way in which
    /// the job ended.
    pub fn record_reply(&self, end: &JobEnd, took: Micros) {
        let histogram = match end {
            JobEnd::Completed => &self.completed,
            JobEnd::Failed => &self.failed,
            JobEnd::NotRun(..) => &self.not_run,
            JobEnd::Unknown(_) => &self.unknown,
        };
        histogram.record(seconds(took));
    }

    /// Counts a job that is submitted to another pool than the home pool.
    pub fn record_sent_away(&self, reason: SentAway) {
        let counter = match reason {
            SentAway::Chosen => &self.chosen_away,
            SentAway::Refused => &self.refused_away,
        };
        counter.increment(1);
    }

    /// Records the time that an executor took to answer an order, in the histogram for its kind.
    pub fn record_order(&self, kind: OrderKind, took: Micros) {
        let histogram = match kind {
            OrderKind::Start => &self.start,
            OrderKind::Stop => &self.stop,
        };
        histogram.record(seconds(took));
    }
}

impl Default for HostMetrics {
    fn default() -> Self {
        HostMetrics::new()
    }
}

/// Metrics of the state of overload of the owned pool.
pub struct OverloadMetrics {
    gauge: Gauge,
    time_in_state: [Histogram; 3],
    changes_to: [Counter; 3],
    state: Cell<OverloadState>,
    entered_at: Cell<Option<Mono>>,
}

impl OverloadMetrics {
    /// Registers and describes every metric.
    pub fn new() -> Self {
        let text = "State of overload of the owned pool: 0 normal, 1 overloaded, 2 saturated.";
        let gauge = gauge(OVERLOAD_STATE, text);
        let time_text = "Time in a state of overload, recorded when it is left.";
        let changes_text = "Changes of the state of overload, by the state that was entered.";
        OverloadMetrics {
            gauge,
            time_in_state: STATE_LABELS.map(|label| {
                labelled_seconds_histogram(
                    OVERLOAD_STATE_SECONDS,
                    time_text,
                    "state",
                    label.to_owned(),
                )
            }),
            changes_to: STATE_LABELS
                .map(|label| labelled_counter(OVERLOAD_CHANGES_TOTAL, changes_text, "to", label)),
            state: Cell::default(),
            entered_at: Cell::default(),
        }
    }

    /// Records that a pool is owned, which begins in [`OverloadState::Normal`].
    pub fn record_begin(&self, now: Mono) {
        self.enter(OverloadState::Normal, Some(now));
    }

    /// Records that the state of the owned pool has changed to `state`.
    pub fn record_change(&self, now: Mono, state: OverloadState) {
        self.record_time(now);
        self.changes_to[index(state)].increment(1);
        self.enter(state, Some(now));
    }

    /// Records that the pool is no longer owned.
    pub fn record_end(&self, now: Mono) {
        self.record_time(now);
        self.enter(OverloadState::Normal, None);
    }

    fn record_time(&self, now: Mono) {
        if let Some(entered_at) = self.entered_at.get() {
            let time = &self.time_in_state[index(self.state.get())];
            time.record(seconds(now.since(entered_at)));
        }
    }

    fn enter(&self, state: OverloadState, at: Option<Mono>) {
        self.state.set(state);
        self.entered_at.set(at);
        self.gauge.set(f64::from(state as u8));
    }
}

impl Default for OverloadMetrics {
    fn default() -> Self {
        OverloadMetrics::new()
    }
}

/// Labels of the states, in the order of [`OverloadState::ALL`].
const STATE_LABELS: [&str; 3] = ["normal", "overloaded", "saturated"];

fn index(state: OverloadState) -> usize {
    state as usize
}

/// Counters of requests that this host refused on arrival, by reason.
pub struct ArrivalMetrics {
    class_share: Counter,
    host_overloaded: Counter,
}

impl ArrivalMetrics {
    /// Registers and describes both counters.
    pub fn new() -> Self {
        let text = "Requests refused on arrival because pools are overloaded, by reason.";
        let counter = |reason| labelled_counter(REFUSED_ON_ARRIVAL_TOTAL, text, "reason", reason);
        ArrivalMetrics {
            class_share: counter("class_share"),
            host_overloaded: counter("host_overloaded"),
        }
    }

    /// Counts a refused request.
    pub fn record_refusal(&self, reason: NotRunReason) {
        match reason {
            NotRunReason::HostOverloaded => self.host_overloaded.increment(1),
            _ => self.class_share.increment(1),
        }
    }
}

impl Default for ArrivalMetrics {
    fn default() -> Self {
        ArrivalMetrics::new()
    }
}
