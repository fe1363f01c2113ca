//! State of one class: its target, and the estimates and failures learned from its tasks.
//! Admission, placement and hedging use it.

use onyxshed_core::{ClassTarget, Micros, Mono};

use crate::estimate::ClassEstimate;
use crate::faults::ClassFaults;
use crate::offered_load::OfferedLoad;
use crate::span::to_micros;

/// Quantile of the service time that is used as the minimum time a task needs.
const MIN_TIME_QUANTILE: f64 = 0.02;

/// Quantile used instead of `MIN_TIME_QUANTILE` under overload.
const OVERLOADED_MIN_TIME_QUANTILE: f64 = 0.5;

/// Quantile of the service time that only one task in a hundred exceeds.
const HIGH_QUANTILE: f64 = 0.99;

/// Target of one class and the state learned from its tasks on this host.
#[derive(Debug)]
pub struct Class {
    /// Target that operators have configured; it also names the class's upstream.
    pub target: ClassTarget,
    /// Whether the class is still configured; if not, its remaining tasks are still run.
    pub is_configured: bool,
    /// Service times learned from the finished tasks; reset when the upstream changes.
    pub estimate: ClassEstimate,
    /// Rate of arriving work, from which the shares of competing classes are computed.
    pub offered_load: OfferedLoad,
    /// Failure rates per executor, and the jobs that failed since a task last finished.
    pub faults: ClassFaults,
    /// Number of attempts of the class that have not ended.
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

    /// Replaces the target and marks the class as configured. If the upstream changes, the
    /// estimates and failures are reset.
    pub fn update(&mut self, target: &ClassTarget) {
        if self.target.upstream != target.upstream {
            self.estimate = ClassEstimate::default();
            self.faults = ClassFaults::default();
        }
        self.target = target.clone();
        self.is_configured = true;
    }

    /// Returns whether a task should be run to renew the estimate: the estimate is stale and no
    /// attempt of the class is in flight.
    pub fn needs_sample(&self, now: Mono) -> bool {
        self.in_flight == 0 && self.estimate.is_stale(now)
    }

    /// Returns whether this class has attempts in flight on the upstream that `other` uses.
    pub fn competes_with(&self, other: &Class) -> bool {
        self.in_flight > 0 && self.target.upstream == other.target.upstream
    }

    /// Returns the minimum time left with which a task is worth starting, on an executor with the
    /// given `slowdown`; zero as long as too few tasks have finished.
    ///
    /// A task with less time left is dropped immediately. With a stale estimate the minimum is
    /// zero. With a current estimate it is the median service time under overload, because the slot
    /// is better used by a task that finishes in time, and without overload the time that only 2%
    /// of the tasks stay under.
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

    /// Returns the 99th percentile of the service time on an executor with the given `slowdown`;
    /// `None` as long as too few tasks have finished.
    pub fn service_time_p99(&self, slowdown: f64) -> Option<Micros> {
        let p99_us = self.estimate.quantile_us(HIGH_QUANTILE)?;
        Some(to_micros(p99_us * slowdown))
    }

    /// Returns the median service time on an executor with the given `slowdown`; zero as long as
    /// too few tasks have finished.
    pub fn median(&self, slowdown: f64) -> Micros {
        let median_us = self.estimate.quantile_us(0.5).unwrap_or(0.0);
        to_micros(median_us * slowdown)
    }
}
