//! One upstream: its queue, its executors, its budgets and what it can do.

use onyxshed_core::{Micros, Millis, Mono};

use crate::budget::Budget;
use crate::demand::Demand;
use crate::executor::Executor;
use crate::executor::breaker::Gate;
use crate::fleet::{Fleet, Seat};
use crate::queue::Queue;
use crate::span::to_micros;

/// Age from which on the capacity is reckoned anew, in milliseconds.
const CAPACITY_FOR: Millis = Millis(100);

/// Retries allowed for each finished task.
const RETRIES_PER_FINISHED: f64 = 0.1;

/// Most retries saved up.
const RETRIES_MAX: f64 = 100.0;

/// Hedges allowed for each finished task.
const HEDGES_PER_FINISHED: f64 = 0.01;

/// Most hedges saved up.
const HEDGES_MAX: f64 = 16.0;

/// Weight of the newest task in the mean service time.
const MEAN_ALPHA: f64 = 0.05;

/// Mean service time assumed before any is known, in microseconds.
const MEAN_ASSUMED_US: f64 = 200_000.0;

/// Executors looked at before learning how fast they are, as a slowdown.
const ORDINARY: f64 = 1.0;

/// Which executors may have become able to take a task since the last look.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scan {
    /// Any of them.
    All,
    /// Only these.
    Only(Vec<Seat>),
}

/// Executors up to some slowdown, taken together.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Tier {
    slowdown: f64,
    slots: f64,
    power: f64,
}

/// Executors faster than some other, taken together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Faster {
    /// Their slots weighed by speed.
    pub power: f64,
    /// Their mean slowdown.
    pub slowdown: f64,
}

/// What the usable executors can do for this host.
#[derive(Debug, Clone, Default)]
pub struct Capacity {
    tiers: Vec<Tier>,
    /// Executors that are neither gone nor leaving.
    pub live: usize,
    /// Executors that get work.
    pub usable: usize,
    /// When the first breaker lets a task through.
    pub probe_at: Option<Mono>,
}

impl Capacity {
    /// Gets this host's part of the slots.
    pub fn slots(&self) -> f64 {
        self.tiers.last().map_or(0.0, |tier| tier.slots)
    }

    /// Gets the slots weighed by speed: tasks of ordinary length done in their ordinary time.
    pub fn power(&self) -> f64 {
        self.tiers.last().map_or(0.0, |tier| tier.power)
    }

    /// Gets the slowdown of the fastest executor.
    pub fn fastest(&self) -> f64 {
        self.tiers.first().map_or(ORDINARY, |tier| tier.slowdown)
    }

    /// Gets the slowdown of the executors taken together.
    pub fn mean_slowdown(&self) -> f64 {
        self.tiers.last().map_or(ORDINARY, |tier| {
            tier.slots / tier.power.max(f64::MIN_POSITIVE)
        })
    }

    /// Gets the executors clearly faster than `slowdown`, if there are any.
    pub fn faster_than(&self, slowdown: f64) -> Option<Faster> {
        let below = slowdown / CLEARLY_FASTER;
        let count = self.tiers.partition_point(|tier| tier.slowdown < below);
        let tier = self.tiers.get(count.checked_sub(1)?)?;
        Some(Faster {
            power: tier.power,
            slowdown: tier.slots / tier.power.max(f64::MIN_POSITIVE),
        })
    }

    fn reckon(now: Mono, executors: &[&Executor], sharers: u32) -> Self {
        let mut capacity = Capacity::default();
        let mut each: Vec<(f64, f64)> = Vec::new();
        for executor in executors.iter().filter(|executor| executor.is_live(now)) {
            capacity.live += 1;
            if executor.gate(now) == Gate::Work {
                capacity.usable += 1;
                each.push((executor.speed.slowdown(now), executor.own_slots(sharers)));
            } else if let Some(at) = executor.breaker.probe_at() {
                let first = capacity.probe_at.map_or(at, |first| first.min(at));
                capacity.probe_at = Some(first);
            }
        }
        each.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut slots, mut power) = (0.0, 0.0);
        for (slowdown, own_slots) in each {
            slots += own_slots;
            power += own_slots / slowdown;
            capacity.tiers.push(Tier {
                slowdown,
                slots,
                power,
            });
        }
        capacity
    }
}

/// Ratio of speeds from which on it can pay to wait for the faster executor.
const CLEARLY_FASTER: f64 = 1.2;

/// State of one upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Tasks waiting.
    pub queue: Queue,
    /// Its executors, in order of their seats.
    pub members: Vec<Seat>,
    /// Where a place may have come free.
    pub scan: Scan,
    /// What it can do, reckoned a short while ago.
    pub capacity: Capacity,
    /// Work that arrives.
    pub demand: Demand,
    /// Retries allowed.
    pub retries: Budget,
    /// Hedges allowed.
    pub hedges: Budget,
    /// When it is looked at again without any event.
    pub wake: Option<Mono>,
    /// Where the next look at many executors begins.
    pub turn: usize,
    capacity_until: Mono,
    mean_us: f64,
}

impl Default for Upstream {
    fn default() -> Self {
        Upstream {
            queue: Queue::default(),
            members: Vec::new(),
            scan: Scan::All,
            capacity: Capacity::default(),
            demand: Demand::default(),
            retries: Budget::new(RETRIES_PER_FINISHED, RETRIES_MAX),
            hedges: Budget::new(HEDGES_PER_FINISHED, HEDGES_MAX),
            wake: None,
            turn: 0,
            capacity_until: Mono::default(),
            mean_us: MEAN_ASSUMED_US,
        }
    }
}

impl Upstream {
    /// Tells whether the capacity was reckoned too long ago.
    pub fn is_old(&self, now: Mono) -> bool {
        self.capacity_until <= now
    }

    /// Reckons the capacity anew if it is old.
    pub fn refresh(&mut self, now: Mono, fleet: &Fleet, sharers: u32) {
        if !self.is_old(now) {
            return;
        }
        let executors: Vec<&Executor> = self.members.iter().filter_map(|s| fleet.get(*s)).collect();
        self.capacity = Capacity::reckon(now, &executors, sharers);
        self.capacity_until = now + CAPACITY_FOR;
    }

    /// Takes in that the capacity may have changed.
    pub fn touch(&mut self) {
        self.capacity_until = Mono::default();
        self.scan = Scan::All;
    }

    /// Takes in that a place may have come free on one executor.
    pub fn freed(&mut self, seat: Seat) {
        if let Scan::Only(seats) = &mut self.scan
            && !seats.contains(&seat)
        {
            seats.push(seat);
        }
    }

    /// Takes in a finished task and its service time with the executor's speed taken out.
    pub fn finished(&mut self, levelled_us: Option<f64>) {
        self.retries.finished();
        self.hedges.finished();
        if let Some(levelled_us) = levelled_us {
            self.mean_us += MEAN_ALPHA * (levelled_us - self.mean_us);
        }
    }

    /// Gets the mean service time on an executor of ordinary speed, in microseconds.
    pub fn mean_us(&self) -> f64 {
        self.mean_us
    }

    /// Tells whether more work arrives than the upstream can do.
    ///
    /// Not while no executor is usable: judged by no capacity every job would be given up, the one
    /// that is to try an executor too, and nothing would ever find out that they are well again.
    pub fn is_crowded(&self, now: Mono) -> bool {
        self.capacity.usable > 0 && self.demand.slots(now) > self.capacity.power()
    }

    /// Gets how long a load report says something: about one task's time.
    pub fn fade(&self) -> Micros {
        to_micros(self.mean_us * self.capacity.mean_slowdown())
    }
}
