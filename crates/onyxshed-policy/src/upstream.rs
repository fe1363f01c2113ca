//! State of one upstream: its queue, executors, budgets and capacity.

use onyxshed_core::{Micros, Millis, Mono};

use crate::budget::Budget;
use crate::executor::Executor;
use crate::executor::breaker::Gate;
use crate::fleet::{ExecutorKey, Fleet};
use crate::offered_load::OfferedLoad;
use crate::queue::Queue;
use crate::span::to_micros;

/// Age after which the capacity is recomputed, since speeds and breakers change.
const CAPACITY_TTL: Millis = Millis(100);

/// Retry tokens per finished task.
const RETRIES_PER_FINISHED: f64 = 0.1;

/// Maximum number of saved retry tokens.
const RETRIES_MAX: f64 = 100.0;

/// Hedge tokens per finished task.
const HEDGES_PER_FINISHED: f64 = 0.01;

/// Maximum number of saved hedge tokens.
const HEDGES_MAX: f64 = 16.0;

/// Weight of the newest task in the mean service time.
const MEAN_ALPHA: f64 = 0.05;

/// Mean service time assumed before the first task has finished.
const MEAN_ASSUMED_US: f64 = 200_000.0;

/// Slowdown of an executor of ordinary speed, assumed for an upstream without usable executors.
const ORDINARY_SLOWDOWN: f64 = 1.0;

/// Executors that the next search for a free slot checks; the others had none when last checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScanScope {
    /// Any member of the upstream.
    All,
    /// Only these executors; while the list is empty, no queued task of the upstream is started.
    Only(Vec<ExecutorKey>),
}

/// Totals over the usable executors whose slowdown is at most `slowdown`.
#[derive(Debug, Clone, Copy, PartialEq)]
struct CapacityTier {
    slowdown: f64,
    slots: f64,
    effective_slots: f64,
}

/// Totals over the usable executors that are clearly faster than a given slowdown.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FasterExecutors {
    /// This host's slots, each divided by the slowdown of its executor.
    pub effective_slots: f64,
    /// Mean slowdown, over slots weighted by speed.
    pub slowdown: f64,
}

/// Capacity of an upstream for this host, computed from the slots, speeds and breakers of its
/// executors.
#[derive(Debug, Clone, Default)]
pub struct Capacity {
    tiers: Vec<CapacityTier>,
    /// Number of executors that are configured, have slots and are not draining.
    pub schedulable: usize,
    /// Number of schedulable executors that get tasks other than probes.
    pub usable: usize,
    /// When the first probe may be sent; `None` if no schedulable executor has an open breaker.
    pub probe_at: Option<Mono>,
}

impl Capacity {
    /// Returns this host's slots on the usable executors.
    pub fn slots(&self) -> f64 {
        self.tiers.last().map_or(0.0, |tier| tier.slots)
    }

    /// Returns this host's slots weighted by speed: the equivalent number of slots of ordinary
    /// speed.
    pub fn effective_slots(&self) -> f64 {
        self.tiers.last().map_or(0.0, |tier| tier.effective_slots)
    }

    /// Returns the slowdown of the fastest usable executor; 1 if none is usable.
    pub fn fastest_slowdown(&self) -> f64 {
        self.tiers
            .first()
            .map_or(ORDINARY_SLOWDOWN, |tier| tier.slowdown)
    }

    /// Returns the mean slowdown of the usable executors, over slots weighted by speed; 1 if none
    /// is usable.
    pub fn mean_slowdown(&self) -> f64 {
        self.tiers.last().map_or(ORDINARY_SLOWDOWN, |tier| {
            tier.slots / tier.effective_slots.max(f64::MIN_POSITIVE)
        })
    }

    /// Returns the totals over the usable executors whose slowdown is below `slowdown` divided by
    /// `FASTER_RATIO_MIN`; `None` if there are none.
    pub fn faster_than(&self, slowdown: f64) -> Option<FasterExecutors> {
        let below = slowdown / FASTER_RATIO_MIN;
        let count = self.tiers.partition_point(|tier| tier.slowdown < below);
        let tier = self.tiers.get(count.checked_sub(1)?)?;
        Some(FasterExecutors {
            effective_slots: tier.effective_slots,
            slowdown: tier.slots / tier.effective_slots.max(f64::MIN_POSITIVE),
        })
    }

    fn compute(now: Mono, executors: &[&Executor], zone_hosts: u32) -> Self {
        let mut capacity = Capacity::default();
        let mut executor_slots: Vec<(f64, f64)> = Vec::new();
        for executor in executors
            .iter()
            .filter(|executor| executor.is_schedulable(now))
        {
            capacity.schedulable += 1;
            if executor.gate(now) == Gate::Work {
                capacity.usable += 1;
                executor_slots.push((executor.speed.slowdown(now), executor.own_slots(zone_hosts)));
            } else if let Some(at) = executor.breaker.probe_at() {
                let first = capacity.probe_at.map_or(at, |first| first.min(at));
                capacity.probe_at = Some(first);
            }
        }
        executor_slots.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut slots, mut effective_slots) = (0.0, 0.0);
        for (slowdown, own_slots) in executor_slots {
            slots += own_slots;
            effective_slots += own_slots / slowdown;
            capacity.tiers.push(CapacityTier {
                slowdown,
                slots,
                effective_slots,
            });
        }
        capacity
    }
}

/// Minimum ratio of slowdowns for which waiting for the faster executor can pay off.
const FASTER_RATIO_MIN: f64 = 1.2;

/// Queue, executors, budgets and capacity of one upstream, from the point of view of this host.
#[derive(Debug)]
pub struct Upstream {
    /// Tasks that wait for an executor of this upstream, including delayed tasks.
    pub queue: Queue,
    /// Keys of its executors, in ascending order.
    pub members: Vec<ExecutorKey>,
    /// Executors that may have a free slot.
    pub scan: ScanScope,
    /// Capacity, at most `CAPACITY_TTL` old when it is read after a refresh.
    pub capacity: Capacity,
    /// Rate of arriving work of all classes; above the capacity, the upstream is overloaded.
    pub offered_load: OfferedLoad,
    /// Retry tokens, which finished tasks refill.
    pub retries: Budget,
    /// Hedge tokens, which finished tasks refill.
    pub hedges: Budget,
    /// When the upstream is checked again without an event; `None` if no wakeup is scheduled.
    pub wake_at: Option<Mono>,
    /// Position, among the executors to be checked, at which the last scan began that had more of
    /// them than one scan checks. It advances with each such scan.
    pub scan_offset: usize,
    capacity_valid_until: Mono,
    mean_us: f64,
}

impl Default for Upstream {
    fn default() -> Self {
        Upstream {
            queue: Queue::default(),
            members: Vec::new(),
            scan: ScanScope::All,
            capacity: Capacity::default(),
            offered_load: OfferedLoad::default(),
            retries: Budget::new(RETRIES_PER_FINISHED, RETRIES_MAX),
            hedges: Budget::new(HEDGES_PER_FINISHED, HEDGES_MAX),
            wake_at: None,
            scan_offset: 0,
            capacity_valid_until: Mono::default(),
            mean_us: MEAN_ASSUMED_US,
        }
    }
}

impl Upstream {
    /// Returns whether the capacity is older than `CAPACITY_TTL` or was invalidated.
    pub fn is_capacity_stale(&self, now: Mono) -> bool {
        self.capacity_valid_until <= now
    }

    /// Recomputes the capacity if it is stale.
    pub fn refresh_capacity(&mut self, now: Mono, fleet: &Fleet, zone_hosts: u32) {
        if !self.is_capacity_stale(now) {
            return;
        }
        let executors: Vec<&Executor> = self.members.iter().filter_map(|s| fleet.get(*s)).collect();
        self.capacity = Capacity::compute(now, &executors, zone_hosts);
        self.capacity_valid_until = now + CAPACITY_TTL;
    }

    /// Marks the capacity as stale and all executors as possibly free.
    pub fn invalidate(&mut self) {
        self.capacity_valid_until = Mono::default();
        self.scan = ScanScope::All;
    }

    /// Records that an executor may have a free slot.
    pub fn record_free_slot(&mut self, key: ExecutorKey) {
        if let ScanScope::Only(keys) = &mut self.scan
            && !keys.contains(&key)
        {
            keys.push(key);
        }
    }

    /// Adds the retry and hedge tokens of a finished task, and updates the mean service time by
    /// `normalized_us`, the service time divided by the executor's slowdown. `None` if the executor
    /// reported no service time.
    pub fn record_finished(&mut self, normalized_us: Option<f64>) {
        self.retries.record_finished();
        self.hedges.record_finished();
        if let Some(normalized_us) = normalized_us {
            self.mean_us += MEAN_ALPHA * (normalized_us - self.mean_us);
        }
    }

    /// Returns the mean service time over all classes on an executor of ordinary speed, in
    /// microseconds.
    pub fn mean_us(&self) -> f64 {
        self.mean_us
    }

    /// Returns whether more work arrives than the upstream can do.
    ///
    /// Returns `false` while no executor is usable. With a capacity of zero every job would be
    /// refused, including one that is to probe an executor, and the recovery of the executors would
    /// never be detected.
    pub fn is_overloaded(&self, now: Mono) -> bool {
        self.capacity.usable > 0 && self.offered_load.slots(now) > self.capacity.effective_slots()
    }

    /// Returns the time constant with which a load report loses its weight: the mean service time.
    pub fn report_decay(&self) -> Micros {
        to_micros(self.mean_us * self.capacity.mean_slowdown())
    }
}
