//! Rate at which new work arrives at a pool.
//!
//! The owner compares it with the pool's capacity to decide whether slow executors are needed and
//! which late jobs are shed.

use onyxshed_core::Mono;

/// Duration of a bucket, in microseconds.
const BUCKET_US: u64 = 100_000;

/// Number of buckets; together they cover one second.
const BUCKETS: usize = 10;

/// Work that arrived within the last second, in thousandths of a core times milliseconds, in
/// buckets of 100 ms.
///
/// The time before the pool was created counts as idle.
#[derive(Debug, Default)]
pub struct OfferedLoad {
    buckets: [u64; BUCKETS],
    newest_bucket: u64,
}

impl OfferedLoad {
    /// Records the work of an arriving job, in thousandths of a core times milliseconds.
    pub fn record(&mut self, now: Mono, work: u64) {
        self.advance(now);
        self.buckets[bucket_index(self.newest_bucket)] += work;
    }

    /// Returns the work that arrived within the last second, divided by one second, in thousandths
    /// of a core.
    pub fn cpu_millis(&self, now: Mono) -> u64 {
        let newest = now.0 / BUCKET_US;
        let kept = BUCKETS as u64;
        let work: u64 = (0..kept)
            .filter_map(|age| self.newest_bucket.checked_sub(age))
            .filter(|number| number + kept > newest)
            .map(|number| self.buckets[bucket_index(number)])
            .sum();
        work * 1_000 / (kept * BUCKET_US)
    }

    /// Clears the buckets that began since the last recorded work.
    fn advance(&mut self, now: Mono) {
        let newest = now.0 / BUCKET_US;
        let passed = newest
            .saturating_sub(self.newest_bucket)
            .min(BUCKETS as u64);
        for age in 0..passed {
            self.buckets[bucket_index(newest - age)] = 0;
        }
        self.newest_bucket = self.newest_bucket.max(newest);
    }
}

fn bucket_index(number: u64) -> usize {
    usize::try_from(number % BUCKETS as u64).unwrap_or_default()
}
