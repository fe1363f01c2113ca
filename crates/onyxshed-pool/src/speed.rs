//! How slow an executor is, learned from its runs.
//!
//! Each run that ends gives a ratio: what it took over what its caller estimated. The estimates are
//! off by half either way, so ratios are averaged as logarithms.

use onyxshed_core::{Micros, Mono};

/// Weight of the newest ratio: a few runs show an executor that turns slow, and the callers' wrong
/// estimates even out.
const ALPHA: f64 = 0.2;

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
        let ratio = as_f64(took.0.max(1)) / as_f64(estimate.0.max(1));
        let log = ratio.clamp(1.0 / RATIO_MAX, RATIO_MAX).ln();
        let held = self.decayed(now);
        self.samples = self.samples.saturating_add(1);
        let alpha = ALPHA.max(1.0 / f64::from(self.samples + 1));
        self.log = held + alpha * (log - held);
        self.at = now;
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
