//! Work counted over the last second.

use onyxshed_core::Mono;

/// Duration of a bucket, in microseconds.
const BUCKET_US: u64 = 100_000;

/// Number of buckets; together they cover one second.
const BUCKETS: usize = 10;

/// Work that was recorded within the last second, in buckets of 100 ms. The time before the first
/// record counts as idle.
///
/// A time before that of the newest bucket counts as the time of the newest bucket.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentWork {
    buckets: [u64; BUCKETS],
    newest_bucket: u64,
}

impl RecentWork {
    /// Records work.
    pub fn record(&mut self, now: Mono, work: u64) {
        self.advance(now);
        let bucket = &mut self.buckets[bucket_index(self.newest_bucket)];
        *bucket = bucket.saturating_add(work);
    }

    /// Returns the work that was recorded within the last second.
    pub fn total(&self, now: Mono) -> u64 {
        let newest = now.0 / BUCKET_US;
        let kept = BUCKETS as u64;
        (0..kept)
            .filter_map(|age| self.newest_bucket.checked_sub(age))
            .filter(|number| number + kept > newest)
            .map(|number| self.buckets[bucket_index(number)])
            .fold(0, u64::saturating_add)
    }

    /// Clears the buckets that began since the last record.
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
