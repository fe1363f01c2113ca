//! Rate of arriving work, kept per class and per upstream to detect overload and to compute the
//! share of each class.

use onyxshed_core::{Millis, Mono};

use crate::span::as_us;

/// Time constant of the exponential decay of the rate.
const RATE_TIME_CONSTANT: Millis = Millis(1_000);

/// The rate of arriving work of a class or an upstream, with exponential decay.
#[derive(Debug, Clone, Default)]
pub struct OfferedLoad {
    work_us: f64,
    updated_at: Mono,
}

impl OfferedLoad {
    /// Adds the work of an arriving task: its expected service time in microseconds on an executor
    /// of ordinary speed.
    pub fn record_arrival(&mut self, now: Mono, work_us: f64) {
        self.work_us = self.decayed_us(now) + work_us;
        self.updated_at = now;
    }

    /// Returns how many slots of ordinary speed the arriving work keeps busy.
    pub fn slots(&self, now: Mono) -> f64 {
        self.decayed_us(now) / as_us(RATE_TIME_CONSTANT.into())
    }

    fn decayed_us(&self, now: Mono) -> f64 {
        self.work_us * (-as_us(now.since(self.updated_at)) / as_us(RATE_TIME_CONSTANT.into())).exp()
    }
}
