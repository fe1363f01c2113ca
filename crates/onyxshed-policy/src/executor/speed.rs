//! Slowdown of an executor relative to the others, learned over all classes. Placement prefers
//! executors with a low slowdown, and the breaker opens when it is very high.

use onyxshed_core::Mono;

use crate::span::as_us;

/// Weight of the newest sample in the long-run mean.
const ALPHA: f64 = 0.08;

/// Weight of the newest sample in the short-run mean.
const RECENT_ALPHA: f64 = 0.3;

/// Time without samples after which the logarithm of a slowdown above 1 has decayed to about a
/// third.
///
/// An executor that counts as slow gets no tasks while faster ones are free, so no sample would
/// ever correct its slowdown. Because of the decay it occasionally gets a task.
const DECAY_US: f64 = 60e6;

/// Maximum absolute value of one sample, as a natural logarithm.
const SAMPLE_MAX: f64 = 5.0;

/// Running means of the natural logarithm of the ratio of service time to class median.
#[derive(Debug, Clone, Default)]
pub struct Speed {
    log: f64,
    recent_log: f64,
    samples: u32,
    updated_at: Mono,
}

impl Speed {
    /// Adds a sample: one task's service time divided by its class's median.
    pub fn observe(&mut self, now: Mono, ratio: f64) {
        let sample = ratio.ln().clamp(-SAMPLE_MAX, SAMPLE_MAX);
        self.samples = self.samples.saturating_add(1);
        let alpha = ALPHA.max(1.0 / (f64::from(self.samples) + 1.0));
        self.log += alpha * (sample - self.log);
        self.recent_log += RECENT_ALPHA.max(alpha) * (sample - self.recent_log);
        self.updated_at = now;
    }

    /// Returns the long-run slowdown; a slowdown above 1 decays towards 1 while there are no
    /// samples.
    pub fn slowdown(&self, now: Mono) -> f64 {
        if self.log <= 0.0 {
            return self.log.exp();
        }
        let decay = (-as_us(now.since(self.updated_at)) / DECAY_US).exp();
        (self.log * decay).exp()
    }

    /// Returns the slowdown over about the last three samples, without decay.
    pub fn recent_slowdown(&self) -> f64 {
        self.recent_log.exp()
    }

    /// Returns the ratio of the recent to the long-run slowdown, without decay.
    pub fn slowdown_increase(&self) -> f64 {
        (self.recent_log - self.log).exp()
    }

    /// Returns the number of samples since the last reset.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Resets to the state without samples.
    pub fn reset(&mut self) {
        *self = Speed::default();
    }
}
