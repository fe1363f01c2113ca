//! What to start next, and where.

use onyxshed_core::{ClassName, Micros, Millis, Mono, Now, UpstreamName};

use super::Policy;
use crate::class::Class;
use crate::executor::Executor;
use crate::executor::breaker::{BreakerReason, Gate};
use crate::fleet::Seat;
use crate::placement::{Candidate, Choice};
use crate::queue::{Standing, Ticket};
use crate::running::{Attempt, Running};
use crate::span::{as_us, to_micros};
use crate::upstream::{Scan, Upstream};
use crate::work::{Expired, NextStep};

/// When an upstream with tasks waiting is looked at again without an event, in milliseconds.
const LOOK_AGAIN: Millis = Millis(10);

/// When a task that no executor but those it must avoid could take is looked at again.
const AVOIDED_AGAIN: Millis = Millis(5);

/// Pause between tries while every breaker of an upstream is open, in milliseconds.
const ALL_OPEN_PAUSE: Millis = Millis(1_000);

/// Tasks set aside in one look before giving the others a rest.
const SET_ASIDE_MAX: usize = 8;

/// Candidates that are enough to choose from, where an upstream has very many executors.
const CANDIDATES_ENOUGH: usize = 48;

/// Time a task is assumed to stay within before anything is known of its class, in milliseconds.
const USUAL_ASSUMED: Millis = Millis(2_000);

/// Part of an upstream's slots that a class held to be unable to run may use.
const BLAMED_PART: f64 = 1.0 / 32.0;

/// What looking for an executor came to.
enum Found {
    Some(Vec<Candidate>),
    OnlyAvoided,
    None,
}

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

    fn wake(&mut self, now: Mono) {
        while let Some((at, name)) = self.wakes.first()
            && *at <= now
        {
            let name = name.clone();
            self.wakes.pop_first();
            if let Some(upstream) = self.upstreams.get_mut(&name) {
                upstream.wake = None;
                upstream.scan = Scan::All;
                self.ready.insert(name);
            }
        }
    }

    fn sleep(&mut self, now: Mono, name: &UpstreamName) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        if upstream.queue.is_empty() {
            return;
        }
        let again = now + LOOK_AGAIN;
        let at = upstream
            .queue
            .ripe_at()
            .map_or(again, |ripe| ripe.min(again));
        let at = upstream.wake.map_or(at, |wake| wake.min(at));
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
        let times = [wake, hedge, hopeless];
        times
            .into_iter()
            .flatten()
            .min()
            .map_or(NextStep::Idle, NextStep::WaitUntil)
    }

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
                self.give_up(name, &class, &ticket);
                continue;
            }
            match self.choose(now, name, &ticket) {
                (Choice::Take(candidate), _) => {
                    let ticket = self.upstreams.get_mut(name)?.queue.pop(&class)?;
                    self.waiting -= 1;
                    let step = self.begin(now, ticket, candidate, false);
                    self.filled(now, name, candidate.seat);
                    return step;
                }
                (Choice::Full, true) => self.set_aside(now, name, &class),
                (Choice::Full, false) => {
                    self.upstreams.get_mut(name)?.scan = Scan::Only(Vec::new());
                    return None;
                }
                // Another class may have use for the place that this one lets pass.
                (Choice::Hold(_), _) => holding.push(class),
            }
        }
        None
    }

    /// Takes an executor without a further place off the list of those to look at.
    fn filled(&mut self, now: Mono, name: &UpstreamName, seat: Seat) {
        let (Some(upstream), Some(executor)) = (self.upstreams.get_mut(name), self.fleet.get(seat))
        else {
            return;
        };
        let fade = upstream.fade();
        if let Scan::Only(seats) = &mut upstream.scan
            && !executor.has_place(now, self.sharers, fade)
        {
            seats.retain(|other| *other != seat);
        }
    }

    /// Does what time alone brings about on an upstream.
    fn look_after(&mut self, now: Mono, name: &UpstreamName) {
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

    pub(super) fn trip(&mut self, now: Mono, seat: Seat, reason: BreakerReason) {
        let draw = self.draw();
        let executor = self.fleet.get_mut(seat);
        let change = executor.and_then(|executor| executor.breaker.trip(now, reason, draw));
        self.note_breaker(seat, change);
    }

    fn first_class(&self, name: &UpstreamName, holding: &[ClassName]) -> Option<ClassName> {
        let upstream = self.upstreams.get(name)?;
        let users = upstream.queue.classes().max(1) as f64;
        let even_part = upstream.capacity.slots() / users;
        let blamed_part = (upstream.capacity.slots() * BLAMED_PART).max(1.0);
        let standing = |name: &ClassName| match self.classes.get(name) {
            _ if holding.contains(name) => Standing::Held,
            None => Standing::Beyond,
            Some(class) => {
                let in_flight = f64::from(class.in_flight);
                if class.faults.is_blamed() && in_flight + 1.0 > blamed_part {
                    Standing::Held
                } else if in_flight + 1.0 <= even_part {
                    Standing::Within
                } else {
                    Standing::Beyond
                }
            }
        };
        upstream.queue.first_class(standing).cloned()
    }

    fn is_hopeless(&self, now: Mono, name: &UpstreamName, ticket: &Ticket) -> bool {
        let (Some(upstream), Some(class)) = (
            self.upstreams.get(name),
            self.classes.get(&ticket.work.class),
        ) else {
            return false;
        };
        let floor = class.floor(now, upstream.capacity.fastest(), upstream.is_crowded(now));
        ticket.work.deadline <= now + floor
    }

    fn give_up(&mut self, name: &UpstreamName, class: &ClassName, ticket: &Ticket) {
        if let Some(upstream) = self.upstreams.get_mut(name)
            && upstream.queue.pop(class).is_some()
        {
            self.waiting -= 1;
            self.hopeless.push(Expired {
                task: ticket.work.task,
                code: ticket
                    .started_code
                    .unwrap_or(onyxshed_core::ResultCode::ExpiredInQueue),
            });
        }
    }

    fn set_aside(&mut self, now: Mono, name: &UpstreamName, class: &ClassName) {
        if let Some(upstream) = self.upstreams.get_mut(name)
            && let Some(ticket) = upstream.queue.pop(class)
        {
            upstream.queue.push(ticket, Some(now + AVOIDED_AGAIN));
        }
    }

    /// Chooses an executor; the flag tells that only avoided ones had a place.
    fn choose(&mut self, now: Mono, name: &UpstreamName, ticket: &Ticket) -> (Choice, bool) {
        let candidates = match self.find(now, name, ticket) {
            Found::None => return (Choice::Full, false),
            Found::OnlyAvoided => return (Choice::Full, true),
            Found::Some(candidates) => candidates,
        };
        let Some(candidate) = self.placement.choose(&candidates, &mut self.rng) else {
            return (Choice::Full, false);
        };
        match self.hold_until(now, name, ticket, &candidate) {
            Some(until) => (Choice::Hold(until), false),
            None => (Choice::Take(candidate), false),
        }
    }

    fn find(&mut self, now: Mono, name: &UpstreamName, ticket: &Ticket) -> Found {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return Found::None;
        };
        let is_guarded = self.placement.kind().is_guarded();
        let seats = seats_to_look_at(upstream, is_guarded);
        let fade = upstream.fade();
        let mut found: Vec<Candidate> = Vec::new();
        let mut has_avoided = false;
        for seat in seats {
            let Some(executor) = self.fleet.get(seat) else {
                continue;
            };
            let Some(candidate) = candidate(now, seat, executor, self.sharers, fade, is_guarded)
            else {
                continue;
            };
            let class = self.classes.get(&ticket.work.class);
            if candidate.is_probe {
                let may_probe = ticket.work.may_run_twice || !has_repeatable(&self.classes, name);
                if !may_probe || !suits_probe(now, ticket, class, executor) {
                    continue;
                }
            }
            if ticket.bounced_at == Some(seat) || ticket.failed_on.contains(&executor.id) {
                has_avoided = true;
                continue;
            }
            found.push(candidate);
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

    /// Decides whether the task had better wait for a faster executor.
    ///
    /// A slow executor costs the task the difference in service time; waiting costs the task, and
    /// those that come after it, the time that the faster ones need for what is queued. The nearer
    /// the faster ones are to their capacity, the more later tasks a wait holds up; beyond it, the
    /// slow ones are needed. The wait never goes beyond the difference. Where only one of the two ways
    /// makes the deadline, that one is taken.
    fn hold_until(
        &self,
        now: Mono,
        name: &UpstreamName,
        ticket: &Ticket,
        candidate: &Candidate,
    ) -> Option<Mono> {
        if candidate.is_probe || !self.placement.kind().is_guarded() {
            return None;
        }
        let upstream = self.upstreams.get(name)?;
        let median_us = self
            .classes
            .get(&ticket.work.class)?
            .estimate
            .quantile_us(0.5)?;
        let (power, faster) = upstream.capacity.faster_than(candidate.slowdown)?;
        let release_us = upstream.mean_us() / power;
        let fast_us = median_us * faster;
        let slow_us = median_us * candidate.slowdown;
        let left_us = as_us(ticket.work.deadline.since(now));
        match (slow_us <= left_us, release_us + fast_us <= left_us) {
            (true, false) => return None,
            (false, true) => return Some(now + to_micros(left_us - fast_us)),
            (true, true) | (false, false) => {}
        }
        let idle_part = 1.0 - upstream.demand.slots(now) / power;
        let wait_us = (upstream.queue.len() + 1) as f64 * release_us;
        let until = ticket.since + to_micros(slow_us - fast_us);
        let is_better = idle_part > 0.0 && wait_us / idle_part < slow_us - fast_us;
        (is_better && until > now).then_some(until)
    }

    /// Books a start.
    pub(super) fn begin(
        &mut self,
        now: Mono,
        ticket: Ticket,
        candidate: Candidate,
        is_hedge: bool,
    ) -> Option<NextStep> {
        let task = ticket.work.task;
        let class = self.classes.get_mut(&ticket.work.class)?;
        class.in_flight += 1;
        let usual = class
            .usual(candidate.slowdown.max(1.0))
            .unwrap_or(USUAL_ASSUMED.into());
        let executor = self.fleet.get_mut(candidate.seat)?;
        executor.started(now, usual);
        if candidate.is_probe {
            executor.breaker.probing();
        }
        let name = executor.info.name.clone();
        let attempt = Attempt {
            seat: candidate.seat,
            is_probe: candidate.is_probe,
        };
        let running = self.running.entry(task).or_insert_with(|| Running {
            ticket,
            attempts: Vec::new(),
            is_over: false,
            hedge_at: None,
        });
        running.attempts.push(attempt);
        if !is_hedge {
            self.plan_hedge(now, task);
        }
        Some(NextStep::Start {
            task,
            executor: name,
            is_hedge,
        })
    }

    /// Finds executors for a second copy of a running task.
    pub(super) fn find_for_hedge(
        &mut self,
        now: Mono,
        running: &Ticket,
        at: Seat,
    ) -> Option<Candidate> {
        let class = self.classes.get(&running.work.class)?;
        let name = class.target.upstream.clone();
        let mut ticket = running.clone();
        ticket.bounced_at = Some(at);
        let scan = std::mem::replace(&mut self.upstreams.get_mut(&name)?.scan, Scan::All);
        let found = self.find(now, &name, &ticket);
        self.upstreams.get_mut(&name)?.scan = scan;
        let Found::Some(mut candidates) = found else {
            return None;
        };
        candidates.retain(|candidate| !candidate.is_probe);
        self.placement.choose(&candidates, &mut self.rng)
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

fn candidate(
    now: Mono,
    seat: Seat,
    executor: &Executor,
    sharers: u32,
    fade: Micros,
    is_guarded: bool,
) -> Option<Candidate> {
    let is_probe = if is_guarded {
        let gate = executor.gate(now);
        let has_place = match gate {
            Gate::Work => executor.has_place(now, sharers, fade),
            Gate::Probe => true,
            Gate::Shut => false,
        };
        if !has_place {
            return None;
        }
        gate == Gate::Probe
    } else {
        if !executor.is_live(now) || executor.in_flight >= executor.info.slots {
            return None;
        }
        false
    };
    Some(Candidate {
        seat,
        in_flight: executor.in_flight,
        slots: executor.info.slots,
        slowdown: executor.slowdown(now),
        is_probe,
    })
}

/// Tells whether some class on the upstream has work under way that may run twice.
fn has_repeatable(
    classes: &std::collections::BTreeMap<ClassName, Class>,
    upstream: &UpstreamName,
) -> bool {
    classes.values().any(|class| {
        class.target.may_run_twice && class.in_flight > 0 && class.target.upstream == *upstream
    })
}

/// Tells whether the task would stand a try of a slow executor.
fn suits_probe(now: Mono, ticket: &Ticket, class: Option<&Class>, executor: &Executor) -> bool {
    if executor.breaker.reason() != Some(BreakerReason::Slow) {
        return true;
    }
    let expected_us = class.map_or(0.0, |class| {
        as_us(class.median(executor.speed.recent_slowdown()))
    });
    now + to_micros(expected_us) <= ticket.work.deadline
}
