//! Which sizes of a class's jobs an overloaded pool admits when the class offers more than its part.
//!
//! Small jobs are served by more callers for the same room. Size must not decide alone, so jobs above
//! the limit are admitted as well, with a share of [`LARGE_SHARE`] of what the class gets on the
//! whole.

use onyxshed_core::{Micros, Mono};

use crate::speed::as_f64;

/// Share in which jobs above the limit are admitted, as a part of the share of all jobs of the
/// class.
const LARGE_SHARE: f64 = 0.65;

/// Factor on the filled part at an update after jobs of admitted sizes could not be served.
const FILL_DECREASE: f64 = 0.9;

/// Increase of the filled part at any other update.
const FILL_INCREASE: f64 = 0.01;

/// Bounds of the filled part.
const FILL_MIN: f64 = 0.3;
const FILL_MAX: f64 = 1.5;

/// Number of size buckets, two for each doubling of the work.
const BUCKETS: usize = 64;

/// Time over which arrivals are averaged.
const SPAN: Micros = Micros(1_000_000);

/// Work and number of arriving jobs of one size.
#[derive(Debug, Clone, Copy, Default)]
struct Arrivals {
    work: f64,
    jobs: f64,
}

/// Sizes of a class's arriving jobs over about a second, and the share of each that is admitted.
#[derive(Debug)]
pub struct SizeLimit {
    arrivals: [Arrivals; BUCKETS],
    updated_at: Mono,
    /// Number of the bucket of which a part is admitted; smaller sizes are admitted whole.
    limit: usize,
    /// Share admitted at the limit.
    share_at_limit: f64,
    /// Share admitted above the limit.
    share_above: f64,
    /// Part of the class's room that is filled, corrected by what could not be served.
    fill: f64,
    /// Whether a job of an admitted size was refused since the last update.
    has_excess: bool,
    /// Shares of arrivals that have not been admitted yet.
    credit: f64,
}

impl Default for SizeLimit {
    fn default() -> Self {
        SizeLimit {
            arrivals: [Arrivals::default(); BUCKETS],
            updated_at: Mono(0),
            limit: BUCKETS,
            share_at_limit: 1.0,
            share_above: 1.0,
            fill: 1.0,
            has_excess: false,
            credit: 0.0,
        }
    }
}

impl SizeLimit {
    /// Records an arriving job with its work, in thousandths of a core times milliseconds, and
    /// returns whether its size is admitted.
    pub fn admit(&mut self, work: u64) -> bool {
        let bucket = bucket_of(work);
        self.arrivals[bucket].work += as_f64(work);
        self.arrivals[bucket].jobs += 1.0;
        let share = match bucket {
            bucket if bucket < self.limit => return true,
            bucket if bucket == self.limit => self.share_at_limit,
            _ => self.share_above,
        };
        self.credit += share;
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }

    /// Records that a job of an admitted size could not be served.
    pub fn record_excess(&mut self) {
        self.has_excess = true;
    }

    /// Sets the limit so that what is admitted fills `part`, in thousandths of a core.
    pub fn update(&mut self, now: Mono, part: u64) {
        let age = as_f64(now.since(self.updated_at).0) / as_f64(SPAN.0);
        self.updated_at = now;
        let decay = (-age).exp();
        let mut total = Arrivals::default();
        for arrivals in &mut self.arrivals {
            arrivals.work *= decay;
            arrivals.jobs *= decay;
            total.work += arrivals.work;
            total.jobs += arrivals.jobs;
        }
        // The averages cover one second; the part is work in a millisecond.
        self.fill = match std::mem::take(&mut self.has_excess) {
            true => (self.fill * FILL_DECREASE).max(FILL_MIN),
            false => (self.fill + FILL_INCREASE).min(FILL_MAX),
        };
        let room = self.fill * as_f64(part) * as_f64(SPAN.as_millis().0);
        let mut below = Arrivals::default();
        for (bucket, arrivals) in self.arrivals.iter().enumerate() {
            let share = LARGE_SHARE * below.jobs / total.jobs.max(f64::MIN_POSITIVE);
            let above = total.work - below.work - arrivals.work;
            let left = room - below.work - share * above;
            if left < arrivals.work {
                self.limit = bucket;
                self.share_at_limit = (left / arrivals.work).clamp(share, 1.0);
                let begun = below.jobs + self.share_at_limit * arrivals.jobs;
                self.share_above = LARGE_SHARE * begun / total.jobs;
                return;
            }
            below.work += arrivals.work;
            below.jobs += arrivals.jobs;
        }
        self.limit = BUCKETS;
    }
}

/// Returns the bucket of a job's work.
fn bucket_of(work: u64) -> usize {
    let work = work.max(1);
    let doublings = work.ilog2();
    let is_upper_half = work >> doublings.saturating_sub(8) >= 362;
    let bucket = (2 * doublings).saturating_sub(20) + u32::from(is_upper_half);
    usize::try_from(bucket).unwrap_or(BUCKETS).min(BUCKETS - 1)
}
