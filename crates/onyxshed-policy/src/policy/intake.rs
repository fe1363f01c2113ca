//! What comes in, and what leaves the queue without being started.

use std::collections::BTreeMap;

use onyxshed_core::{
    ClassName, Micros, Millis, Mono, Now, ResultCode, SubmissionId, TaskId, UpstreamName,
};

use super::Policy;
use crate::admission::{Outlook, longest_q, part, sure_q};
use crate::class::Class;
use crate::queue::{Depth, Ticket};
use crate::span::{as_us, to_micros};
use crate::upstream::Upstream;
use crate::work::{Admission, ExpiredTask, QueuedTask};

/// When to come back if no executor is known, in microseconds: about a host list's lag.
const NO_UPSTREAM_COME_BACK: Micros = Micros(1_000_000);

/// Soonest time to come back in while one task finds out whether any executor is well, in
/// microseconds.
const TRY_UNDER_WAY_COME_BACK: Micros = Micros(250_000);

/// When to come back if no such class is configured, in microseconds: a configuration's way.
const UNKNOWN_CLASS_COME_BACK: Micros = Micros(5_000_000);

/// Time between two looks for expired tasks: they are asked for with every event.
const EXPIRE_AGAIN: Millis = Millis(1);

/// Longest time to come back in while most breakers are open, in microseconds.
const MOSTLY_OPEN_COME_BACK: Micros = Micros(2_000_000);

/// A class may queue so many times as much as is left free, so one alone gets two thirds.
const QUEUE_SHARE: usize = 2;

/// Part by which times to come back differ, so that refused callers don't return all at once.
const COME_BACK_SPREAD: f64 = 0.25;

impl Policy {
    /// Decides whether to take in a job of `tasks` tasks that must end by `deadline`.
    pub fn admit(
        &mut self,
        now: Now,
        class: &ClassName,
        tasks: usize,
        deadline: Mono,
    ) -> Admission {
        match self.refusal(now.mono, class, tasks, deadline) {
            None => Admission::Accept,
            Some((code, come_back)) => {
                let factor = 1.0 + COME_BACK_SPREAD * self.draw();
                let come_back = to_micros(as_us(come_back) * factor);
                Admission::Refuse {
                    code,
                    retry_after_ms: come_back.as_millis().max(Millis(1)),
                }
            }
        }
    }

    /// Queues a task.
    pub fn enqueue(&mut self, now: Now, work: QueuedTask) {
        let class = self.classes.get_mut(&work.class);
        if let Some(class) = class
            && let Some(upstream) = self.upstreams.get_mut(&class.target.upstream)
        {
            let work_us = class.estimate.mean_us().unwrap_or(upstream.mean_us());
            class.demand.arrived(now.mono, work_us);
            upstream.demand.arrived(now.mono, work_us);
        }
        self.put(Ticket::new(now.mono, work), None);
    }

    /// Takes a waiting task out of the queue; false if it was not waiting.
    ///
    /// A task that runs gets no retry and no hedge any more.
    pub fn withdraw(&mut self, task: TaskId) -> bool {
        if let Some(running) = self.running.get_mut(&task) {
            running.is_over = true;
        }
        self.forget_hedge(task);
        let hopeless_before = self.hopeless.len();
        self.hopeless.retain(|expired| expired.task != task);
        let home = self.leave_queue(task);
        let upstream = home.and_then(|name| self.upstreams.get_mut(&name));
        let ticket = upstream.and_then(|upstream| upstream.queue.take(task));
        ticket.is_some() || self.hopeless.len() < hopeless_before
    }

    /// Takes out the waiting tasks whose deadline has passed or can't be made any more.
    pub fn expired(&mut self, now: Now) -> Vec<TaskId> {
        self.take_expired(now)
            .into_iter()
            .map(|expired| expired.task)
            .collect()
    }

    /// Takes them out with what to tell of each.
    pub fn take_expired(&mut self, now: Now) -> Vec<ExpiredTask> {
        let mut expired = std::mem::take(&mut self.hopeless);
        if now.mono < self.expire_at {
            return expired;
        }
        self.expire_at = now.mono + EXPIRE_AGAIN;
        let classes = &self.classes;
        for upstream in self.upstreams.values_mut() {
            let fastest = upstream.capacity.fastest();
            let is_crowded = upstream.is_crowded(now.mono);
            let floor = |name: &ClassName| {
                let class = classes.get(name);
                class.map_or(Micros(0), |class| {
                    class.floor(now.mono, fastest, is_crowded)
                })
            };
            let tickets = upstream.queue.expire(now.mono, floor);
            expired.extend(tickets.iter().map(Ticket::expired));
        }
        for gone in &expired {
            self.leave_queue(gone.task);
        }
        expired
    }

    /// Queues a ticket on its class's upstream.
    pub(super) fn put(&mut self, ticket: Ticket, not_before: Option<Mono>) {
        let Some(class) = self.classes.get(&ticket.work.class) else {
            self.hopeless.push(ticket.expired());
            return;
        };
        let name = class.target.upstream.clone();
        let upstream = self.upstreams.entry(name.clone()).or_default();
        self.homes.insert(ticket.work.task, name.clone());
        upstream.queue.push(ticket, not_before);
        self.ready.insert(name);
    }

    /// Books that a task waits no more; gives back the upstream it waited for.
    pub(super) fn leave_queue(&mut self, task: TaskId) -> Option<UpstreamName> {
        let home = self.homes.remove(&task)?;
        if self.siblings(task.submission).next().is_none() {
            self.begun.remove(&task.submission);
        }
        Some(home)
    }

    /// Gets the waiting tasks of a job.
    pub(super) fn siblings(&self, submission: SubmissionId) -> impl Iterator<Item = &TaskId> {
        let at = |index| TaskId { submission, index };
        let range = self.homes.range(at(0)..=at(u16::MAX));
        range.map(|(task, _)| task)
    }

    fn refusal(
        &mut self,
        now: Mono,
        name: &ClassName,
        tasks: usize,
        deadline: Mono,
    ) -> Option<(ResultCode, Micros)> {
        let Some(class) = self.classes.get(name).filter(|class| class.is_configured) else {
            return Some((ResultCode::UnknownClass, UNKNOWN_CLASS_COME_BACK));
        };
        let upstream = class.target.upstream.clone();
        self.refresh(now, &upstream);
        let Some(upstream) = self.upstreams.get(&upstream) else {
            return Some((ResultCode::NoUpstream, NO_UPSTREAM_COME_BACK));
        };
        if let Some(come_back) = no_upstream(now, upstream) {
            return Some((ResultCode::NoUpstream, come_back));
        }
        let outlook = outlook(now, &self.classes, upstream, name, tasks, deadline)?;
        if self.is_judged(now, upstream, name)
            && let Some(come_back) = outlook.come_back(now, deadline)
        {
            let come_back = come_back.min(longest_come_back(upstream));
            return Some((ResultCode::DeadlineOutOfReach, come_back));
        }
        self.is_full(upstream, name, tasks).then(|| {
            let come_back = to_micros(outlook.finish_us().max(OVERLOADED_MIN_US));
            (ResultCode::Overloaded, come_back)
        })
    }

    /// Tells whether a job is judged by the estimate of its finish.
    ///
    /// Failure guarded against: with every breaker open the capacity is nil, so no job looks able to
    /// make it, and without a job nothing tries an executor. Symptom: everything is refused long
    /// after the executors are well. A job that is let in as the try is not judged, nor is one that
    /// puts a stale estimate to the test.
    fn is_judged(&self, now: Mono, upstream: &Upstream, name: &ClassName) -> bool {
        let class = self.classes.get(name);
        let needs_try = class.is_some_and(|class| class.needs_try(now));
        let is_try = needs_try && upstream.queue.class_len(name) == 0;
        self.placement.kind().is_guarded() && !is_try && upstream.capacity.usable > 0
    }

    /// Tells whether the queue has no room for a job of that class.
    fn is_full(&self, upstream: &Upstream, name: &ClassName, tasks: usize) -> bool {
        let left = self.options.queue_max.saturating_sub(self.homes.len());
        let of_class = upstream.queue.class_len(name) + tasks;
        tasks > left || of_class > left.saturating_mul(QUEUE_SHARE)
    }
}

/// Shortest time to come back in if the queue is full, in microseconds.
const OVERLOADED_MIN_US: f64 = 100_000.0;

/// Gets the longest time to come back in.
///
/// While most breakers are open the capacity may be back with the next tries, so what it is now
/// says little about later.
fn longest_come_back(upstream: &Upstream) -> Micros {
    let is_mostly_open = upstream.capacity.usable * 2 < upstream.capacity.live;
    if is_mostly_open {
        MOSTLY_OPEN_COME_BACK
    } else {
        Micros(u64::MAX)
    }
}

/// When to come back if nothing can be started on the upstream.
fn no_upstream(now: Mono, upstream: &Upstream) -> Option<Micros> {
    let capacity = &upstream.capacity;
    if capacity.live == 0 {
        return Some(NO_UPSTREAM_COME_BACK);
    }
    if capacity.usable > 0 {
        return None;
    }
    // Every breaker is open. The first job that comes when a try is due is that try.
    let is_due = capacity.probe_at.is_some_and(|at| at <= now);
    if is_due && upstream.queue.is_empty() {
        return None;
    }
    let wait = capacity.probe_at.map_or(Micros(0), |at| at.since(now));
    Some(wait.max(TRY_UNDER_WAY_COME_BACK))
}

pub(super) fn outlook(
    now: Mono,
    classes: &BTreeMap<ClassName, Class>,
    upstream: &Upstream,
    name: &ClassName,
    tasks: usize,
    deadline: Mono,
) -> Option<Outlook> {
    let class = classes.get(name)?;
    let estimate = &class.estimate;
    let mean_us = estimate.mean_us().unwrap_or(0.0);
    let depth = upstream.queue.depth(name);
    let others: Vec<f64> = classes
        .iter()
        .filter(|(other, class)| *other != name && class.shares(&classes[name]))
        .map(|(_, class)| class.demand.slots(now))
        .collect();
    let power = upstream.capacity.power();
    let longest_us = estimate.quantile_us(longest_q(tasks)).unwrap_or(0.0);
    Some(Outlook {
        ahead_us: depth.map_or(0.0, |depth| ahead(depth, deadline)) * mean_us,
        job_us: mean_us * tasks as f64,
        longest_us: longest_us * upstream.capacity.fastest(),
        sure_us: estimate.seen_quantile_us(sure_q(tasks)).unwrap_or(0.0),
        is_crowded: upstream.is_crowded(now),
        part: part(power, &others),
    })
}

/// Estimates how many of a class's waiting tasks go before one with that deadline, taking their
/// deadlines as evenly spread.
fn ahead(depth: Depth, deadline: Mono) -> f64 {
    if deadline >= depth.last {
        return depth.tasks as f64;
    }
    let part = as_us(deadline.since(depth.first)) / as_us(depth.last.since(depth.first)).max(1.0);
    part * depth.tasks as f64
}
