//! What time alone brings about: capacity reckoned anew, executors that went quiet, first tries.

use onyxshed_core::{Millis, Mono, UpstreamName};

use super::Policy;
use crate::decision::PolicyDecision;
use crate::executor::breaker::{BreakerChange, BreakerReason};
use crate::fleet::Seat;
use crate::span::{as_us, to_micros};

/// Pause between tries while every breaker of an upstream is open, in milliseconds.
const ALL_OPEN_PAUSE: Millis = Millis(300);

/// Time over which the tries of all executors are spread once the first is well, in milliseconds.
const HURRY_WITHIN: Millis = Millis(200);

/// Dead executors of a rack from which on one speaks for all.
const RACK_MIN: usize = 3;

impl Policy {
    /// Does what time alone brings about on an upstream.
    pub(super) fn look_after(&mut self, now: Mono, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.queue.ripen(now);
        }
        self.refresh(now, name);
    }

    /// Reckons an upstream's capacity anew if it is old, and finds executors that went quiet.
    pub(super) fn refresh(&mut self, now: Mono, name: &UpstreamName) {
        let Some(upstream) = self.upstreams.get_mut(name).filter(|u| u.is_old(now)) else {
            return;
        };
        upstream.refresh(now, &self.fleet, self.sharers);
        let members = upstream.members.iter().copied();
        let is_quiet = |seat: &Seat| self.fleet.get(*seat).is_some_and(|e| e.is_quiet(now));
        let quiet: Vec<Seat> = members.filter(is_quiet).collect();
        if upstream.capacity.usable == 0 {
            self.hurry_first(now, name);
        }
        for seat in quiet {
            self.trip(now, seat, BreakerReason::Silent);
        }
    }

    /// Moves the first try forward when every breaker is open.
    ///
    /// Then the fault may well be on this host's side or on the way; waiting out long pauses would
    /// lengthen an outage that is over. A few tries a second tell.
    fn hurry_first(&mut self, now: Mono, name: &UpstreamName) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        let at = now + ALL_OPEN_PAUSE;
        let probes = upstream.members.iter().filter_map(|seat| {
            let executor = self.fleet.get(*seat)?;
            let until = executor.breaker.probe_at()?;
            let is_probing = executor.breaker.is_probing();
            executor.is_live(now).then_some((is_probing, until, *seat))
        });
        // One that is being tried may take its time; the next one need not wait for it.
        let Some((_, until, seat)) = probes.min() else {
            return;
        };
        if let Some(executor) = self.fleet.get_mut(seat) {
            executor.breaker.hurry(at);
        }
        upstream.capacity.probe_at = Some(at.min(until));
    }

    fn trip(&mut self, now: Mono, seat: Seat, reason: BreakerReason) {
        let draw = self.draw();
        let executor = self.fleet.get_mut(seat);
        let change = executor.and_then(|executor| executor.breaker.trip(now, reason, draw));
        self.note_breaker(now, seat, change);
    }

    /// Tells of a breaker's change, and lets an executor that is well again begin slowly.
    pub(super) fn note_breaker(&mut self, now: Mono, seat: Seat, change: Option<BreakerChange>) {
        let (Some(change), Some(executor)) = (change, self.fleet.get_mut(seat)) else {
            return;
        };
        let name = executor.info.name.clone();
        let upstream_name = executor.info.upstream.clone();
        let note = match change {
            BreakerChange::Opened(reason) => PolicyDecision::BreakerOpened {
                executor: name,
                reason,
            },
            BreakerChange::Closed => {
                executor.limit.ramp();
                PolicyDecision::BreakerClosed { executor: name }
            }
        };
        self.notes.push(note);
        match change {
            BreakerChange::Closed => self.hurry_others(now, &upstream_name, seat),
            BreakerChange::Opened(BreakerReason::Dead) => self.follow_in_rack(seat),
            BreakerChange::Opened(_) => {}
        }
        if let Some(upstream) = self.upstreams.get_mut(&upstream_name) {
            upstream.touch();
        }
    }

    /// Moves the tries of others forward when an executor is well again: those of all after every
    /// breaker was open, else those of its rack. What was broken for all of them is likely to be
    /// mended for all.
    fn hurry_others(&mut self, now: Mono, name: &UpstreamName, seat: Seat) {
        let Some(upstream) = self.upstreams.get(name) else {
            return;
        };
        let others = match upstream.capacity.usable {
            0 => upstream.members.clone(),
            _ => self.dead_in_rack_of(seat),
        };
        for seat in others {
            let wait = to_micros(as_us(HURRY_WITHIN.into()) * self.draw());
            if let Some(executor) = self.fleet.get_mut(seat) {
                executor.breaker.hurry(now + wait);
            }
        }
    }

    /// Opens the breaker of an executor that did not answer once if its rack is dead already.
    pub(super) fn distrust_rack(&mut self, now: Mono, seat: Seat) {
        if self.dead_in_rack_of(seat).len() >= RACK_MIN {
            self.trip(now, seat, BreakerReason::Dead);
        }
    }

    /// Lets an executor that is tried, or has failed a try, speak for those of its rack that are dead.
    ///
    /// A rack dies as one, and each try of each of its executors is a wasted message. One try for
    /// all of them is enough as long as none is well; the first that is brings the others' forward.
    pub(super) fn follow_in_rack(&mut self, seat: Seat) {
        let tried = self
            .fleet
            .get(seat)
            .map(|executor| executor.breaker.clone());
        let dead = self.dead_in_rack_of(seat);
        let is_all_dead = dead.len() >= RACK_MIN && dead.len() == self.rack_of(seat).count();
        let Some(tried) = tried.filter(|_| is_all_dead) else {
            return;
        };
        for seat in dead {
            if let Some(executor) = self.fleet.get_mut(seat) {
                executor.breaker.follow(&tried);
            }
        }
    }

    /// Gets the executors of one's rack that are held to be dead.
    fn dead_in_rack_of(&self, seat: Seat) -> Vec<Seat> {
        let is_dead = |seat: &Seat| {
            let executor = self.fleet.get(*seat);
            executor.is_some_and(|e| e.breaker.reason() == Some(BreakerReason::Dead))
        };
        self.rack_of(seat).filter(is_dead).collect()
    }

    /// Gets the executors of one's rack that serve the same upstream.
    fn rack_of(&self, seat: Seat) -> impl Iterator<Item = Seat> {
        let executor = self.fleet.get(seat);
        let upstream = executor.and_then(|e| self.upstreams.get(&e.info.upstream));
        let members = upstream.into_iter().flat_map(|upstream| &upstream.members);
        let is_in_rack = move |seat: &Seat| {
            let rack = self.fleet.get(*seat).map(|other| &other.info.rack);
            rack.is_some() && rack == executor.map(|executor| &executor.info.rack)
        };
        members.copied().filter(is_in_rack)
    }
}
