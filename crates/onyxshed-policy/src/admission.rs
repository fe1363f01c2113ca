//! Whether a job can make its deadline.
//!
//! The estimate adds the work that will go ahead of the job, over what the upstream does for this
//! host, and the time that the job's longest task takes as likely as not. A class never waits for
//! more than its own work at its even part of the upstream, however much another class queues.

use onyxshed_core::{Micros, Mono};

use crate::span::{as_us, to_micros};

/// Shortest time to come back in, in microseconds.
const COME_BACK_MIN_US: f64 = 50_000.0;

/// Longest time to come back in, in microseconds.
const COME_BACK_MAX_US: f64 = 60e6;

/// Largest quantile that the histograms can tell.
const QUANTILE_MAX: f64 = 0.99;

/// What the estimate is made from; work is in microseconds on one slot of ordinary speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    /// Work of all classes that goes ahead.
    pub ahead_us: f64,
    /// Work of the job's own class that goes ahead.
    pub own_ahead_us: f64,
    /// Work of the job itself.
    pub job_us: f64,
    /// Time of its longest task.
    pub longest_us: f64,
    /// Slots weighed by speed.
    pub power: f64,
    /// Classes that use the upstream now, the job's own included.
    pub classes: usize,
}

impl Outlook {
    /// Gets how long the job would take from now, in microseconds.
    pub fn finish_us(&self) -> f64 {
        let power = self.power.max(f64::MIN_POSITIVE);
        let even_part = power / self.classes.max(1) as f64;
        let wait_us = (self.ahead_us / power).min(self.own_ahead_us / even_part);
        let spread_us = self.job_us / power;
        wait_us + spread_us.max(self.longest_us)
    }

    /// Gets how long until the job could be served in time, none if it can be now.
    pub fn come_back(&self, now: Mono, deadline: Mono) -> Option<Micros> {
        let span_us = as_us(deadline.since(now));
        let over_us = self.finish_us() - span_us;
        if over_us <= 0.0 && span_us > 0.0 {
            return None;
        }
        Some(to_micros(over_us.clamp(COME_BACK_MIN_US, COME_BACK_MAX_US)))
    }
}

/// Gets the quantile of one task whose maximum over `tasks` is a middling one.
pub fn longest_q(tasks: usize) -> f64 {
    0.5_f64.powf(1.0 / tasks.max(1) as f64).min(QUANTILE_MAX)
}
