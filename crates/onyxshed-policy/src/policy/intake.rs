//! Admission of jobs, queueing of tasks, and removal of tasks that are not started.

use std::collections::BTreeMap;

use onyxshed_core::{
    CallerId, ClassName, Micros, Millis, Mono, Now, ResultCode, SubmissionId, TaskId, UpstreamName,
};

use super::Policy;
use super::caller_limits::Applicant;
use crate::admission::{FinishEstimate, class_share, longest_task_quantile, safe_quantile};
use crate::class::Class;
use crate::queue::{Depth, Ticket};
use crate::span::{as_us, to_micros};
use crate::upstream::Upstream;
use crate::work::{Admission, ExpiredTask, QueuedTask};

/// Retry-after if no executor of the upstream can get tasks: about the time in which a new list of
/// executors arrives.
const NO_UPSTREAM_RETRY_AFTER: Micros = Micros(1_000_000);

/// Minimum retry-after while every breaker is open and the next probe is pending.
const PROBING_RETRY_AFTER_MIN: Micros = Micros(250_000);

/// Retry-after if the class is not configured: about the time in which a new configuration arrives.
const UNKNOWN_CLASS_RETRY_AFTER: Micros = Micros(5_000_000);

/// Minimum interval between two scans for expired tasks. The dispatch requests the expired tasks on
/// every input, and a scan visits every queue.
const EXPIRY_SCAN_INTERVAL: Millis = Millis(1);

/// Maximum retry-after while most breakers are open.
const MOSTLY_OPEN_RETRY_AFTER_MAX: Micros = Micros(2_000_000);

/// Maximum ratio of a class's queued tasks to the free places in the queue, so that a single class
/// can fill two thirds of the queue.
const QUEUE_SHARE_FACTOR: usize = 2;

/// Maximum fraction added at random to a retry-after, so that refused callers do not all return at
/// the same time.
const RETRY_AFTER_JITTER: f64 = 0.25;

impl Policy {
    /// Decides whether to admit a job of `tasks` tasks of an unknown caller that must finish by
    /// `deadline`.
    pub fn admit(
        &mut self,
        now: Now,
        class: &ClassName,
        tasks: usize,
        deadline: Mono,
    ) -> Admission {
        self.admit_from(now, CallerId::UNKNOWN, class, tasks, deadline)
    }

    /// Decides whether to admit a job of `caller` with `tasks` tasks that must finish by `deadline`.
    pub fn admit_from(
        &mut self,
        now: Now,
        caller: CallerId,
        class: &ClassName,
        tasks: usize,
        deadline: Mono,
    ) -> Admission {
        let mut rejection = self.rejection(now.mono, class, tasks, deadline);
        if self.options.has_caller_shares || self.options.plans_returns {
            let job = Applicant {
                caller,
                class,
                tasks,
                deadline,
            };
            rejection = self.limit_caller(now.mono, &job, rejection);
        }
        match rejection {
            None => Admission::Accept,
            Some((code, retry_after)) if self.options.plans_returns => Admission::Refuse {
                code,
                retry_after_ms: retry_after.as_millis().max(Millis(1)),
            },
            Some((code, retry_after)) => {
                let factor = 1.0 + RETRY_AFTER_JITTER * self.draw();
                let retry_after = to_micros(as_us(retry_after) * factor);
                Admission::Refuse {
                    code,
                    retry_after_ms: retry_after.as_millis().max(Millis(1)),
                }
            }
        }
    }

    /// Queues a task on the upstream of its class and adds its expected work to the offered load. A
    /// task of an unknown class is dropped and reported by the next [`Policy::take_expired`].
    pub fn enqueue(&mut self, now: Now, task: QueuedTask) {
        let class = self.classes.get_mut(&task.class);
        if let Some(class) = class
            && let Some(upstream) = self.upstreams.get_mut(&class.target.upstream)
        {
            let work_us = class.estimate.mean_us().unwrap_or(upstream.mean_us());
            class.offered_load.record_arrival(now.mono, work_us);
            upstream.offered_load.record_arrival(now.mono, work_us);
        }
        self.queue_ticket(Ticket::new(now.mono, task), None);
    }

    /// Withdraws a task: removes it from the queue, and prevents retries and hedges if it runs.
    ///
    /// Returns whether the task was queued, or was dropped from the queue and not yet returned by
    /// [`Policy::take_expired`].
    pub fn withdraw(&mut self, task: TaskId) -> bool {
        if let Some(running) = self.running.get_mut(&task) {
            running.is_over = true;
        }
        self.cancel_hedge(task);
        let dropped_before = self.dropped.len();
        self.dropped.retain(|expired| expired.task != task);
        let upstream_name = self.untrack_queued(task);
        let upstream = upstream_name.and_then(|name| self.upstreams.get_mut(&name));
        let ticket = upstream.and_then(|upstream| upstream.queue.remove(task));
        ticket.is_some() || self.dropped.len() < dropped_before
    }

    /// Removes and returns the queued tasks that have expired or can no longer meet their deadline.
    pub fn take_expired_ids(&mut self, now: Now) -> Vec<TaskId> {
        self.take_expired(now)
            .into_iter()
            .map(|expired| expired.task)
            .collect()
    }

    /// Like [`Policy::take_expired_ids`], with the deadline and result code of each task.
    pub fn take_expired(&mut self, now: Now) -> Vec<ExpiredTask> {
        let mut expired = std::mem::take(&mut self.dropped);
        if now.mono < self.next_expiry_scan_at {
            return expired;
        }
        self.next_expiry_scan_at = now.mono + EXPIRY_SCAN_INTERVAL;
        let classes = &self.classes;
        for upstream in self.upstreams.values_mut() {
            let fastest = upstream.capacity.fastest_slowdown();
            let is_overloaded = upstream.is_overloaded(now.mono);
            let min_time = |name: &ClassName| {
                let class = classes.get(name);
                class.map_or(Micros(0), |class| {
                    class.min_useful_time(now.mono, fastest, is_overloaded)
                })
            };
            let tickets = upstream.queue.remove_expired(now.mono, min_time);
            expired.extend(tickets.iter().map(Ticket::to_expired));
        }
        for dropped_task in &expired {
            self.untrack_queued(dropped_task.task);
        }
        expired
    }

    /// Queues a ticket on its class's upstream, delayed until `not_before` if that is given. A
    /// ticket of an unknown class is dropped and reported as expired.
    pub(super) fn queue_ticket(&mut self, ticket: Ticket, not_before: Option<Mono>) {
        let Some(class) = self.classes.get(&ticket.work.class) else {
            self.dropped.push(ticket.to_expired());
            return;
        };
        let name = class.target.upstream.clone();
        let upstream = self.upstreams.entry(name.clone()).or_default();
        self.queued_on.insert(ticket.work.task, name.clone());
        upstream.queue.push(ticket, not_before);
        self.ready.insert(name);
    }

    /// Records that a task is no longer queued. Returns the upstream on which it was queued; `None`
    /// if it was not.
    pub(super) fn untrack_queued(&mut self, task: TaskId) -> Option<UpstreamName> {
        let upstream_name = self.queued_on.remove(&task)?;
        if self.queued_tasks_of(task.submission).next().is_none() {
            self.started_jobs.remove(&task.submission);
        }
        Some(upstream_name)
    }

    /// Returns the tasks of a job that are queued on any upstream, delayed ones included.
    pub(super) fn queued_tasks_of(
        &self,
        submission: SubmissionId,
    ) -> impl Iterator<Item = &TaskId> {
        let at = |index| TaskId { submission, index };
        let range = self.queued_on.range(at(0)..=at(u16::MAX));
        range.map(|(task, _)| task)
    }

    fn rejection(
        &mut self,
        now: Mono,
        name: &ClassName,
        tasks: usize,
        deadline: Mono,
    ) -> Option<(ResultCode, Micros)> {
        let Some(class) = self.classes.get(name).filter(|class| class.is_configured) else {
            return Some((ResultCode::UnknownClass, UNKNOWN_CLASS_RETRY_AFTER));
        };
        let upstream = class.target.upstream.clone();
        self.refresh_capacity(now, &upstream);
        let Some(upstream) = self.upstreams.get(&upstream) else {
            return Some((ResultCode::NoUpstream, NO_UPSTREAM_RETRY_AFTER));
        };
        if let Some(retry_after) = unavailable_retry_after(now, upstream) {
            return Some((ResultCode::NoUpstream, retry_after));
        }
        let finish_estimate = finish_estimate(now, &self.classes, upstream, name, tasks, deadline)?;
        if self.is_checked_by_estimate(now, upstream, name)
            && let Some(retry_after) = finish_estimate.retry_after(now, deadline)
        {
            let retry_after = retry_after.min(max_retry_after(upstream));
            return Some((ResultCode::DeadlineOutOfReach, retry_after));
        }
        self.is_full(upstream, name, tasks).then(|| {
            let retry_after = to_micros(
                finish_estimate
                    .finish_us()
                    .max(OVERLOADED_RETRY_AFTER_MIN_US),
            );
            (ResultCode::Overloaded, retry_after)
        })
    }

    /// Returns whether a job is admitted only if the estimate says that it meets its deadline.
    ///
    /// With every breaker open the capacity is zero and every job appears to miss its deadline. If
    /// all jobs were refused for this reason, no task would probe the executors, and jobs would
    /// still be refused long after the executors have recovered. The estimate is therefore not
    /// applied while every breaker is open, nor to a job whose tasks renew a stale estimate.
    fn is_checked_by_estimate(&self, now: Mono, upstream: &Upstream, name: &ClassName) -> bool {
        let class = self.classes.get(name);
        let needs_sample = class.is_some_and(|class| class.needs_sample(now));
        let is_sample = needs_sample && upstream.queue.class_len(name) == 0;
        self.placement.kind().is_guarded() && !is_sample && upstream.capacity.usable > 0
    }

    /// Returns whether the queue has no room for a job of `tasks` tasks: the tasks exceed the free
    /// places, or the class would exceed its part of the queue.
    fn is_full(&self, upstream: &Upstream, name: &ClassName, tasks: usize) -> bool {
        let left = self.options.queue_max.saturating_sub(self.queued_on.len());
        let of_class = upstream.queue.class_len(name) + tasks;
        tasks > left || of_class > left.saturating_mul(QUEUE_SHARE_FACTOR)
    }
}

/// Minimum retry-after if the queue is full.
const OVERLOADED_RETRY_AFTER_MIN_US: f64 = 100_000.0;

/// Returns the maximum retry-after of a job that would miss its deadline.
///
/// While most breakers are open, the next probes may restore the capacity, so a long delay must not
/// be derived from the present capacity.
fn max_retry_after(upstream: &Upstream) -> Micros {
    let is_mostly_open = upstream.capacity.usable * 2 < upstream.capacity.schedulable;
    if is_mostly_open {
        MOSTLY_OPEN_RETRY_AFTER_MAX
    } else {
        Micros(u64::MAX)
    }
}

/// Returns the retry-after if no task can be started on the upstream; `None` if a task can be
/// started or may serve as a probe.
fn unavailable_retry_after(now: Mono, upstream: &Upstream) -> Option<Micros> {
    let capacity = &upstream.capacity;
    if capacity.schedulable == 0 {
        return Some(NO_UPSTREAM_RETRY_AFTER);
    }
    if capacity.usable > 0 {
        return None;
    }
    // Every breaker is open. The first job that arrives when a probe is due serves as that probe.
    let is_due = capacity.probe_at.is_some_and(|at| at <= now);
    if is_due && upstream.queue.is_empty() {
        return None;
    }
    let wait = capacity.probe_at.map_or(Micros(0), |at| at.since(now));
    Some(wait.max(PROBING_RETRY_AFTER_MIN))
}

pub(super) fn finish_estimate(
    now: Mono,
    classes: &BTreeMap<ClassName, Class>,
    upstream: &Upstream,
    name: &ClassName,
    tasks: usize,
    deadline: Mono,
) -> Option<FinishEstimate> {
    let class = classes.get(name)?;
    let estimate = &class.estimate;
    let mean_us = estimate.mean_us().unwrap_or(0.0);
    let depth = upstream.queue.depth(name);
    let others: Vec<f64> = classes
        .iter()
        .filter(|(other, class)| *other != name && class.competes_with(&classes[name]))
        .map(|(_, class)| class.offered_load.slots(now))
        .collect();
    let effective_slots = upstream.capacity.effective_slots();
    let longest_us = estimate
        .quantile_us(longest_task_quantile(tasks))
        .unwrap_or(0.0);
    Some(FinishEstimate {
        ahead_us: depth.map_or(0.0, |depth| tasks_ahead(depth, deadline)) * mean_us,
        job_us: mean_us * tasks as f64,
        longest_us: longest_us * upstream.capacity.fastest_slowdown(),
        safe_us: estimate
            .measured_quantile_us(safe_quantile(tasks))
            .unwrap_or(0.0),
        is_overloaded: upstream.is_overloaded(now),
        share: class_share(effective_slots, &others),
    })
}

/// Estimates how many queued tasks of a class precede one with the given deadline, assuming that
/// the deadlines in the queue are evenly spread.
fn tasks_ahead(depth: Depth, deadline: Mono) -> f64 {
    if deadline >= depth.last_deadline {
        return depth.tasks as f64;
    }
    let part = as_us(deadline.since(depth.first_deadline))
        / as_us(depth.last_deadline.since(depth.first_deadline)).max(1.0);
    part * depth.tasks as f64
}
