//! An entry host's credit on the room of a pool that is not its home pool.
//!
//! All hosts see the same room in a report and cannot see each other's submissions until the next one.
//! Each host therefore uses only a share of the room in a round, which is the time between two reports:
//! the share of what is free and of what the pool's runs release in that time. The right share depends
//! on how many hosts submit to the pool, which no report says. It is halved whenever the pool turns out
//! to be fuller than reported, and grows in steps in rounds in which it keeps jobs back.
//!
//! A job may use more room than the credit that is left; the credit is then negative until later
//! reports have made up for it. Large jobs would otherwise never fit.

use onyxshed_core::{Micros, Millis, Mono};

/// Time between two reports on a link in use, in which the full share is granted.
pub const ROUND: Millis = Millis(150);

/// Initial share of the room, in thousandths. In small pools a smaller share would be less than a job, and
/// callers would be refused until it has grown; hosts that share a large pool soon see it overrun.
const INITIAL_SHARE_MILLIS: u64 = 500;

/// Bounds of the share, in thousandths.
const SHARE_MILLIS_MIN: u64 = 1;
const SHARE_MILLIS_MAX: u64 = 1_000;

/// Part of the share by which it grows in a round, and the smallest step in thousandths.
const GROWTH_DIVISOR: u64 = 8;
const GROWTH_MIN_MILLIS: u64 = 2;

/// Credit of one entry host on the free room of one pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoomCredit {
    share_millis: u64,
    /// Room that may still be used, in thousandths of a core; negative if more than the share was used.
    balance_cpu_millis: i64,
    /// When the balance was last refilled; `None` before the first report.
    refilled_at: Option<Mono>,
    round_started_at: Mono,
    /// Whether a job was kept back since the round started.
    has_kept_back: bool,
    /// Whether the pool was fuller than reported since the round started.
    was_overrun: bool,
    /// Whether the pool has run no job of this host since it refused one.
    is_refusing: bool,
}

impl RoomCredit {
    /// Creates the credit on a pool of which no report has arrived.
    pub fn new(now: Mono) -> Self {
        RoomCredit {
            share_millis: INITIAL_SHARE_MILLIS,
            balance_cpu_millis: 0,
            refilled_at: None,
            round_started_at: now,
            has_kept_back: false,
            was_overrun: false,
            is_refusing: false,
        }
    }

    /// Returns whether a job may use free room of the pool.
    pub fn is_open(&self) -> bool {
        self.balance_cpu_millis > 0
    }

    /// Returns the share of the free room that the host uses in a round, in thousandths.
    pub fn share_millis(&self) -> u64 {
        self.share_millis
    }

    /// Grants the share of the free room that a report shows, in proportion to the time since the last
    /// one.
    pub fn refill(&mut self, now: Mono, room_cpu_millis: u64) {
        self.finish_round(now);
        let bound = room_cpu_millis.saturating_mul(self.share_millis) / 1_000;
        let round = Micros::from(ROUND).0;
        let elapsed = self
            .refilled_at
            .map_or(round, |at| now.since(at).0.min(round));
        let granted = bound.saturating_mul(elapsed) / round;
        let bound = i64::try_from(bound).unwrap_or(i64::MAX);
        let granted = i64::try_from(granted).unwrap_or(i64::MAX);
        self.balance_cpu_millis = self.balance_cpu_millis.saturating_add(granted).min(bound);
        self.refilled_at = Some(now);
    }

    /// Records that a submitted job takes this much room in the mean of a round.
    pub fn spend(&mut self, cpu_millis: u64) {
        let spent = i64::try_from(cpu_millis).unwrap_or(i64::MAX);
        self.balance_cpu_millis = self.balance_cpu_millis.saturating_sub(spent);
    }

    /// Records that a job was kept back for want of credit.
    pub fn record_kept_back(&mut self) {
        self.has_kept_back = true;
    }

    /// Records that the pool refused a job for want of room. The share does not grow until the pool has
    /// run a job.
    pub fn record_refusal(&mut self) {
        self.halve();
        self.is_refusing = true;
    }

    /// Records that the pool has run a job.
    pub fn record_run(&mut self) {
        self.is_refusing = false;
    }

    /// Records that jobs queue at the pool although its room was reported as free. Counts once in a
    /// round.
    pub fn record_overrun(&mut self) {
        if !self.was_overrun {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.share_millis = (self.share_millis / 2).max(SHARE_MILLIS_MIN);
        self.balance_cpu_millis = self.balance_cpu_millis.min(0);
        self.was_overrun = true;
    }

    fn finish_round(&mut self, now: Mono) {
        if now.since(self.round_started_at) < ROUND.into() {
            return;
        }
        if self.has_kept_back && !self.was_overrun && !self.is_refusing {
            let step = (self.share_millis / GROWTH_DIVISOR).max(GROWTH_MIN_MILLIS);
            self.share_millis = (self.share_millis + step).min(SHARE_MILLIS_MAX);
        }
        self.round_started_at = now;
        self.has_kept_back = false;
        self.was_overrun = false;
    }
}
