//! Updates that depend on time: refreshed capacity, unresponsive executors, and the schedule of
//! probes.

use onyxshed_core::{Millis, Mono, UpstreamName};

use super::Policy;
use crate::decision::PolicyDecision;
use crate::executor::breaker::{BreakerChange, BreakerReason};
use crate::fleet::ExecutorKey;
use crate::span::{as_us, to_micros};

/// Interval between probes while every breaker of an upstream is open.
const ALL_OPEN_PROBE_INTERVAL: Millis = Millis(300);

/// Time over which the probes of other executors are spread after one executor has recovered.
const PROBE_SPREAD: Millis = Millis(200);

/// Minimum number of dead executors in a rack for the rack to be treated as one unit of failure.
const DEAD_RACK_MIN: usize = 3;

impl Policy {
    /// Makes delayed tasks of an upstream ready and refreshes its capacity.
    pub(super) fn refresh_upstream(&mut self, now: Mono, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.queue.release_delayed(now);
        }
        self.refresh_capacity(now, name);
    }

    /// Recomputes an upstream's capacity if it is stale, and opens the breakers of unresponsive
    /// executors.
    pub(super) fn refresh_capacity(&mut self, now: Mono, name: &UpstreamName) {
        let Some(upstream) = self
            .upstreams
            .get_mut(name)
            .filter(|u| u.is_capacity_stale(now))
        else {
            return;
        };
        upstream.refresh_capacity(now, &self.fleet, self.zone_hosts);
        let members = upstream.members.iter().copied();
        let is_unresponsive =
            |key: &ExecutorKey| self.fleet.get(*key).is_some_and(|e| e.is_unresponsive(now));
        let unresponsive: Vec<ExecutorKey> = members.filter(is_unresponsive).collect();
        if upstream.capacity.usable == 0 {
            self.advance_first_probe(now, name);
        }
        for key in unresponsive {
            self.trip(now, key, BreakerReason::Silent);
        }
    }

    /// Moves the first probe forward when every breaker is open.
    ///
    /// The fault may then lie with this host or the network, and long pauses would prolong an
    /// outage that is already over. A few probes a second detect the recovery.
    fn advance_first_probe(&mut self, now: Mono, name: &UpstreamName) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        let at = now + ALL_OPEN_PROBE_INTERVAL;
        let probes = upstream.members.iter().filter_map(|key| {
            let executor = self.fleet.get(*key)?;
            let until = executor.breaker.probe_at()?;
            let is_probing = executor.breaker.is_probing();
            executor
                .is_schedulable(now)
                .then_some((is_probing, until, *key))
        });
        // Executors that are not being probed are selected first, so the next probe does not wait
        // for the end of a running one.
        let Some((_, until, key)) = probes.min() else {
            return;
        };
        if let Some(executor) = self.fleet.get_mut(key) {
            executor.breaker.advance_probe(at);
        }
        upstream.capacity.probe_at = Some(at.min(until));
    }

    fn trip(&mut self, now: Mono, key: ExecutorKey, reason: BreakerReason) {
        let draw = self.draw();
        let executor = self.fleet.get_mut(key);
        let change = executor.and_then(|executor| executor.breaker.trip(now, reason, draw));
        self.record_breaker_change(now, key, change);
    }

    /// Logs a breaker's change and adjusts the probes of related executors. The concurrency limit
    /// of a recovered executor restarts from one task.
    pub(super) fn record_breaker_change(
        &mut self,
        now: Mono,
        key: ExecutorKey,
        change: Option<BreakerChange>,
    ) {
        let (Some(change), Some(executor)) = (change, self.fleet.get_mut(key)) else {
            return;
        };
        let name = executor.info.name.clone();
        let upstream_name = executor.info.upstream.clone();
        let decision = match change {
            BreakerChange::Opened(reason) => PolicyDecision::BreakerOpened {
                executor: name,
                reason,
            },
            BreakerChange::Closed => {
                executor.limit.restart_ramp();
                PolicyDecision::BreakerClosed { executor: name }
            }
        };
        self.decisions.push(decision);
        match change {
            BreakerChange::Closed => self.advance_other_probes(now, &upstream_name, key),
            BreakerChange::Opened(BreakerReason::Dead) => self.align_rack_probes(key),
            BreakerChange::Opened(_) => {}
        }
        if let Some(upstream) = self.upstreams.get_mut(&upstream_name) {
            upstream.invalidate();
        }
    }

    /// Moves the probes of other executors forward when one executor has recovered: of all
    /// executors of the upstream if every breaker was open, else of the dead executors in the same
    /// rack. The common cause has probably been removed for all of them.
    fn advance_other_probes(&mut self, now: Mono, name: &UpstreamName, key: ExecutorKey) {
        let Some(upstream) = self.upstreams.get(name) else {
            return;
        };
        let others = match upstream.capacity.usable {
            0 => upstream.members.clone(),
            _ => self.dead_rack_peers(key),
        };
        for key in others {
            let wait = to_micros(as_us(PROBE_SPREAD.into()) * self.draw());
            if let Some(executor) = self.fleet.get_mut(key) {
                executor.breaker.advance_probe(now + wait);
            }
        }
    }

    /// Opens the breaker of an executor after a single unanswered attempt if at least
    /// `DEAD_RACK_MIN` executors of its rack are already dead.
    pub(super) fn trip_in_dead_rack(&mut self, now: Mono, key: ExecutorKey) {
        if self.dead_rack_peers(key).len() >= DEAD_RACK_MIN {
            self.trip(now, key, BreakerReason::Dead);
        }
    }

    /// Delays the probes of a dead rack to the next probe of `key`, an executor that is being
    /// probed or has just been found dead. No effect unless all executors of the rack, and at least
    /// `DEAD_RACK_MIN`, are dead.
    ///
    /// A rack tends to fail as a whole, and a separate probe of each of its executors would be a
    /// wasted message. One probe for the rack suffices while no executor responds. The first
    /// successful probe moves the probes of the other executors forward.
    pub(super) fn align_rack_probes(&mut self, key: ExecutorKey) {
        let probed = self.fleet.get(key).map(|executor| executor.breaker.clone());
        let dead = self.dead_rack_peers(key);
        let is_all_dead = dead.len() >= DEAD_RACK_MIN && dead.len() == self.rack_peers(key).count();
        let Some(probed) = probed.filter(|_| is_all_dead) else {
            return;
        };
        for key in dead {
            if let Some(executor) = self.fleet.get_mut(key) {
                executor.breaker.align_with(&probed);
            }
        }
    }

    /// Returns the executors of the same rack and upstream whose breaker is open for
    /// [`BreakerReason::Dead`], `key` itself included.
    fn dead_rack_peers(&self, key: ExecutorKey) -> Vec<ExecutorKey> {
        let is_dead = |key: &ExecutorKey| {
            let executor = self.fleet.get(*key);
            executor.is_some_and(|e| e.breaker.reason() == Some(BreakerReason::Dead))
        };
        self.rack_peers(key).filter(is_dead).collect()
    }

    /// Returns the executors of the same rack and upstream, `key` itself included.
    fn rack_peers(&self, key: ExecutorKey) -> impl Iterator<Item = ExecutorKey> {
        let executor = self.fleet.get(key);
        let upstream = executor.and_then(|e| self.upstreams.get(&e.info.upstream));
        let members = upstream.into_iter().flat_map(|upstream| &upstream.members);
        let is_in_rack = move |key: &ExecutorKey| {
            let rack = self.fleet.get(*key).map(|other| &other.info.rack);
            rack.is_some() && rack == executor.map(|executor| &executor.info.rack)
        };
        members.copied().filter(is_in_rack)
    }
}
