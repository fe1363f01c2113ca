//! Estimates of service times, learned from the executors' reports.
//!
//! Tasks declare no run times. Each class keeps two decaying histograms: the measured times, whose
//! median is the reference for an executor's speed, and the times divided by the executor's
//! slowdown, which estimate how long a task takes on an executor of ordinary speed (slowdown 1).

use onyxshed_core::{Micros, Millis, Mono};

use crate::span::as_us;

/// Buckets per doubling of the time.
const STEPS_PER_OCTAVE: u64 = 4;

/// Binary logarithm of the shortest time with a bucket of its own: 64 microseconds.
const FIRST_OCTAVE: u32 = 6;

/// Number of octaves (doublings of the time) covered; the last one ends at 134 seconds.
const OCTAVES: usize = 21;

/// Number of buckets of a histogram.
const BUCKETS: usize = OCTAVES * 4;

/// Total weight at which all counts are halved, so that old samples decay.
const HALVE_AT: f64 = 512.0;

/// Weight of the newest sample in the running mean.
const MEAN_ALPHA: f64 = 0.05;

/// Total weight, one per recent sample, below which a histogram returns no estimate.
const MIN_WEIGHT: f64 = 4.0;

/// Time without a sample after which an estimate is stale and a task is run to renew it.
const STALE_AFTER: Millis = Millis(2_000);

/// A decaying histogram of times, with buckets of a quarter octave.
#[derive(Debug, Clone)]
pub struct Histogram {
    counts: [f64; BUCKETS],
    total: f64,
    mean_us: f64,
    samples: u64,
}

impl Default for Histogram {
    fn default() -> Self {
        Histogram {
            counts: [0.0; BUCKETS],
            total: 0.0,
            mean_us: 0.0,
            samples: 0,
        }
    }
}

impl Histogram {
    /// Adds a time with weight 1; a time outside the range of the buckets counts in the first or
    /// last.
    pub fn observe(&mut self, span: Micros) {
        if self.total >= HALVE_AT {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
        self.counts[bucket_index(span)] += 1.0;
        self.total += 1.0;
        self.samples += 1;
        let alpha = MEAN_ALPHA.max(1.0 / self.samples as f64);
        self.mean_us += alpha * (as_us(span) - self.mean_us);
    }

    /// Returns the `q` quantile in microseconds; `None` as long as there are too few samples.
    pub fn quantile_us(&self, q: f64) -> Option<f64> {
        if self.total < MIN_WEIGHT {
            return None;
        }
        let wanted = q.clamp(0.0, 1.0) * self.total;
        let mut cumulative = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            if cumulative + count >= wanted && *count > 0.0 {
                let part = (wanted - cumulative).max(0.0) / count;
                let low = bucket_lower_us(index);
                return Some(low + part * (bucket_lower_us(index + 1) - low));
            }
            cumulative += count;
        }
        None
    }

    /// Returns the running mean in microseconds; `None` as long as there are too few samples.
    pub fn mean_us(&self) -> Option<f64> {
        (self.total >= MIN_WEIGHT).then_some(self.mean_us)
    }
}

/// Returns the index of the bucket that contains a time.
fn bucket_index(span: Micros) -> usize {
    let us = span.0.max(1 << FIRST_OCTAVE);
    let octave = us.ilog2();
    let step = (us >> (octave - 2)) % STEPS_PER_OCTAVE;
    let index = u64::from(octave - FIRST_OCTAVE) * STEPS_PER_OCTAVE + step;
    usize::try_from(index).map_or(BUCKETS - 1, |index| index.min(BUCKETS - 1))
}

/// Returns the lower bound of the bucket with the given index, in microseconds.
fn bucket_lower_us(index: usize) -> f64 {
    let octave = f64::from(FIRST_OCTAVE) + (index / 4) as f64;
    octave.exp2() * (1.0 + (index % 4) as f64 / 4.0)
}

/// Service times of one class, in two histograms: as measured, and divided by the slowdown of the
/// executor.
#[derive(Debug, Clone, Default)]
pub struct ClassEstimate {
    measured: Histogram,
    normalized: Histogram,
    observed_at: Mono,
}

impl ClassEstimate {
    /// Adds a service time measured on an executor with the given `slowdown`.
    pub fn observe(&mut self, now: Mono, service: Micros, slowdown: f64) {
        self.observed_at = now;
        self.measured.observe(service);
        self.normalized
            .observe(crate::span::to_micros(as_us(service) / slowdown));
    }

    /// Returns whether no sample was added within `STALE_AFTER`, so that the estimate is not
    /// reliable.
    ///
    /// If such an estimate were used, a class that is refused because its tasks took too long would
    /// never run a task that shows that they have become faster.
    pub fn is_stale(&self, now: Mono) -> bool {
        now.since(self.observed_at) > STALE_AFTER.into()
    }

    /// Returns the ratio of a service time to the class's measured median; `None` as long as there
    /// are too few samples.
    pub fn ratio(&self, service: Micros) -> Option<f64> {
        let median_us = self.measured.quantile_us(0.5)?;
        Some(as_us(service).max(1.0) / median_us.max(1.0))
    }

    /// Returns the `q` quantile (0 to 1) of the service time on an executor of ordinary speed, in
    /// microseconds; `None` as long as there are too few samples.
    pub fn quantile_us(&self, q: f64) -> Option<f64> {
        self.normalized.quantile_us(q)
    }

    /// Returns the `q` quantile (0 to 1) of the service times as measured, over the mix of
    /// executors in use, in microseconds; `None` as long as there are too few samples.
    pub fn measured_quantile_us(&self, q: f64) -> Option<f64> {
        self.measured.quantile_us(q)
    }

    /// Returns the mean service time on an executor of ordinary speed, in microseconds; `None` as
    /// long as there are too few samples.
    pub fn mean_us(&self) -> Option<f64> {
        self.normalized.mean_us()
    }
}
