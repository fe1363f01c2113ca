//! Whether a job can make its deadline.
//!
//! The estimate adds the work of the job's class that will go ahead of it, over what the class gets
//! of the upstream, and the time of the job's longest task. What a class gets is what the others
//! leave, where none of them can take more than its even part however much it queues.

use onyxshed_core::{Micros, Mono};

use crate::span::{as_us, to_micros};

/// Shortest time to come back in, in microseconds.
const COME_BACK_MIN_US: f64 = 250_000.0;

/// Longest time to come back in, in microseconds.
const COME_BACK_MAX_US: f64 = 60e6;

/// Largest quantile that the histograms can tell.
const QUANTILE_MAX: f64 = 0.99;

/// Factor on waits under overload: others that are more urgent will come in between.
const MARGIN: f64 = 2.0;

/// What the estimate is made from; work is in microseconds on one slot of ordinary speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    /// Work of the job's own class that goes ahead.
    pub ahead_us: f64,
    /// Work of the job itself.
    pub job_us: f64,
    /// Time of its longest task on the fastest executor, as likely as not.
    pub longest_us: f64,
    /// Time that its longest task all but surely stays within, wherever it runs.
    pub sure_us: f64,
    /// Whether more work arrives than the upstream can do.
    pub is_crowded: bool,
    /// Slots, weighed by speed, that the job's own class gets while it queues.
    pub part: f64,
}

impl Outlook {
    /// Gets how long the job would take from now, in microseconds.
    ///
    /// As long as there is room for all, a job comes in if it may make it. Under overload the place
    /// would serve another, so it goes only to a job that surely makes it: the queue is then always
    /// as long as admission lets it be, and half of the jobs at an even chance would be late.
    pub fn finish_us(&self) -> f64 {
        let part = self.part.max(f64::MIN_POSITIVE);
        let wait_us = self.ahead_us / part;
        let spread_us = self.job_us / part;
        if self.is_crowded || wait_us > self.longest_us {
            (wait_us + spread_us) * MARGIN + self.sure_us
        } else {
            wait_us + spread_us.max(self.longest_us)
        }
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

/// Gets what a class gets of an upstream's `power` while it queues, from what others ask for.
pub fn part(power: f64, others: &[f64]) -> f64 {
    let even = power / (others.len() + 1) as f64;
    power - others.iter().map(|demand| demand.min(even)).sum::<f64>()
}

/// Gets the quantile of one task that all of `tasks` stay within nine times in ten.
pub fn sure_q(tasks: usize) -> f64 {
    0.95_f64.powf(1.0 / tasks.max(1) as f64).min(QUANTILE_MAX)
}

/// Gets the quantile of one task whose maximum over `tasks` is a middling one.
pub fn longest_q(tasks: usize) -> f64 {
    0.5_f64.powf(1.0 / tasks.max(1) as f64).min(QUANTILE_MAX)
}
