//! How much work callers offer to a pool.

use onyxshed_core::Mono;

/// Time that one bucket covers.
const BUCKET_US: u64 = 100_000;

/// Buckets kept; together they cover one second.
const BUCKETS: usize = 10;

/// Work that has come within the last second, in thousandths of a core times milliseconds.
///
/// For a younger pool the time before it counts as idle.
#[derive(Debug, Default)]
pub struct OfferedLoad {
    buckets: [u64; BUCKETS],
    newest: u64,
}

impl OfferedLoad {
    /// Takes in work that has come.
    pub fn record(&mut self, now: Mono, work: u64) {
        self.advance(now);
        self.buckets[bucket_of(self.newest)] += work;
    }

    /// Gets the work that comes in a millisecond, in thousandths of a core.
    pub fn cpu_millis(&self, now: Mono) -> u64 {
        let newest = now.0 / BUCKET_US;
        let kept = BUCKETS as u64;
        let work: u64 = (0..kept)
            .filter_map(|age| self.newest.checked_sub(age))
            .filter(|number| number + kept > newest)
            .map(|number| self.buckets[bucket_of(number)])
            .sum();
        work * 1_000 / (kept * BUCKET_US)
    }

    /// Empties the buckets that have passed since the last work came.
    fn advance(&mut self, now: Mono) {
        let newest = now.0 / BUCKET_US;
        let passed = newest.saturating_sub(self.newest).min(BUCKETS as u64);
        for age in 0..passed {
            self.buckets[bucket_of(newest - age)] = 0;
        }
        self.newest = self.newest.max(newest);
    }
}

fn bucket_of(number: u64) -> usize {
    usize::try_from(number % BUCKETS as u64).unwrap_or_default()
}
