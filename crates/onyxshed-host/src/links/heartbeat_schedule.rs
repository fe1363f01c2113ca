//! Times at which a link sends heartbeats.
//!
//! An owner gives up the jobs of a host from which it has heard nothing for the peer timeout of its pool. A
//! link that is in use sends heartbeats more often than that; an idle link has no jobs to lose, and sends
//! them rarely in a deployment with many pools. The first job on an idle link makes a heartbeat due at once.

use std::time::Duration;

use onyxshed_core::{Micros, Millis, Mono};

/// Interval between two heartbeats: a quarter of the time after which an owner considers a host
/// unresponsive.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(150);

/// Time without a job after which a link is idle and may send heartbeats less often.
const IDLE_AFTER: Millis = Millis(2_000);

/// When a link has sent its last heartbeat and had its last job.
#[derive(Debug, Default)]
pub struct HeartbeatSchedule {
    sent_at: Mono,
    used_at: Mono,
}

impl HeartbeatSchedule {
    /// Records that a heartbeat was answered.
    pub fn record_heartbeat(&mut self, now: Mono) {
        self.sent_at = now;
    }

    /// Records that a job is submitted. Returns whether the link was idle, so that its next heartbeat is
    /// due earlier than before.
    pub fn record_use(&mut self, now: Mono) -> bool {
        let was_idle = self.is_idle(now);
        self.used_at = now;
        was_idle
    }

    /// Returns when the next heartbeat is due. `is_waited_on` states whether jobs wait on the link;
    /// `idle_period` is the interval on an idle link.
    pub fn next_at(&self, now: Mono, is_waited_on: bool, idle_period: Duration) -> Mono {
        let period = match is_waited_on || !self.is_idle(now) {
            true => HEARTBEAT_PERIOD,
            false => idle_period,
        };
        self.sent_at + Micros(u64::try_from(period.as_micros()).unwrap_or(u64::MAX))
    }

    fn is_idle(&self, now: Mono) -> bool {
        now.since(self.used_at) >= IDLE_AFTER.into()
    }
}
