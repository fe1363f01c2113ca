//! How slow an executor is, relative to its peers, over all classes.

use onyxshed_core::Mono;

use crate::span::as_us;

/// Weight of the newest sample in the long run.
const ALPHA: f64 = 0.08;

/// Weight of the newest sample in the short run.
const RECENT_ALPHA: f64 = 0.3;

/// Time after which a bad opinion has faded to a third, in microseconds.
///
/// An executor held to be slow gets no tasks while faster ones are free, so nothing would ever
/// correct the opinion; fading lets a task through now and then.
const FADE_US: f64 = 60e6;

/// Largest ratio of one sample that counts, as a natural logarithm.
const SAMPLE_MAX: f64 = 5.0;

/// Running logarithmic mean of service time over the class's median.
#[derive(Debug, Clone, Default)]
pub struct Speed {
    log: f64,
    recent_log: f64,
    samples: u32,
    at: Mono,
}

impl Speed {
    /// Takes in one task's service time over its class's median.
    pub fn observe(&mut self, now: Mono, ratio: f64) {
        let sample = ratio.ln().clamp(-SAMPLE_MAX, SAMPLE_MAX);
        self.samples = self.samples.saturating_add(1);
        let alpha = ALPHA.max(1.0 / (f64::from(self.samples) + 1.0));
        self.log += alpha * (sample - self.log);
        self.recent_log += RECENT_ALPHA.max(alpha) * (sample - self.recent_log);
        self.at = now;
    }

    /// Gets how many times as slow as its peers it is.
    pub fn slowdown(&self, now: Mono) -> f64 {
        if self.log <= 0.0 {
            return self.log.exp();
        }
        let fade = (-as_us(now.since(self.at)) / FADE_US).exp();
        (self.log * fade).exp()
    }

    /// Gets how many times as slow as its peers it has been of late.
    pub fn recent_slowdown(&self) -> f64 {
        self.recent_log.exp()
    }

    /// Gets how many times as slow as in the long run it has been of late.
    pub fn worsening(&self) -> f64 {
        (self.recent_log - self.log).exp()
    }

    /// Gets the number of samples taken in.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Forgets everything.
    pub fn reset(&mut self) {
        *self = Speed::default();
    }
}
