//! What time alone brings about: capacity reckoned anew, executors that went quiet, first tries.

use onyxshed_core::{Millis, Mono, UpstreamName};

use super::Policy;
use crate::executor::breaker::{BreakerChange, BreakerReason};
use crate::fleet::Seat;
use crate::note::Note;
use crate::span::{as_us, to_micros};

/// Pause between tries while every breaker of an upstream is open, in milliseconds.
const ALL_OPEN_PAUSE: Millis = Millis(1_000);

/// Time over which the tries of all executors are spread once the first is well, in milliseconds.
const HURRY_WITHIN: Millis = Millis(200);

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
    /// lengthen an outage that is over. One try a second tells.
    fn hurry_first(&mut self, now: Mono, name: &UpstreamName) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        let at = now + ALL_OPEN_PAUSE;
        let probes = upstream.members.iter().filter_map(|seat| {
            let executor = self.fleet.get(*seat)?;
            let until = executor.breaker.probe_at()?;
            executor.is_live(now).then_some((until, *seat))
        });
        let Some((until, seat)) = probes.min() else {
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
            BreakerChange::Opened(reason) => Note::BreakerOpened {
                executor: name,
                reason,
            },
            BreakerChange::Closed => {
                executor.limit.ramp();
                Note::BreakerClosed { executor: name }
            }
        };
        self.notes.push(note);
        if change == BreakerChange::Closed {
            self.hurry_others(now, &upstream_name);
        }
        if let Some(upstream) = self.upstreams.get_mut(&upstream_name) {
            upstream.touch();
        }
    }

    /// Moves the tries of all executors forward when the first one is well again after every
    /// breaker was open: what was broken for all is likely to be mended for all.
    fn hurry_others(&mut self, now: Mono, name: &UpstreamName) {
        let Some(upstream) = self.upstreams.get(name) else {
            return;
        };
        if upstream.capacity.usable > 0 {
            return;
        }
        for seat in upstream.members.clone() {
            let wait = to_micros(as_us(HURRY_WITHIN.into()) * self.draw());
            if let Some(executor) = self.fleet.get_mut(seat) {
                executor.breaker.hurry(now + wait);
            }
        }
    }
}
