//! How much work arrives, as a running rate.

use onyxshed_core::{Millis, Mono};

use crate::span::as_us;

/// Time over which the rate is taken, in milliseconds.
const WINDOW: Millis = Millis(1_000);

/// A rate of work with exponential forgetting.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    work_us: f64,
    at: Mono,
}

impl Demand {
    /// Takes in work that arrives, in microseconds on one slot of ordinary speed.
    pub fn arrived(&mut self, now: Mono, work_us: f64) {
        self.work_us = self.kept_us(now) + work_us;
        self.at = now;
    }

    /// Gets how many slots of ordinary speed the arriving work keeps busy.
    pub fn slots(&self, now: Mono) -> f64 {
        self.kept_us(now) / as_us(WINDOW.into())
    }

    fn kept_us(&self, now: Mono) -> f64 {
        self.work_us * (-as_us(now.since(self.at)) / as_us(WINDOW.into())).exp()
    }
}
