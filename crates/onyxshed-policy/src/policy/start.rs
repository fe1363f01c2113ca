//! What to start next.

use onyxshed_core::{ClassName, Millis, Mono, Now, UpstreamName};

use super::Policy;
use crate::executor::sharing::Terms;
use crate::fleet::Seat;
use crate::placement::{Candidate, Choice};
use crate::queue::Ticket;
use crate::running::{Attempt, Running};
use crate::upstream::Scan;
use crate::work::NextStep;

/// When an upstream with tasks waiting is looked at again without an event, in milliseconds.
const LOOK_AGAIN: Millis = Millis(10);

/// Tasks set aside in one look before giving the others a rest.
const SET_ASIDE_MAX: usize = 8;

/// Time a task is assumed to stay within before anything is known of its class, in milliseconds.
const USUAL_ASSUMED: Millis = Millis(2_000);

impl Policy {
    /// Decides what to start now.
    pub fn next(&mut self, now: Now) -> NextStep {
        if let Some(step) = self.start_hedge(now.mono) {
            return step;
        }
        self.wake(now.mono);
        while let Some(name) = self.next_ready() {
            if let Some(step) = self.start_from(now.mono, &name) {
                self.last_served = Some(name);
                return step;
            }
            self.ready.remove(&name);
            self.sleep(now.mono, &name);
        }
        self.wait(now.mono)
    }

    /// Gets the next upstream in turn that may be able to start something.
    fn next_ready(&self) -> Option<UpstreamName> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self
            .last_served
            .as_ref()
            .and_then(|last| self.ready.range((Excluded(last), Unbounded)).next());
        after.or_else(|| self.ready.first()).cloned()
    }

    /// Makes those upstreams ready whose time to be looked at has come.
    fn wake(&mut self, now: Mono) {
        while let Some((at, _)) = self.wakes.first()
            && *at <= now
            && let Some((_, name)) = self.wakes.pop_first()
        {
            if let Some(upstream) = self.upstreams.get_mut(&name) {
                upstream.wake = None;
                upstream.scan = Scan::All;
                self.ready.insert(name);
            }
        }
    }

    /// Sets when an upstream that can start nothing is looked at again without an event.
    fn sleep(&mut self, now: Mono, name: &UpstreamName) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        if upstream.queue.is_empty() {
            return;
        }
        let times = [
            Some(now + LOOK_AGAIN),
            upstream.queue.ripe_at(),
            upstream.wake,
        ];
        let Some(at) = times.into_iter().flatten().min() else {
            return;
        };
        if let Some(old) = upstream.wake.replace(at) {
            self.wakes.remove(&(old, name.clone()));
        }
        self.wakes.insert((at, name.clone()));
    }

    fn wait(&self, now: Mono) -> NextStep {
        let wake = self.wakes.first().map(|(at, _)| *at);
        let hedge = self.hedges.first().map(|(at, _)| *at);
        // Tasks given up while looking for work wait for `expired`, which must come soon.
        let hopeless = (!self.hopeless.is_empty()).then(|| now + Millis(1));
        let first = [wake, hedge, hopeless].into_iter().flatten().min();
        first.map_or(NextStep::Idle, NextStep::WaitUntil)
    }

    /// Tries to start a task on an upstream.
    fn start_from(&mut self, now: Mono, name: &UpstreamName) -> Option<NextStep> {
        self.look_after(now, name);
        if self.upstreams.get(name)?.scan == Scan::Only(Vec::new()) {
            return None;
        }
        let mut holding: Vec<ClassName> = Vec::new();
        for _ in 0..SET_ASIDE_MAX {
            let class = self.first_class(name, &holding)?;
            let ticket = self.upstreams.get(name)?.queue.peek(&class)?.clone();
            if self.is_hopeless(now, name, &ticket) {
                self.give_up(name, &class);
                continue;
            }
            match self.choose(now, name, &ticket) {
                Choice::Take(candidate) => {
                    self.pop(name, &class);
                    let terms = self.terms(now, name, &ticket);
                    let step = self.begin(now, ticket, candidate, false);
                    self.filled(now, name, candidate.seat, terms);
                    return step;
                }
                Choice::Avoided => self.set_aside(now, name, &class),
                // Another class may have use for the place that this one lets pass.
                Choice::Hold => holding.push(class),
                Choice::Full => {
                    self.upstreams.get_mut(name)?.scan = Scan::Only(Vec::new());
                    return None;
                }
            }
        }
        None
    }

    /// Books a start.
    pub(super) fn begin(
        &mut self,
        now: Mono,
        ticket: Ticket,
        candidate: Candidate,
        is_hedge: bool,
    ) -> Option<NextStep> {
        let Candidate { seat, is_probe, .. } = candidate;
        let task = ticket.work.task;
        let executor = self.fleet.get_mut(seat)?;
        let class = self.classes.get_mut(&ticket.work.class)?;
        let usual = class.usual(candidate.slowdown.max(1.0));
        class.in_flight += 1;
        executor.started(now, usual.unwrap_or(USUAL_ASSUMED.into()));
        if is_probe {
            executor.breaker.probing(now, executor.patience());
        }
        let name = executor.info.name.clone();
        if self.siblings(task.submission).next().is_some() {
            self.begun.insert(task.submission);
        }
        let running = self.running.entry(task);
        let running = running.or_insert_with(|| Running::new(ticket));
        running.attempts.push(Attempt { seat, is_probe });
        if is_probe {
            self.follow_in_rack(seat);
        }
        if !is_hedge {
            self.plan_hedge(now, task);
        }
        Some(NextStep::Start {
            task,
            executor: name,
            is_hedge,
        })
    }

    /// Takes an executor without a further place off the list of those to look at.
    fn filled(&mut self, now: Mono, name: &UpstreamName, seat: Seat, terms: Terms) {
        let (Some(upstream), Some(executor)) = (self.upstreams.get_mut(name), self.fleet.get(seat))
        else {
            return;
        };
        if let Scan::Only(seats) = &mut upstream.scan
            && !executor.has_place(now, terms)
        {
            seats.retain(|other| *other != seat);
        }
    }
}
