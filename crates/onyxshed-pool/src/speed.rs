//! How slow an executor is, learned from its runs.
//!
//! Each run that ends gives a ratio: what it took over what its caller estimated. The estimates are
//! off by half either way, so ratios are averaged as logarithms.

use onyxshed_core::{Micros, Mono};

/// Weight of the newest ratio: a few runs show an executor that turns slow, and the callers' wrong
/// estimates even out.
const ALPHA: f64 = 0.2;

/// Weight of a ratio that shows that the executor's speed has changed.
const CHANGED_ALPHA: f64 = 0.7;

/// Logarithm of the ratio from which an executor is slow: a factor of three.
const SLOW_LOG: f64 = 1.1;

/// Logarithm of the ratio from which a run that has not ended shows an executor to be slow: a factor of
/// five, since one run's estimate may be far too low.
const UNFINISHED_LOG: f64 = 1.6;

/// Time in which half of what was learned is forgotten, in seconds. An executor that was slow gets
/// no long task and so has no chance to show that it has recovered; forgetting gives it one.
const HALF_LIFE_S: f64 = 6.0;

/// Largest ratio believed, either way.
const RATIO_MAX: f64 = 20.0;

/// Running estimate of one executor's slowdown.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Slowdown {
    log: f64,
    samples: u32,
    at: Mono,
}

impl Slowdown {
    /// Takes in a run that ended.
    pub fn observe(&mut self, now: Mono, took: Micros, estimate: Micros) {
        let log = log_ratio(took, estimate);
        let held = self.decayed(now);
        self.samples = self.samples.saturating_add(1);
        let has_recovered = held > SLOW_LOG && log < held - SLOW_LOG;
        let alpha = match has_recovered {
            true => CHANGED_ALPHA,
            false => ALPHA.max(1.0 / f64::from(self.samples + 1)),
        };
        self.log = held + alpha * (log - held);
        self.at = now;
    }

    /// Takes in the least time that a run will take that has not ended, if that shows that the executor
    /// has become slow.
    pub fn observe_unfinished(&mut self, now: Mono, least: Micros, estimate: Micros) {
        let log = log_ratio(least, estimate);
        let held = self.decayed(now);
        if log > held.max(0.0) + UNFINISHED_LOG {
            self.log = held + CHANGED_ALPHA * (log - held);
            self.at = now;
        }
    }

    /// Tells whether the executor is slow: beyond what callers' estimates and the ordinary differences
    /// between executors explain.
    pub fn is_slow(&self, now: Mono) -> bool {
        self.decayed(now) > SLOW_LOG
    }

    /// Gets the slowdown: 1 is ordinary, 2 takes twice as long.
    pub fn factor(&self, now: Mono) -> f64 {
        self.decayed(now).exp()
    }

    fn decayed(&self, now: Mono) -> f64 {
        let age_s = as_f64(now.since(self.at).0) / 1e6;
        self.log * (-age_s / HALF_LIFE_S).exp2()
    }
}

fn log_ratio(took: Micros, estimate: Micros) -> f64 {
    let ratio = as_f64(took.0.max(1)) / as_f64(estimate.0.max(1));
    ratio.clamp(1.0 / RATIO_MAX, RATIO_MAX).ln()
}

/// Turns a count into a fraction; exact up to 2^53.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn as_f64(value: u64) -> f64 {
    value as f64
}

/// Stretches a span by a factor.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn scaled(span: Micros, factor: f64) -> Micros {
    Micros((as_f64(span.0) * factor).max(0.0) as u64)
}
