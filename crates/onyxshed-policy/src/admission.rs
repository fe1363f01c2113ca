//! Estimate of whether a job can meet its deadline.
//!
//! The estimate adds the time that the class needs for the work queued ahead of the job, at the
//! class's share of the upstream, and the time of the job's longest task. The share of a class is
//! the capacity that the other classes leave free. Each other class is counted with at most its
//! fair share, regardless of how much it queues.

use onyxshed_core::{Micros, Mono};

use crate::span::{as_us, to_micros};

/// Minimum retry-after of a job that is refused because it would miss its deadline.
const RETRY_AFTER_MIN_US: f64 = 250_000.0;

/// Maximum retry-after of a job that is refused because it would miss its deadline.
const RETRY_AFTER_MAX_US: f64 = 60e6;

/// Highest quantile that the histograms resolve.
const QUANTILE_MAX: f64 = 0.99;

/// Factor on the waiting and running time of a job under overload or with a long wait, because more
/// urgent tasks will be queued ahead of it.
const OVERLOAD_MARGIN: f64 = 2.0;

/// Inputs of the estimate of when a job finishes. Work is in microseconds on one slot of ordinary
/// speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishEstimate {
    /// Work of the job's own class that is queued ahead.
    pub ahead_us: f64,
    /// Work of the job itself.
    pub job_us: f64,
    /// Median time of the job's longest task on the fastest executor.
    pub longest_us: f64,
    /// Time within which all tasks of the job finish with a probability of about 95%, measured over
    /// the mix of executors in use.
    pub safe_us: f64,
    /// Whether more work arrives than the upstream can do.
    pub is_overloaded: bool,
    /// Equivalent number of slots of ordinary speed that the class gets while it has tasks queued.
    pub share: f64,
}

impl FinishEstimate {
    /// Returns the estimated time until the job finishes, in microseconds from now.
    ///
    /// Without overload a job is admitted if it may finish in time. Under overload, or if the wait
    /// is longer than the longest task of the job, its slots could serve another job, so the job is
    /// admitted only if it almost certainly finishes in time: the queue is then always as long as
    /// admission allows, and half of the jobs admitted with even odds would be late.
    pub fn finish_us(&self) -> f64 {
        let share = self.share.max(f64::MIN_POSITIVE);
        let wait_us = self.ahead_us / share;
        let run_us = self.job_us / share;
        if self.is_overloaded || wait_us > self.longest_us {
            (wait_us + run_us) * OVERLOAD_MARGIN + self.safe_us
        } else {
            wait_us + run_us.max(self.longest_us)
        }
    }

    /// Returns the delay after which the caller should retry: the time by which the estimated
    /// finish exceeds the deadline, limited to 250 ms to 60 s. Returns `None` if the job can finish
    /// in time when it is admitted now.
    pub fn retry_after(&self, now: Mono, deadline: Mono) -> Option<Micros> {
        let left_us = as_us(deadline.since(now));
        let excess_us = self.finish_us() - left_us;
        if excess_us <= 0.0 && left_us > 0.0 {
            return None;
        }
        Some(to_micros(
            excess_us.clamp(RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US),
        ))
    }
}

/// Returns a class's share of an upstream's `effective_slots`; `others` are the demands of the
/// other classes, in slots of ordinary speed.
pub fn class_share(effective_slots: f64, others: &[f64]) -> f64 {
    let fair_share = effective_slots / (others.len() + 1) as f64;
    effective_slots
        - others
            .iter()
            .map(|demand| demand.min(fair_share))
            .sum::<f64>()
}

/// Returns the quantile of the service time that all of `tasks` tasks stay within with a
/// probability of 95%, capped at `QUANTILE_MAX`.
pub fn safe_quantile(tasks: usize) -> f64 {
    0.95_f64.powf(1.0 / tasks.max(1) as f64).min(QUANTILE_MAX)
}

/// Returns the quantile of the service time that equals the median time of the longest of `tasks`
/// tasks, capped at `QUANTILE_MAX`.
pub fn longest_task_quantile(tasks: usize) -> f64 {
    0.5_f64.powf(1.0 / tasks.max(1) as f64).min(QUANTILE_MAX)
}
