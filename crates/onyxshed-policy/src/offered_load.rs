//! Rate of arriving work.

use onyxshed_core::{Millis, Mono};

use crate::span::as_us;

/// Time constant of the rate.
const RATE_TIME_CONSTANT: Millis = Millis(1_000);

/// The rate of arriving work of a class or an upstream, with exponential decay.
#[derive(Debug, Clone, Default)]
pub struct OfferedLoad {
    work_us: f64,
    updated_at: Mono,
}

impl OfferedLoad {
    /// Adds arriving work, in microseconds on one slot of ordinary speed.
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
