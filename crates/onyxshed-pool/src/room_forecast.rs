//! Processor room by the time at which running tasks are expected to end.
//!
//! Room is kept by the speed of the executor that makes it, since a task that would miss its target
//! on a slow executor has no place there. The forecast is rebuilt from the runs at each tick of the
//! pool; between ticks, runs are added and removed as they start and end.

use onyxshed_core::{Micros, Mono};

use crate::speed::as_f64;

/// Duration of a bucket, in microseconds.
const BUCKET_US: u64 = 10_000;

/// Number of buckets; together they cover four seconds.
const BUCKETS: usize = 400;

/// Speed bands per doubling of the slowdown.
const BANDS_PER_DOUBLING: f64 = 4.0;

/// Number of the band of executors with slowdown 1.
const MIDDLE_BAND: u8 = 8;

/// Number of bands, from a slowdown of 1/4 to 4.
const BANDS: u8 = 17;

/// Weight of the newest sample of the usable share.
const USABLE_ALPHA: f64 = 0.1;

/// Least usable share, so that a wrong measure can't keep all jobs from beginning.
const USABLE_MIN: f64 = 0.5;

/// Executors of about the same slowdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SpeedBand(u8);

impl SpeedBand {
    /// Returns the band of an executor with a slowdown factor.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn of(factor: f64) -> SpeedBand {
        let steps = (factor.max(f64::MIN_POSITIVE).log2() * BANDS_PER_DOUBLING).round();
        let number = (steps + f64::from(MIDDLE_BAND)).clamp(0.0, f64::from(BANDS - 1));
        SpeedBand(number as u8)
    }

    /// Returns the slowdown factor in the middle of the band.
    pub fn factor(self) -> f64 {
        ((f64::from(self.0) - f64::from(MIDDLE_BAND)) / BANDS_PER_DOUBLING).exp2()
    }

    /// Returns all bands, the fastest first.
    pub fn all() -> impl Iterator<Item = SpeedBand> {
        (0..BANDS).map(SpeedBand)
    }
}

/// Where a run is entered in a forecast.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomSlot {
    band: SpeedBand,
    bucket: usize,
}

/// Room that running tasks are expected to make within four seconds, in thousandths of a core.
#[derive(Debug)]
pub struct RoomForecast {
    begins_at: Mono,
    /// Buckets of each band.
    room: Vec<[u64; BUCKETS]>,
    /// Total of each band, so that empty ones are skipped.
    totals: Vec<u64>,
    usable_share: f64,
}

impl RoomForecast {
    /// Creates a forecast without runs that begins at `now`.
    pub fn new(now: Mono) -> Self {
        RoomForecast {
            begins_at: now,
            room: vec![[0; BUCKETS]; usize::from(BANDS)],
            totals: vec![0; usize::from(BANDS)],
            usable_share: 1.0,
        }
    }

    /// Removes all runs and begins the forecast at `now`. Slots of earlier runs are void.
    pub fn clear(&mut self, now: Mono) {
        self.begins_at = now;
        for (room, total) in self.room.iter_mut().zip(&mut self.totals) {
            if std::mem::take(total) > 0 {
                *room = [0; BUCKETS];
            }
        }
    }

    /// Adds a run of `cpu_millis` that is expected to end at `ends_at`. Returns `None` if that is
    /// beyond the forecast.
    pub fn add(&mut self, band: SpeedBand, ends_at: Mono, cpu_millis: u32) -> Option<RoomSlot> {
        let bucket = self.bucket(ends_at).filter(|bucket| *bucket < BUCKETS)?;
        self.room[usize::from(band.0)][bucket] += u64::from(cpu_millis);
        self.totals[usize::from(band.0)] += u64::from(cpu_millis);
        Some(RoomSlot { band, bucket })
    }

    /// Removes a run that was added since the last [`RoomForecast::clear`].
    pub fn remove(&mut self, slot: RoomSlot, cpu_millis: u32) {
        let band = usize::from(slot.band.0);
        let room = &mut self.room[band][slot.bucket];
        *room = room.saturating_sub(cpu_millis.into());
        self.totals[band] = self.totals[band].saturating_sub(cpu_millis.into());
    }

    /// Returns the room that runs on executors of a band are expected to make until `at`, in
    /// thousandths of a core.
    pub fn freed_by(&self, band: SpeedBand, at: Mono) -> u64 {
        let band = usize::from(band.0);
        if self.totals[band] == 0 || at < self.begins_at {
            return 0;
        }
        let end = self.bucket(at).unwrap_or(BUCKETS).min(BUCKETS);
        self.room[band][..end].iter().sum()
    }

    /// Records how much of the capacity was in use while jobs waited.
    pub fn record_use(&mut self, used_cpu_millis: u64, capacity_cpu_millis: u64) {
        if capacity_cpu_millis > 0 {
            let sample = as_f64(used_cpu_millis) / as_f64(capacity_cpu_millis);
            self.usable_share += USABLE_ALPHA * (sample - self.usable_share);
            self.usable_share = self.usable_share.clamp(USABLE_MIN, 1.0);
        }
    }

    /// Returns the share of room that tasks can use, which is below 1 since room is in pieces.
    pub fn usable_share(&self) -> f64 {
        self.usable_share
    }

    fn bucket(&self, at: Mono) -> Option<usize> {
        let Micros(ahead) = at.since(self.begins_at);
        usize::try_from(ahead / BUCKET_US).ok()
    }
}
