//! The budget of appends: a token bucket.
//!
//! An append goes out at once while a token is there and waits for the next one otherwise, so
//! claims coalesce only under load. In any second at most the host's share is spent: what the
//! bucket holds is taken off the rate at which it fills.

use onyxshed_core::{Mono, RatePerS};

use super::options::ClaimOptions;

/// A whole token, in billionths.
const TOKEN: u64 = 1_000_000_000;

/// Appends that may follow each other without a wait.
const BURST_TOKENS: u64 = 2;

/// Share, in thousandths of an append a second, from which the whole burst is allowed.
const BURST_FROM_MILLI: u64 = 4_000;

/// This host's budget of appends.
#[derive(Debug, Clone)]
pub(crate) struct Pace {
    refill_milli_per_s: u64,
    capacity: u64,
    tokens: u64,
    at: Mono,
}

impl Pace {
    /// Makes a full bucket for a host that knows no peers yet.
    pub(crate) fn new(options: &ClaimOptions) -> Self {
        let mut pace = Pace {
            refill_milli_per_s: 0,
            capacity: 0,
            tokens: u64::MAX,
            at: Mono::default(),
        };
        pace.set_share(options, 1);
        pace
    }

    /// Derives the host's share from the number of live hosts.
    pub(crate) fn set_share(&mut self, options: &ClaimOptions, live_hosts: usize) {
        let RatePerS(total) = options.log_appends_per_s;
        let RatePerS(most) = options.appends_per_s;
        let hosts = live_hosts.max(1) as u64;
        let share_milli = (u64::from(total) * 1_000 / hosts).min(u64::from(most) * 1_000);
        let burst = if share_milli >= BURST_FROM_MILLI {
            BURST_TOKENS
        } else {
            1
        };
        self.refill_milli_per_s = share_milli
            .saturating_sub(burst * 1_000)
            .max(share_milli / 4)
            .max(1);
        self.capacity = burst * TOKEN;
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Gets when the next append may go out; `now` or earlier means at once.
    pub(crate) fn ready_at(&mut self, now: Mono) -> Mono {
        self.refill(now);
        let missing = TOKEN.saturating_sub(self.tokens);
        let wait_us = missing.div_ceil(self.refill_milli_per_s);
        Mono(now.0.saturating_add(wait_us))
    }

    /// Spends a token.
    pub(crate) fn spend(&mut self) {
        self.tokens = self.tokens.saturating_sub(TOKEN);
    }

    fn refill(&mut self, now: Mono) {
        let gained = now.since(self.at).0.saturating_mul(self.refill_milli_per_s);
        self.tokens = self.tokens.saturating_add(gained).min(self.capacity);
        self.at = self.at.max(now);
    }
}
