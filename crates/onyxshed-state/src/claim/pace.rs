//! Token bucket that limits this host's appends of claim batches.
//!
//! An append is made immediately while a token is available and waits for the next token otherwise,
//! so claims are only coalesced under load. In any second at most the host's share is spent: the
//! burst that the bucket holds is subtracted from its refill rate.

use onyxshed_core::{Mono, RatePerS};

use super::options::ClaimOptions;

/// One token, in billionths of a token.
const TOKEN_NANOS: u64 = 1_000_000_000;

/// Appends that may be made back to back with a full bucket.
const BURST_TOKENS: u64 = 2;

/// Share from which the whole burst is allowed, in thousandths of an append per second. A smaller
/// share allows only one append without a wait.
const FULL_BURST_MIN_MILLI_PER_S: u64 = 4_000;

/// Token bucket for the appends of one host; one append uses one token.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    refill_milli_per_s: u64,
    capacity_nanos: u64,
    available_nanos: u64,
    refilled_at: Mono,
}

impl TokenBucket {
    /// Creates a full bucket for a host that knows no peers yet.
    pub(crate) fn new(options: &ClaimOptions) -> Self {
        let mut bucket = TokenBucket {
            refill_milli_per_s: 0,
            capacity_nanos: 0,
            available_nanos: u64::MAX,
            refilled_at: Mono::default(),
        };
        bucket.set_share(options, 1);
        bucket
    }

    /// Sets the refill rate and the burst from the number of hosts that share the log.
    pub(crate) fn set_share(&mut self, options: &ClaimOptions, live_hosts: usize) {
        let RatePerS(total) = options.log_appends_per_s;
        let RatePerS(host_max) = options.appends_per_s;
        let hosts = live_hosts.max(1) as u64;
        let share_milli = (u64::from(total) * 1_000 / hosts).min(u64::from(host_max) * 1_000);
        let burst = if share_milli >= FULL_BURST_MIN_MILLI_PER_S {
            BURST_TOKENS
        } else {
            1
        };
        self.refill_milli_per_s = share_milli
            .saturating_sub(burst * 1_000)
            .max(share_milli / 4)
            .max(1);
        self.capacity_nanos = burst * TOKEN_NANOS;
        self.available_nanos = self.available_nanos.min(self.capacity_nanos);
    }

    /// Returns the earliest time of the next append, which is `now` if a token is available.
    pub(crate) fn next_append_at(&mut self, now: Mono) -> Mono {
        self.refill(now);
        let missing_nanos = TOKEN_NANOS.saturating_sub(self.available_nanos);
        let wait_us = missing_nanos.div_ceil(self.refill_milli_per_s);
        Mono(now.0.saturating_add(wait_us))
    }

    /// Removes the token of an append that is made now.
    pub(crate) fn take_token(&mut self) {
        self.available_nanos = self.available_nanos.saturating_sub(TOKEN_NANOS);
    }

    fn refill(&mut self, now: Mono) {
        let gained_nanos = now
            .since(self.refilled_at)
            .0
            .saturating_mul(self.refill_milli_per_s);
        self.available_nanos = self
            .available_nanos
            .saturating_add(gained_nanos)
            .min(self.capacity_nanos);
        self.refilled_at = self.refilled_at.max(now);
    }
}
