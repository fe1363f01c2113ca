//! One executor as this entry host sees it.

pub mod breaker;
pub mod limit;
pub mod sharing;
pub mod speed;

use onyxshed_core::{Micros, Millis, Mono};

use crate::faults::ExecutorId;
use crate::span::as_us;
use crate::work::ExecutorInfo;
use breaker::{Breaker, Gate};
use limit::Limit;
use sharing::{Room, Sharing, Terms};
use speed::Speed;

/// How long a draining report is believed when the host list says nothing, in milliseconds.
const DRAINING_BELIEVED: Millis = Millis(30_000);

/// Silence that puts an executor in doubt, in times of what its tasks usually stay within.
const PATIENCE_FACTOR: u64 = 4;

/// Shortest silence that puts an executor in doubt, in milliseconds.
const PATIENCE_MIN: Millis = Millis(500);

/// State of one executor.
#[derive(Debug)]
pub struct Executor {
    /// Its number over its whole life here; never used again.
    pub id: ExecutorId,
    /// What the configuration says of it.
    pub info: ExecutorInfo,
    /// Attempts of ours that have not ended.
    pub in_flight: u32,
    /// Whether it is no longer known; it goes when its last attempt has ended.
    pub is_gone: bool,
    /// How slow it is.
    pub speed: Speed,
    /// How much it takes.
    pub limit: Limit,
    /// What others run there.
    pub sharing: Sharing,
    /// Whether it gets work.
    pub breaker: Breaker,
    quiet_since: Mono,
    usual: Micros,
    draining_until: Mono,
}

impl Executor {
    /// Makes the state of an executor that has just become known.
    pub fn new(id: ExecutorId, info: ExecutorInfo) -> Self {
        Executor {
            id,
            limit: Limit::new(info.slots),
            info,
            in_flight: 0,
            is_gone: false,
            speed: Speed::default(),
            sharing: Sharing::default(),
            breaker: Breaker::default(),
            quiet_since: Mono::default(),
            usual: Micros(u64::MAX),
            draining_until: Mono::default(),
        }
    }

    /// Tells whether it may get new work as far as its life cycle goes.
    pub fn is_live(&self, now: Mono) -> bool {
        let is_kept = !self.is_gone && !self.info.is_draining;
        is_kept && self.info.slots > 0 && self.draining_until <= now
    }

    /// Tells whether attempts are there and nothing has come back for longer than its patience.
    pub fn is_quiet(&self, now: Mono) -> bool {
        self.in_flight > 0 && now.since(self.quiet_since) > self.patience()
    }

    /// Gets what it may get now, with everything but its place for one more task counted.
    ///
    /// One that has gone quiet gets nothing more at once; when its breaker has opened for that, it
    /// is tried like any other, as its old tasks may never be heard of again.
    pub fn gate(&self, now: Mono) -> Gate {
        let gate = self.breaker.gate(now);
        let is_doubtful = gate == Gate::Work && self.is_quiet(now);
        if is_doubtful || !self.is_live(now) {
            return Gate::Shut;
        }
        gate
    }

    /// Tells whether it has a place for one more task of ours, on the terms of the way there.
    pub fn has_place(&self, now: Mono, terms: Terms) -> bool {
        self.sharing.may_start(
            now,
            Room {
                limit: self.limit.get(self.info.slots),
                in_flight: self.in_flight,
                terms,
            },
        )
    }

    /// Gets how many of its slots this host can count on.
    pub fn own_slots(&self, sharers: u32) -> f64 {
        let limit = self.limit.get(self.info.slots);
        let share = limit / f64::from(sharers.max(1));
        (limit - self.sharing.others_mean()).clamp(share, limit)
    }

    /// Gets how slow it is held to be now, silence counted.
    pub fn slowdown(&self, now: Mono) -> f64 {
        let slowdown = self.speed.slowdown(now);
        if self.in_flight == 0 {
            return slowdown;
        }
        let silence = as_us(now.since(self.quiet_since)) / as_us(self.usual).max(1.0);
        slowdown * silence.max(1.0)
    }

    /// Takes in that an attempt goes there; all but few attempts are over within `usual`.
    pub fn started(&mut self, now: Mono, usual: Micros) {
        if self.in_flight == 0 {
            self.quiet_since = now;
            self.usual = usual;
        }
        self.usual = self.usual.max(usual);
        self.in_flight += 1;
    }

    /// Takes in that an attempt there has ended, and whether the executor was heard.
    pub fn ended(&mut self, now: Mono, was_heard: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if was_heard {
            self.quiet_since = now;
        }
    }

    /// Takes in that it says it is leaving, or that it is not.
    pub fn draining(&mut self, now: Mono, is_draining: bool) {
        self.draining_until = if is_draining {
            now + DRAINING_BELIEVED
        } else {
            Mono::default()
        };
    }

    /// Silence beyond this, while attempts are there, is no long task any more.
    pub fn patience(&self) -> Micros {
        let patience = Micros(self.usual.0.saturating_mul(PATIENCE_FACTOR));
        patience.max(Micros::from(PATIENCE_MIN))
    }

    /// Takes in what the configuration says of it now.
    pub fn update(&mut self, info: &ExecutorInfo) {
        let has_come_back = self.is_gone || (self.info.is_draining && !info.is_draining);
        if has_come_back {
            self.draining_until = Mono::default();
        }
        if info.slots != self.info.slots {
            self.limit = Limit::new(info.slots);
        }
        self.is_gone = false;
        self.info = info.clone();
    }
}
