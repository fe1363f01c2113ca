//! State of one class: its target and the estimates learned for it.

use onyxshed_core::{ClassTarget, Micros, Mono};

use crate::estimate::ClassEstimate;
use crate::faults::ClassFaults;
use crate::offered_load::OfferedLoad;
use crate::span::to_micros;

/// Quantile of the service time that counts as the shortest possible time.
const MIN_TIME_QUANTILE: f64 = 0.02;

/// Quantile that takes the place of `MIN_TIME_QUANTILE` under overload.
const OVERLOADED_MIN_TIME_QUANTILE: f64 = 0.5;

/// Quantile of the time that nearly all tasks stay within.
const HIGH_QUANTILE: f64 = 0.99;

/// State of one class.
#[derive(Debug)]
pub struct Class {
    /// Configured target.
    pub target: ClassTarget,
    /// Whether the class is still configured; if not, its remaining tasks are still run.
    pub is_configured: bool,
    /// Learned service times.
    pub estimate: ClassEstimate,
    /// Rate of arriving work.
    pub offered_load: OfferedLoad,
    /// Failures per executor and job.
    pub faults: ClassFaults,
    /// Attempts that have not ended.
    pub in_flight: u32,
}

impl Class {
    /// Creates the state of a newly configured class.
    pub fn new(target: ClassTarget) -> Self {
        Class {
            target,
            is_configured: true,
            estimate: ClassEstimate::default(),
            offered_load: OfferedLoad::default(),
            faults: ClassFaults::default(),
            in_flight: 0,
        }
    }

    /// Replaces the target. If the upstream changes, the estimates and failures are reset.
    pub fn update(&mut self, target: &ClassTarget) {
        if self.target.upstream != target.upstream {
            self.estimate = ClassEstimate::default();
            self.faults = ClassFaults::default();
        }
        self.target = target.clone();
        self.is_configured = true;
    }

    /// Returns whether a task should test the estimate, because it is stale and no attempt is
    /// running.
    pub fn needs_sample(&self, now: Mono) -> bool {
        self.in_flight == 0 && self.estimate.is_stale(now)
    }

    /// Returns whether the class has tasks running on the same upstream as `other`.
    pub fn competes_with(&self, other: &Class) -> bool {
        self.in_flight > 0 && self.target.upstream == other.target.upstream
    }

    /// Returns the minimum time left with which a task is worth starting, on an executor `slowdown`
    /// times as slow as the ordinary one; zero as long as too few tasks have finished.
    ///
    /// A task with less time left is dropped at once. Under overload the minimum is the median
    /// service time, because the slot is better used by a task that finishes in time; otherwise it
    /// is a time that hardly any task stays under. With a stale estimate the minimum is zero.
    pub fn min_useful_time(&self, now: Mono, slowdown: f64, is_overloaded: bool) -> Micros {
        if self.estimate.is_stale(now) {
            return Micros(0);
        }
        let quantile = if is_overloaded {
            OVERLOADED_MIN_TIME_QUANTILE
        } else {
            MIN_TIME_QUANTILE
        };
        let min_us = self.estimate.quantile_us(quantile).unwrap_or(0.0);
        to_micros(min_us * slowdown)
    }

    /// Returns the 99th percentile of the service time on an executor of that `slowdown`; `None` as
    /// long as too few tasks have finished.
    pub fn service_time_p99(&self, slowdown: f64) -> Option<Micros> {
        let p99_us = self.estimate.quantile_us(HIGH_QUANTILE)?;
        Some(to_micros(p99_us * slowdown))
    }

    /// Returns the median service time on an executor of that `slowdown`; zero as long as too few
    /// tasks have finished.
    pub fn median(&self, slowdown: f64) -> Micros {
        let median_us = self.estimate.quantile_us(0.5).unwrap_or(0.0);
        to_micros(median_us * slowdown)
    }
}
