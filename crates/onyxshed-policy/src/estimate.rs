//! Service times, learned from what executors report.
//!
//! Declared run times do not exist here. Each class keeps two decaying histograms: the times as
//! seen, whose median is what an executor's speed is measured against, and the times with the
//! executor's speed taken out, which say how long a task takes on an executor of ordinary speed.

use onyxshed_core::{Micros, Millis, Mono};

use crate::span::as_us;

/// Steps for each doubling of the span.
const STEPS_PER_OCTAVE: u64 = 4;

/// Exponent of the shortest span told apart: 64 microseconds.
const FIRST_OCTAVE: u32 = 6;

/// Octaves covered; the last one ends at 134 seconds.
const OCTAVES: usize = 21;

/// Buckets of a histogram.
const BUCKETS: usize = OCTAVES * 4;

/// Weight at which a histogram is halved, so that it forgets.
const HALVE_AT: f64 = 512.0;

/// Weight of the newest sample in a running mean.
const MEAN_ALPHA: f64 = 0.05;

/// Samples before a histogram is believed.
const BELIEVED_AT: f64 = 4.0;

/// Time without a sample after which an estimate is put to the test, in milliseconds.
const STALE_AFTER: Millis = Millis(2_000);

/// A decaying histogram of spans in steps of a quarter octave.
#[derive(Debug, Clone)]
pub struct Spread {
    counts: [f64; BUCKETS],
    total: f64,
    mean_us: f64,
    seen: u64,
}

impl Default for Spread {
    fn default() -> Self {
        Spread {
            counts: [0.0; BUCKETS],
            total: 0.0,
            mean_us: 0.0,
            seen: 0,
        }
    }
}

impl Spread {
    /// Takes in a span.
    pub fn observe(&mut self, span: Micros) {
        if self.total >= HALVE_AT {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
        self.counts[bucket(span)] += 1.0;
        self.total += 1.0;
        self.seen += 1;
        let alpha = MEAN_ALPHA.max(1.0 / self.seen as f64);
        self.mean_us += alpha * (as_us(span) - self.mean_us);
    }

    /// Gets the span that a share `q` of tasks stays within, in microseconds; none until learned.
    pub fn quantile_us(&self, q: f64) -> Option<f64> {
        if self.total < BELIEVED_AT {
            return None;
        }
        let wanted = q.clamp(0.0, 1.0) * self.total;
        let mut below = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            if below + count >= wanted && *count > 0.0 {
                let part = (wanted - below).max(0.0) / count;
                let low = lower_us(index);
                return Some(low + part * (lower_us(index + 1) - low));
            }
            below += count;
        }
        None
    }

    /// Gets the running mean in microseconds; none until learned.
    pub fn mean_us(&self) -> Option<f64> {
        (self.total >= BELIEVED_AT).then_some(self.mean_us)
    }
}

/// Gets the bucket of a span.
fn bucket(span: Micros) -> usize {
    let us = span.0.max(1 << FIRST_OCTAVE);
    let octave = us.ilog2();
    let step = (us >> (octave - 2)) % STEPS_PER_OCTAVE;
    let index = u64::from(octave - FIRST_OCTAVE) * STEPS_PER_OCTAVE + step;
    usize::try_from(index).map_or(BUCKETS - 1, |index| index.min(BUCKETS - 1))
}

/// Gets a bucket's lower end in microseconds.
fn lower_us(index: usize) -> f64 {
    let octave = f64::from(FIRST_OCTAVE) + (index / 4) as f64;
    octave.exp2() * (1.0 + (index % 4) as f64 / 4.0)
}

/// What is known of one class's service time.
#[derive(Debug, Clone, Default)]
pub struct ClassEstimate {
    seen: Spread,
    levelled: Spread,
    at: Mono,
}

impl ClassEstimate {
    /// Takes in a service time of an executor `slowdown` times as slow as the ordinary one.
    pub fn observe(&mut self, now: Mono, service: Micros, slowdown: f64) {
        self.at = now;
        self.seen.observe(service);
        self.levelled
            .observe(crate::span::to_micros(as_us(service) / slowdown));
    }

    /// Tells whether nothing was learned for so long that it may hold no more.
    ///
    /// A class refused because its tasks took too long would never show that they are faster now.
    pub fn is_stale(&self, now: Mono) -> bool {
        now.since(self.at) > STALE_AFTER.into()
    }

    /// Gets how slow one service time is, relative to the class's median; none until learned.
    pub fn ratio(&self, service: Micros) -> Option<f64> {
        let median_us = self.seen.quantile_us(0.5)?;
        Some(as_us(service).max(1.0) / median_us.max(1.0))
    }

    /// Gets a quantile on an executor of ordinary speed, in microseconds; none until learned.
    pub fn quantile_us(&self, q: f64) -> Option<f64> {
        self.levelled.quantile_us(q)
    }

    /// Gets a quantile over the executors as they were used, in microseconds; none until learned.
    pub fn seen_quantile_us(&self, q: f64) -> Option<f64> {
        self.seen.quantile_us(q)
    }

    /// Gets the mean on an executor of ordinary speed, in microseconds; none until learned.
    pub fn mean_us(&self) -> Option<f64> {
        self.levelled.mean_us()
    }
}
