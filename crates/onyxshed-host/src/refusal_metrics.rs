//! Metrics of refused jobs and limited callers.

use metrics::{Counter, Gauge, Histogram};
use onyxshed_core::Millis;
use onyxshed_pool::NotRunReason;
use onyxshed_telemetry::metric::{gauge, labelled_counter, seconds, seconds_histogram};

/// Name of the counter of refused jobs, by reason.
pub const REFUSALS_TOTAL: &str = "onyxshed_pool_refusals_total";

/// Name of the histogram of the times after which refused callers are told to return.
pub const RETURN_SECONDS: &str = "onyxshed_pool_planned_return_seconds";

/// Name of the gauge of the callers that the owned pool limits to their shares.
pub const LIMITED_CALLERS: &str = "onyxshed_pool_limited_callers";

/// Handles to the metrics of refusals.
pub struct RefusalMetrics {
    /// A counter for each reason, in the order of [`NotRunReason::ALL`].
    by_reason: [Counter; NotRunReason::ALL.len()],
    planned_return: Histogram,
    limited_callers: Gauge,
}

impl RefusalMetrics {
    /// Registers and describes every metric.
    pub fn new() -> Self {
        RefusalMetrics {
            by_reason: NotRunReason::ALL.map(|reason| {
                let text = "Jobs refused before any of their tasks ran, by reason.";
                labelled_counter(REFUSALS_TOTAL, text, "reason", label_of(reason))
            }),
            planned_return: seconds_histogram(
                RETURN_SECONDS,
                "Time after which refused callers are told to return.",
            ),
            limited_callers: gauge(
                LIMITED_CALLERS,
                "Callers that the pool of this host limits to their shares.",
            ),
        }
    }

    /// Counts a refused job whose caller is told to return after `wait`.
    pub fn record(&self, reason: NotRunReason, wait: Millis) {
        let mut counters = NotRunReason::ALL.iter().zip(&self.by_reason);
        if let Some((_, counter)) = counters.find(|(other, _)| **other == reason) {
            counter.increment(1);
        }
        self.planned_return.record(seconds(wait.into()));
    }

    /// Sets the number of callers that the owned pool limits; 0 without a pool.
    pub fn set_limited_callers(&self, count: u32) {
        self.limited_callers.set(f64::from(count));
    }
}

impl Default for RefusalMetrics {
    fn default() -> Self {
        RefusalMetrics::new()
    }
}

fn label_of(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::NoTime => "no_time",
        NotRunReason::NoExecutor => "no_executor",
        NotRunReason::NotOwner => "not_owner",
        NotRunReason::OldSession => "old_session",
        NotRunReason::ZoneEvacuated => "zone_evacuated",
        NotRunReason::ClassShare => "class_share",
        NotRunReason::CallerShare => "caller_share",
        NotRunReason::HostOverloaded => "host_overloaded",
        NotRunReason::MemoryFull => "memory_full",
    }
}
