//! State of one executor as observed by this entry host, which decides whether and how many tasks
//! the host sends to it.

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
use sharing::{PeerLoad, StartConditions, StartRequest};
use speed::Speed;

/// Time for which an executor gets no tasks after a load report that it is draining. A later load
/// report or list of executors can end this earlier.
const DRAINING_REPORT_TTL: Millis = Millis(30_000);

/// Time without a response, as a multiple of the 99th percentile of the service time, after which
/// an executor is unresponsive.
const RESPONSE_TIMEOUT_FACTOR: u64 = 4;

/// Minimum time without a response after which an executor is unresponsive.
const RESPONSE_TIMEOUT_MIN: Millis = Millis(500);

/// Configuration, load, speed, limit and breaker of one executor.
#[derive(Debug)]
pub struct Executor {
    /// Identifies the executor for as long as it is known; never reused.
    pub id: ExecutorId,
    /// Properties in the last list of executors that contained this executor.
    pub info: ExecutorInfo,
    /// Number of attempts of this host that have not ended.
    pub in_flight: u32,
    /// Whether the executor is missing from the current list; it is forgotten when its last attempt
    /// ends.
    pub is_removed: bool,
    /// Learned speed relative to the other executors.
    pub speed: Speed,
    /// Learned limit on concurrent tasks, at most the number of slots.
    pub limit: Limit,
    /// Estimated number of tasks of other entry hosts on the executor.
    pub peer_load: PeerLoad,
    /// Circuit breaker, which blocks tasks after failures, missing responses or slow tasks.
    pub breaker: Breaker,
    no_response_since: Mono,
    service_time_p99: Micros,
    draining_until: Mono,
}

impl Executor {
    /// Creates the state of a newly known executor.
    pub fn new(id: ExecutorId, info: ExecutorInfo) -> Self {
        Executor {
            id,
            limit: Limit::new(info.slots),
            info,
            in_flight: 0,
            is_removed: false,
            speed: Speed::default(),
            peer_load: PeerLoad::default(),
            breaker: Breaker::default(),
            no_response_since: Mono::default(),
            service_time_p99: Micros(u64::MAX),
            draining_until: Mono::default(),
        }
    }

    /// Returns whether the executor is configured, has slots and is not draining.
    pub fn is_schedulable(&self, now: Mono) -> bool {
        let is_configured = !self.is_removed && !self.info.is_draining;
        is_configured && self.info.slots > 0 && self.draining_until <= now
    }

    /// Returns whether attempts are in flight and no response has arrived for longer than the
    /// response timeout.
    pub fn is_unresponsive(&self, now: Mono) -> bool {
        self.in_flight > 0 && now.since(self.no_response_since) > self.response_timeout()
    }

    /// Returns what the executor may get now, apart from the check for a free slot.
    ///
    /// An unresponsive executor gets no more tasks, starting immediately. Once its breaker has
    /// opened for this reason, it is probed like any other executor, because its old attempts may
    /// never be answered.
    pub fn gate(&self, now: Mono) -> Gate {
        let gate = self.breaker.gate(now);
        let is_suspect = gate == Gate::Work && self.is_unresponsive(now);
        if is_suspect || !self.is_schedulable(now) {
            return Gate::Blocked;
        }
        gate
    }

    /// Returns whether the executor has a free slot for one more task of this host under these
    /// conditions.
    pub fn has_free_slot(&self, now: Mono, conditions: StartConditions) -> bool {
        self.peer_load.can_start(
            now,
            StartRequest {
                limit: self.limit.get(self.info.slots),
                in_flight: self.in_flight,
                conditions,
            },
        )
    }

    /// Returns the number of slots that this host can expect to use: the learned limit less the
    /// mean load of other hosts, and at least an equal share among `zone_hosts` hosts.
    pub fn own_slots(&self, zone_hosts: u32) -> f64 {
        let limit = self.limit.get(self.info.slots);
        let share = limit / f64::from(zone_hosts.max(1));
        (limit - self.peer_load.other_tasks_mean()).clamp(share, limit)
    }

    /// Returns the learned slowdown. While attempts are in flight, it is multiplied by the ratio of
    /// the time without a response to the 99th percentile of the service time, if that exceeds 1.
    pub fn slowdown(&self, now: Mono) -> f64 {
        let slowdown = self.speed.slowdown(now);
        if self.in_flight == 0 {
            return slowdown;
        }
        let no_response_ratio =
            as_us(now.since(self.no_response_since)) / as_us(self.service_time_p99).max(1.0);
        slowdown * no_response_ratio.max(1.0)
    }

    /// Records the start of an attempt. The response timeout follows from the longest
    /// `service_time_p99` since the executor was last idle.
    pub fn record_start(&mut self, now: Mono, service_time_p99: Micros) {
        if self.in_flight == 0 {
            self.no_response_since = now;
            self.service_time_p99 = service_time_p99;
        }
        self.service_time_p99 = self.service_time_p99.max(service_time_p99);
        self.in_flight += 1;
    }

    /// Records the end of an attempt; a response restarts the response timeout.
    pub fn record_end(&mut self, now: Mono, has_responded: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if has_responded {
            self.no_response_since = now;
        }
    }

    /// Records whether the executor reports that it is draining.
    pub fn apply_draining_report(&mut self, now: Mono, is_draining: bool) {
        self.draining_until = if is_draining {
            now + DRAINING_REPORT_TTL
        } else {
            Mono::default()
        };
    }

    /// Returns the time without a response after which an executor with attempts in flight is
    /// unresponsive. A long task alone does not explain so long a time.
    pub fn response_timeout(&self) -> Micros {
        let response_timeout = Micros(
            self.service_time_p99
                .0
                .saturating_mul(RESPONSE_TIMEOUT_FACTOR),
        );
        response_timeout.max(Micros::from(RESPONSE_TIMEOUT_MIN))
    }

    /// Applies the entry of a new list of executors. A changed number of slots resets the learned
    /// limit, and an executor that returns to service is no longer regarded as draining.
    pub fn update(&mut self, info: &ExecutorInfo) {
        let has_returned = self.is_removed || (self.info.is_draining && !info.is_draining);
        if has_returned {
            self.draining_until = Mono::default();
        }
        if info.slots != self.info.slots {
            self.limit = Limit::new(info.slots);
        }
        self.is_removed = false;
        self.info = info.clone();
    }
}
