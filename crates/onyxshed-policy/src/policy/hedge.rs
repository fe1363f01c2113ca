//! Hedges: second copies of tasks that are about to miss their deadline.
//!
//! A hedge is sent only for a task that may run twice, only once the first copy has run longer than
//! most tasks and the deadline is at risk, and only within a budget of one hedge per hundred
//! finished tasks. A class with a tight target therefore gets hedges early and a class with a loose
//! target hardly any, without a setting for hedges.

use onyxshed_core::{Micros, Millis, Mono, TaskId};

use super::Policy;
use crate::span::{as_us, to_micros};
use crate::work::NextStep;

/// Quantile of the service time; a first copy that has run longer may be hedged.
const LATE_QUANTILE: f64 = 0.95;

/// Delay before another attempt to start a hedge for which no executor was available.
const HEDGE_RETRY_DELAY: Millis = Millis(5);

impl Policy {
    /// Plans a hedge for a task that was just started, if [`Policy::hedge_due_at`] allows one.
    pub(super) fn plan_hedge(&mut self, now: Mono, task: TaskId) {
        let Some(at) = self.hedge_due_at(now, task) else {
            return;
        };
        if let Some(running) = self.running.get_mut(&task) {
            running.hedge_at = Some(at);
            self.planned_hedges.insert((at, task));
        }
    }

    /// Cancels the planned hedge of a task; no effect if none is planned.
    pub(super) fn cancel_hedge(&mut self, task: TaskId) {
        let running = self.running.get_mut(&task);
        if let Some(at) = running.and_then(|running| running.hedge_at.take()) {
            self.planned_hedges.remove(&(at, task));
        }
    }

    /// Starts the first due hedge for which an executor and a hedge token are available; returns
    /// `None` if there is no such hedge.
    pub(super) fn start_due_hedge(&mut self, now: Mono) -> Option<NextStep> {
        while let Some((at, task)) = self.planned_hedges.first().copied()
            && at <= now
        {
            self.cancel_hedge(task);
            if let Some(step) = self.try_hedge(now, task) {
                return Some(step);
            }
        }
        None
    }

    /// Returns when a hedge is due: once the task has run longer than most tasks and its deadline
    /// is at risk. Returns `None` if no hedge is allowed, or if a hedge at that time would be too
    /// late.
    fn hedge_due_at(&self, now: Mono, task: TaskId) -> Option<Mono> {
        let work = &self.running.get(&task)?.ticket.work;
        if !work.may_run_twice || !self.placement.kind().is_guarded() {
            return None;
        }
        let class = self.classes.get(&work.class)?;
        let upstream = self.upstreams.get(&class.target.upstream)?;
        let slowdown = upstream.capacity.mean_slowdown();
        let late_after = to_micros(class.estimate.quantile_us(LATE_QUANTILE)? * slowdown);
        let median = class.median(upstream.capacity.fastest_slowdown());
        let at_risk_at = Mono(work.deadline.0.saturating_sub(late_after.0 * 2));
        let useful_until = Mono(work.deadline.0.saturating_sub(median.0));
        let at = at_risk_at.max(now + late_after);
        (at <= useful_until).then_some(at)
    }

    fn try_hedge(&mut self, now: Mono, task: TaskId) -> Option<NextStep> {
        let running = self.running.get(&task)?;
        let [attempt] = running.attempts.as_slice() else {
            return None;
        };
        let (key, ticket) = (attempt.key, running.ticket.clone());
        let name = self
            .classes
            .get(&ticket.work.class)?
            .target
            .upstream
            .clone();
        let upstream = self.upstreams.get(&name)?;
        // Under overload, a hedge would take the slot of another task.
        if running.is_over || !upstream.hedges.has_token() || upstream.is_overloaded(now) {
            return None;
        }
        let Some(candidate) = self.find_for_hedge(now, &ticket, key) else {
            self.reschedule_hedge(now, task, &ticket.work.deadline);
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
        self.upstreams.get_mut(&name)?.hedges.try_take();
        self.wasted_messages.hedges += 1;
        self.start_attempt(now, ticket, candidate, true)
    }

    fn reschedule_hedge(&mut self, now: Mono, task: TaskId, deadline: &Mono) {
        let at = now + Micros::from(HEDGE_RETRY_DELAY);
        if at < *deadline
            && let Some(running) = self.running.get_mut(&task)
        {
            running.hedge_at = Some(at);
            self.planned_hedges.insert((at, task));
        }
    }
}
