//! Second copies of tasks that are about to miss their deadline.
//!
//! A copy is sent only for work that may run twice, only once the first has taken longer than most
//! and the deadline is near enough to be at risk, and only out of a budget of one in a hundred
//! finished tasks. A class with a tight target thus gets its copies early, one with a loose target
//! hardly ever: how much waste is spent follows from the target alone.

use onyxshed_core::{Micros, Millis, Mono, TaskId};

use super::Policy;
use crate::span::{as_us, to_micros};
use crate::work::NextStep;

/// Share of tasks that are over before a copy is thought of.
const LATE_Q: f64 = 0.95;

/// When a copy that found no executor is tried again, in milliseconds.
const AGAIN: Millis = Millis(5);

impl Policy {
    /// Plans a second copy of a task that has just been started.
    pub(super) fn plan_hedge(&mut self, now: Mono, task: TaskId) {
        let Some(at) = self.hedge_time(now, task) else {
            return;
        };
        if let Some(running) = self.running.get_mut(&task) {
            running.hedge_at = Some(at);
            self.hedges.insert((at, task));
        }
    }

    /// Forgets a planned copy.
    pub(super) fn forget_hedge(&mut self, task: TaskId) {
        let running = self.running.get_mut(&task);
        if let Some(at) = running.and_then(|running| running.hedge_at.take()) {
            self.hedges.remove(&(at, task));
        }
    }

    /// Tries to start a copy that is due.
    pub(super) fn start_hedge(&mut self, now: Mono) -> Option<NextStep> {
        while let Some((at, task)) = self.hedges.first().copied()
            && at <= now
        {
            self.forget_hedge(task);
            if let Some(step) = self.hedge(now, task) {
                return Some(step);
            }
        }
        None
    }

    /// Gets when the deadline is at risk, if a copy sent then can still make it.
    fn hedge_time(&self, now: Mono, task: TaskId) -> Option<Mono> {
        let work = &self.running.get(&task)?.ticket.work;
        if !work.may_run_twice || !self.placement.kind().is_guarded() {
            return None;
        }
        let class = self.classes.get(&work.class)?;
        let upstream = self.upstreams.get(&class.target.upstream)?;
        let slowdown = upstream.capacity.mean_slowdown();
        let late = to_micros(class.estimate.quantile_us(LATE_Q)? * slowdown);
        let fresh = class.median(upstream.capacity.fastest());
        let at_risk = Mono(work.deadline.0.saturating_sub(late.0 * 2));
        let useful_until = Mono(work.deadline.0.saturating_sub(fresh.0));
        let at = at_risk.max(now + late);
        (at <= useful_until).then_some(at)
    }

    fn hedge(&mut self, now: Mono, task: TaskId) -> Option<NextStep> {
        let running = self.running.get(&task)?;
        let [attempt] = running.attempts.as_slice() else {
            return None;
        };
        let (seat, ticket) = (attempt.seat, running.ticket.clone());
        let name = self
            .classes
            .get(&ticket.work.class)?
            .target
            .upstream
            .clone();
        let upstream = self.upstreams.get(&name)?;
        // Under overload a copy takes the place of another task.
        if running.is_over || !upstream.hedges.has_token() || upstream.is_crowded(now) {
            return None;
        }
        let Some(candidate) = self.find_for_hedge(now, &ticket, seat) else {
            self.hedge_again(now, task, &ticket.work.deadline);
            return None;
        };
        let expected_us = as_us(
            self.classes
                .get(&ticket.work.class)?
                .median(candidate.slowdown),
        );
        if now + to_micros(expected_us) > ticket.work.deadline {
            return None;
        }
        self.upstreams.get_mut(&name)?.hedges.take();
        self.waste.hedges += 1;
        self.begin(now, ticket, candidate, true)
    }

    fn hedge_again(&mut self, now: Mono, task: TaskId, deadline: &Mono) {
        let at = now + Micros::from(AGAIN);
        if at < *deadline
            && let Some(running) = self.running.get_mut(&task)
        {
            running.hedge_at = Some(at);
            self.hedges.insert((at, task));
        }
    }
}
