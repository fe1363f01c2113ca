//! Latency histograms and counters of a host.

use metrics::{Counter, Histogram};
use onyxshed_core::Micros;
use onyxshed_pool::JobEnd;
use onyxshed_telemetry::metric::{labelled_counter, labelled_seconds_histogram, seconds};

/// Name of the histogram of the time from a job's arrival to its reply.
pub const JOB_SECONDS: &str = "onyxshed_pool_job_seconds";

/// Name of the histogram of the time that an executor takes to answer an order.
pub const ORDER_SECONDS: &str = "onyxshed_pool_order_seconds";

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
