//! Estimation of an executor's slowdown from its runs.
//!
//! Each completed run gives the ratio of its run time to its estimate. The estimates are off by half in
//! either direction, so the logarithms of the ratios are averaged.

use onyxshed_core::{Micros, Mono};

/// Weight of the newest ratio. A few runs suffice to show that an executor has become slow, and callers'
/// wrong estimates even out.
const ALPHA: f64 = 0.2;

/// Weight of a ratio that shows a change of the executor's speed.
const CHANGED_ALPHA: f64 = 0.7;

/// Logarithm of the slowdown above which an executor is slow: a factor of three.
const SLOW_LOG_RATIO: f64 = 1.1;

/// Logarithm of the ratio above which an unfinished run shows that its executor has become slow: a
/// factor of five, since the estimate of a single run may be far too low.
const UNFINISHED_LOG_RATIO: f64 = 1.6;

/// Half-life of the estimate, in seconds. A slow executor gets no long tasks and could not show that it
/// has recovered; the decay lets it get tasks again.
const HALF_LIFE_S: f64 = 6.0;

/// Bound on ratios: they are clamped to 1/20 to 20.
const RATIO_MAX: f64 = 20.0;

/// Exponentially decaying estimate of an executor's slowdown.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Slowdown {
    log_ratio: f64,
    samples: u32,
    updated_at: Mono,
}

impl Slowdown {
    /// Updates the estimate by a completed run.
    pub fn observe(&mut self, now: Mono, took: Micros, estimate: Micros) {
        let sample = log_ratio(took, estimate);
        let current = self.decayed_log_ratio(now);
        self.samples = self.samples.saturating_add(1);
        let has_recovered = current > SLOW_LOG_RATIO && sample < current - SLOW_LOG_RATIO;
        let alpha = match has_recovered {
            true => CHANGED_ALPHA,
            false => ALPHA.max(1.0 / f64::from(self.samples + 1)),
        };
        self.log_ratio = current + alpha * (sample - current);
        self.updated_at = now;
    }

    /// Updates the estimate by the least total time of an unfinished run, if that time shows that the
    /// executor has become slow.
    pub fn observe_unfinished(&mut self, now: Mono, least: Micros, estimate: Micros) {
        let sample = log_ratio(least, estimate);
        let current = self.decayed_log_ratio(now);
        if sample > current.max(0.0) + UNFINISHED_LOG_RATIO {
            self.log_ratio = current + CHANGED_ALPHA * (sample - current);
            self.updated_at = now;
        }
    }

    /// Returns whether the executor is slow beyond what wrong estimates and the usual differences between
    /// executors explain.
    pub fn is_slow(&self, now: Mono) -> bool {
        self.decayed_log_ratio(now) > SLOW_LOG_RATIO
    }

    /// Returns the factor on run times: 1 for an ordinary executor, 2 if runs take twice as long.
    pub fn factor(&self, now: Mono) -> f64 {
        self.decayed_log_ratio(now).exp()
    }

    fn decayed_log_ratio(&self, now: Mono) -> f64 {
        let age_s = as_f64(now.since(self.updated_at).0) / 1e6;
        self.log_ratio * (-age_s / HALF_LIFE_S).exp2()
    }
}

fn log_ratio(took: Micros, estimate: Micros) -> f64 {
    let ratio = as_f64(took.0.max(1)) / as_f64(estimate.0.max(1));
    ratio.clamp(1.0 / RATIO_MAX, RATIO_MAX).ln()
}

/// Converts an integer to `f64`; exact up to 2^53.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn as_f64(value: u64) -> f64 {
    value as f64
}

/// Multiplies a duration by a factor.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn scaled(span: Micros, factor: f64) -> Micros {
    Micros((as_f64(span.0) * factor).max(0.0) as u64)
}
