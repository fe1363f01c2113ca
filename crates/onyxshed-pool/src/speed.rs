//! Estimation of an executor's slowdown from its runs.
//!
//! The slowdown is the factor by which runs on an executor take longer than estimated. Each
//! completed run is a sample: its run time divided by its estimate. The estimates are off by half
//! in either direction, so the logarithms of the samples are averaged.

use onyxshed_core::{Micros, Mono};

/// Weight of the newest sample. With this weight, a few runs show that an executor has become slow,
/// and callers' wrong estimates average out.
const ALPHA: f64 = 0.2;

/// Weight of a sample that shows that the executor has become slow or has recovered.
const CHANGED_ALPHA: f64 = 0.7;

/// Logarithm of the slowdown above which an executor is slow: a factor of three.
const SLOW_LOG_RATIO: f64 = 1.1;

/// Logarithm of the factor by which the sample of an unfinished run must exceed the larger of the
/// current slowdown and 1 to show that the executor has become slow. The factor is five, since the
/// estimate of a single run may be far too low.
const UNFINISHED_LOG_RATIO: f64 = 1.6;

/// Half-life of the slowdown's logarithm, in seconds. A slow executor gets no long tasks and could
/// not show that it has recovered; because of the decay, it gets tasks again.
const HALF_LIFE_S: f64 = 6.0;

/// Bound on samples: they are clamped to the range from 1/20 to 20.
const RATIO_MAX: f64 = 20.0;

/// Estimate of an executor's slowdown, which decays towards 1 while no samples are added.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Slowdown {
    log_ratio: f64,
    samples: u32,
    updated_at: Mono,
}

impl Slowdown {
    /// Updates the estimate by a completed run that took `took` and would take `estimate` on an
    /// executor with slowdown 1.
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

    /// Updates the estimate by an unfinished run whose total run time will be at least `least`, if
    /// that time shows that the executor has become slow.
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

    /// Returns the factor on run times: 1 if runs take as long as estimated, 2 if they take twice
    /// as long.
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

/// Multiplies a duration by a factor; the result is rounded down and at least zero.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn scaled(span: Micros, factor: f64) -> Micros {
    Micros((as_f64(span.0) * factor).max(0.0) as u64)
}
