//! Where a task goes, or whether it had better wait.

use std::collections::BTreeMap;

use onyxshed_core::{ClassName, Micros, Mono, UpstreamName};

use super::Policy;
use crate::class::Class;
use crate::executor::Executor;
use crate::executor::breaker::{BreakerReason, Gate};
use crate::executor::sharing::Terms;
use crate::fleet::Seat;
use crate::placement::{Candidate, Choice};
use crate::queue::Ticket;
use crate::span::{as_us, to_micros};
use crate::upstream::{Scan, Upstream};

/// Candidates that are enough to choose from, where an upstream has very many executors.
const CANDIDATES_ENOUGH: usize = 48;

/// What looking for an executor came to.
enum Found {
    Some(Vec<Candidate>),
    OnlyAvoided,
    None,
}

/// Whether an executor can take a task.
enum Fit {
    Yes(Candidate),
    Avoided,
    No,
}

impl Policy {
    /// Chooses an executor for a task.
    pub(super) fn choose(&mut self, now: Mono, name: &UpstreamName, ticket: &Ticket) -> Choice {
        let candidates = match self.find(now, name, ticket) {
            Found::None => return Choice::Full,
            Found::OnlyAvoided => return Choice::Avoided,
            Found::Some(candidates) => candidates,
        };
        match self.placement.choose(&candidates, &mut self.rng) {
            None => Choice::Full,
            Some(candidate) if self.had_better_wait(now, name, ticket, &candidate) => Choice::Hold,
            Some(candidate) => Choice::Take(candidate),
        }
    }

    /// Finds an executor for a second copy of a task that runs at `at`.
    pub(super) fn find_for_hedge(
        &mut self,
        now: Mono,
        running: &Ticket,
        at: Seat,
    ) -> Option<Candidate> {
        let class = self.classes.get(&running.work.class)?;
        let name = class.target.upstream.clone();
        let mut ticket = running.clone();
        ticket.failed_on.push(self.fleet.get(at)?.id);
        let scan = std::mem::replace(&mut self.upstreams.get_mut(&name)?.scan, Scan::All);
        let found = self.find(now, &name, &ticket);
        self.upstreams.get_mut(&name)?.scan = scan;
        let Found::Some(mut candidates) = found else {
            return None;
        };
        candidates.retain(|candidate| !candidate.is_probe);
        self.placement.choose(&candidates, &mut self.rng)
    }

    fn find(&mut self, now: Mono, name: &UpstreamName, ticket: &Ticket) -> Found {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return Found::None;
        };
        let is_guarded = self.placement.kind().is_guarded();
        let seats = seats_to_look_at(upstream, is_guarded);
        let terms = self.terms(now, name, ticket);
        let mut found: Vec<Candidate> = Vec::new();
        let mut has_avoided = false;
        for seat in seats {
            match self.fit(now, name, ticket, seat, terms) {
                Fit::Yes(candidate) => found.push(candidate),
                Fit::Avoided => has_avoided = true,
                Fit::No => {}
            }
            if is_guarded && found.len() >= CANDIDATES_ENOUGH {
                break;
            }
        }
        match (found.is_empty(), has_avoided) {
            (false, _) => Found::Some(found),
            (true, true) => Found::OnlyAvoided,
            (true, false) => Found::None,
        }
    }

    /// Gets what the task's start depends on besides the executor.
    pub(super) fn terms(&self, now: Mono, name: &UpstreamName, ticket: &Ticket) -> Terms {
        let upstream = self.upstreams.get(name);
        let slowdown = upstream.map_or(1.0, |upstream| upstream.capacity.mean_slowdown());
        let class = self.classes.get(&ticket.work.class);
        let usual = class.and_then(|class| class.usual(slowdown));
        let usual = usual.unwrap_or(Micros(0));
        Terms {
            sharers: self.sharers,
            fade: upstream.map_or(Micros(0), Upstream::fade),
            has_time: now + Micros(usual.0.saturating_mul(2)) < ticket.work.deadline,
        }
    }

    /// Tells whether an executor can take the task now.
    fn fit(
        &self,
        now: Mono,
        name: &UpstreamName,
        ticket: &Ticket,
        seat: Seat,
        terms: Terms,
    ) -> Fit {
        let Some(executor) = self.fleet.get(seat) else {
            return Fit::No;
        };
        let is_guarded = self.placement.kind().is_guarded();
        let gate = match is_guarded {
            true => guarded_gate(now, executor, terms),
            false => plain_gate(now, executor),
        };
        let is_probe = gate == Gate::Probe;
        if gate == Gate::Shut || (is_probe && !self.may_probe(now, name, ticket, executor)) {
            return Fit::No;
        }
        // Where hardly any other is usable, waiting for another would keep the task from the try
        // that finds out whether this one is well again.
        let has_others = self
            .upstreams
            .get(name)
            .is_some_and(|u| u.capacity.usable > 1);
        let has_bounced = ticket.bounced_at == Some(seat) && has_others;
        if has_bounced || ticket.failed_on.contains(&executor.id) {
            return Fit::Avoided;
        }
        Fit::Yes(Candidate {
            seat,
            in_flight: executor.in_flight,
            slots: executor.info.slots,
            slowdown: executor.slowdown(now),
            is_probe,
        })
    }

    /// Tells whether a task may try an executor under doubt.
    ///
    /// Work that may not run twice would be lost with a failed try, so it is used only where the
    /// upstream has no other. A slow executor is tried with work that can wait for it.
    fn may_probe(
        &self,
        now: Mono,
        name: &UpstreamName,
        ticket: &Ticket,
        executor: &Executor,
    ) -> bool {
        if !ticket.work.may_run_twice && has_repeatable(&self.classes, name) {
            return false;
        }
        let class = self.classes.get(&ticket.work.class);
        let (Some(class), Some(BreakerReason::Slow)) = (class, executor.breaker.reason()) else {
            return true;
        };
        let expected = class.median(executor.speed.recent_slowdown());
        now + expected <= ticket.work.deadline
    }

    /// Decides whether the task had better wait for a faster executor.
    ///
    /// A slow executor costs the task the difference in service time; waiting costs the task, and
    /// those that come after it, the time that the faster ones need for what is queued. The nearer
    /// the faster ones are to their capacity, the more later tasks a wait holds up; beyond it, the
    /// slow ones are needed. The wait never goes beyond the difference. Where only one of the two
    /// ways makes the deadline, that one is taken.
    fn had_better_wait(
        &self,
        now: Mono,
        name: &UpstreamName,
        ticket: &Ticket,
        candidate: &Candidate,
    ) -> bool {
        if candidate.is_probe || !self.placement.kind().is_guarded() {
            return false;
        }
        let class = self.classes.get(&ticket.work.class);
        let median_us = class.and_then(|class| class.estimate.quantile_us(0.5));
        let upstream = self.upstreams.get(name);
        let (Some(median_us), Some(upstream)) = (median_us, upstream) else {
            return false;
        };
        let Some(faster) = upstream.capacity.faster_than(candidate.slowdown) else {
            return false;
        };
        let release_us = upstream.mean_us() / faster.power;
        let fast_us = median_us * faster.slowdown;
        let slow_us = median_us * candidate.slowdown;
        let left_us = as_us(ticket.work.deadline.since(now));
        match (slow_us <= left_us, release_us + fast_us <= left_us) {
            (true, false) => return false,
            (false, true) => return true,
            (true, true) | (false, false) => {}
        }
        let gain_us = slow_us - fast_us;
        let idle_part = 1.0 - upstream.demand.slots(now) / faster.power;
        let wait_us = (upstream.queue.len() + 1) as f64 * release_us;
        let has_time = ticket.since + to_micros(gain_us) > now;
        has_time && idle_part > 0.0 && wait_us / idle_part < gain_us
    }
}

/// Gets the executors to look at: where something came free, or all of them, beginning anywhere if
/// they are many.
fn seats_to_look_at(upstream: &mut Upstream, is_guarded: bool) -> Vec<Seat> {
    let mut seats = match &upstream.scan {
        Scan::All => upstream.members.clone(),
        Scan::Only(seats) => seats.clone(),
    };
    if is_guarded && seats.len() > CANDIDATES_ENOUGH {
        upstream.turn = (upstream.turn + CANDIDATES_ENOUGH) % seats.len();
        seats.rotate_left(upstream.turn);
    } else {
        seats.sort_unstable();
    }
    seats
}

/// Gets what an executor may get by its guards and places.
fn guarded_gate(now: Mono, executor: &Executor, terms: Terms) -> Gate {
    let gate = executor.gate(now);
    let has_place = match gate {
        Gate::Work => executor.has_place(now, terms),
        // Tasks from before the breaker opened may still be there.
        Gate::Probe => executor.in_flight < executor.info.slots,
        Gate::Shut => false,
    };
    if has_place { gate } else { Gate::Shut }
}

/// Gets what an executor may get by its slots alone.
fn plain_gate(now: Mono, executor: &Executor) -> Gate {
    let has_place = executor.is_live(now) && executor.in_flight < executor.info.slots;
    if has_place { Gate::Work } else { Gate::Shut }
}

/// Tells whether some class on the upstream has work under way that may run twice.
fn has_repeatable(classes: &BTreeMap<ClassName, Class>, upstream: &UpstreamName) -> bool {
    classes.values().any(|class| {
        class.target.may_run_twice && class.in_flight > 0 && class.target.upstream == *upstream
    })
}
