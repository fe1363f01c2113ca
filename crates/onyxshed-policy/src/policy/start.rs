//! Selects the next task to start, in round-robin order over the upstreams that may be able to
//! start a task.

use onyxshed_core::{ClassName, Millis, Mono, Now, UpstreamName};

use super::Policy;
use crate::executor::sharing::StartConditions;
use crate::fleet::ExecutorKey;
use crate::placement::{Candidate, Choice};
use crate::queue::Ticket;
use crate::running::{Attempt, RunningTask};
use crate::upstream::ScanScope;
use crate::work::NextStep;

/// Interval at which an upstream with queued tasks is checked again without an event.
const RECHECK_INTERVAL: Millis = Millis(10);

/// Maximum number of placement attempts per upstream before the other upstreams get their turn.
const PLACEMENT_TRIES_MAX: usize = 8;

/// Assumed 99th percentile of the service time of a class without an estimate.
const SERVICE_TIME_P99_ASSUMED: Millis = Millis(2_000);

impl Policy {
    /// Returns the next task to start, or when to call again.
    pub fn next(&mut self, now: Now) -> NextStep {
        if let Some(step) = self.start_due_hedge(now.mono) {
            return step;
        }
        self.mark_due_ready(now.mono);
        while let Some(name) = self.next_ready() {
            if let Some(step) = self.start_from(now.mono, &name) {
                self.last_served = Some(name);
                return step;
            }
            self.ready.remove(&name);
            self.schedule_wakeup(now.mono, &name);
        }
        self.wait_step(now.mono)
    }

    /// Returns the next upstream in round-robin order that may be able to start a task.
    fn next_ready(&self) -> Option<UpstreamName> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self
            .last_served
            .as_ref()
            .and_then(|last| self.ready.range((Excluded(last), Unbounded)).next());
        after.or_else(|| self.ready.first()).cloned()
    }

    /// Marks as ready the upstreams whose wakeup is due, so that all of their executors are
    /// checked.
    fn mark_due_ready(&mut self, now: Mono) {
        while let Some((at, _)) = self.wakeups.first()
            && *at <= now
            && let Some((_, name)) = self.wakeups.pop_first()
        {
            if let Some(upstream) = self.upstreams.get_mut(&name) {
                upstream.wake_at = None;
                upstream.scan = ScanScope::All;
                self.ready.insert(name);
            }
        }
    }

    /// Schedules the next check of an upstream that cannot start a task now.
    fn schedule_wakeup(&mut self, now: Mono, name: &UpstreamName) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        if upstream.queue.is_empty() {
            return;
        }
        let times = [
            Some(now + RECHECK_INTERVAL),
            upstream.queue.next_release_at(),
            upstream.wake_at,
        ];
        let Some(at) = times.into_iter().flatten().min() else {
            return;
        };
        if let Some(old) = upstream.wake_at.replace(at) {
            self.wakeups.remove(&(old, name.clone()));
        }
        self.wakeups.insert((at, name.clone()));
    }

    fn wait_step(&self, now: Mono) -> NextStep {
        let wakeup = self.wakeups.first().map(|(at, _)| *at);
        let hedge = self.planned_hedges.first().map(|(at, _)| *at);
        // Tasks dropped during the search are reported by `take_expired`, which has to be called
        // soon.
        let dropped = (!self.dropped.is_empty()).then(|| now + Millis(1));
        let first = [wakeup, hedge, dropped].into_iter().flatten().min();
        first.map_or(NextStep::Idle, NextStep::WaitUntil)
    }

    /// Tries to start a queued task of an upstream. Returns `None` if no task can start or if none
    /// was started within `PLACEMENT_TRIES_MAX` tries.
    fn start_from(&mut self, now: Mono, name: &UpstreamName) -> Option<NextStep> {
        self.refresh_upstream(now, name);
        if self.upstreams.get(name)?.scan == ScanScope::Only(Vec::new()) {
            return None;
        }
        let mut waiting_classes: Vec<ClassName> = Vec::new();
        for _ in 0..PLACEMENT_TRIES_MAX {
            let class = self.next_class(name, &waiting_classes)?;
            let ticket = self.upstreams.get(name)?.queue.peek(&class)?.clone();
            if self.is_too_late_to_start(now, name, &ticket) {
                self.drop_first(name, &class);
                continue;
            }
            match self.choose(now, name, &ticket) {
                Choice::Take(candidate) => {
                    self.pop_first(name, &class);
                    let conditions = self.start_conditions(now, name, &ticket);
                    let step = self.start_attempt(now, ticket, candidate, false);
                    self.record_filled_slot(now, name, candidate.key, conditions);
                    return step;
                }
                Choice::Avoided => self.postpone_first(now, name, &class),
                // Another class may use the slot that this class declines.
                Choice::WaitForFaster => waiting_classes.push(class),
                Choice::Full => {
                    self.upstreams.get_mut(name)?.scan = ScanScope::Only(Vec::new());
                    return None;
                }
            }
        }
        None
    }

    /// Records that a task starts on the candidate, and returns the step that sends it.
    pub(super) fn start_attempt(
        &mut self,
        now: Mono,
        ticket: Ticket,
        candidate: Candidate,
        is_hedge: bool,
    ) -> Option<NextStep> {
        let Candidate { key, is_probe, .. } = candidate;
        let task = ticket.work.task;
        let executor = self.fleet.get_mut(key)?;
        let class = self.classes.get_mut(&ticket.work.class)?;
        let service_time_p99 = class.service_time_p99(candidate.slowdown.max(1.0));
        class.in_flight += 1;
        executor.record_start(
            now,
            service_time_p99.unwrap_or(SERVICE_TIME_P99_ASSUMED.into()),
        );
        if is_probe {
            executor
                .breaker
                .record_probe(now, executor.response_timeout());
        }
        let name = executor.info.name.clone();
        if self.queued_tasks_of(task.submission).next().is_some() {
            self.started_jobs.insert(task.submission);
        }
        let running = self.running.entry(task);
        let running = running.or_insert_with(|| RunningTask::new(ticket));
        running.attempts.push(Attempt { key, is_probe });
        if is_probe {
            self.align_rack_probes(key);
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

    /// Removes an executor from the next scan of its upstream if it has no further free slot.
    fn record_filled_slot(
        &mut self,
        now: Mono,
        name: &UpstreamName,
        key: ExecutorKey,
        conditions: StartConditions,
    ) {
        let (Some(upstream), Some(executor)) = (self.upstreams.get_mut(name), self.fleet.get(key))
        else {
            return;
        };
        if let ScanScope::Only(keys) = &mut upstream.scan
            && !executor.has_free_slot(now, conditions)
        {
            keys.retain(|other| *other != key);
        }
    }
}
