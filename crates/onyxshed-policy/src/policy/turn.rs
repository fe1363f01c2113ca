//! Selects the class whose task is started next, and drops tasks that cannot meet their deadline.

use onyxshed_core::{ClassName, Millis, Mono, UpstreamName};

use super::Policy;
use super::intake::finish_estimate;
use crate::admission::FinishEstimate;
use crate::class::Class;
use crate::queue::{ShareUse, Ticket};
use crate::upstream::Upstream;

/// Delay before a task is considered again if it must avoid every executor that has a free slot.
const AVOIDED_RETRY_DELAY: Millis = Millis(5);

/// Fraction of an upstream's slots that a class marked as unrunnable may use; at least one slot.
const UNRUNNABLE_SHARE: f64 = 1.0 / 32.0;

impl Policy {
    /// Returns the class whose first task is started next, ignoring the classes in
    /// `waiting_classes`; `None` if no class may start a task.
    pub(super) fn next_class(
        &self,
        name: &UpstreamName,
        waiting_classes: &[ClassName],
    ) -> Option<ClassName> {
        let upstream = self.upstreams.get(name)?;
        let slots = upstream.capacity.slots();
        let fair_share = slots / upstream.queue.classes().max(1) as f64;
        let share_use = |name: &ClassName| match self.classes.get(name) {
            _ if waiting_classes.contains(name) => ShareUse::Blocked,
            Some(class) => share_use(class, fair_share, slots),
            None => ShareUse::Reached,
        };
        upstream.queue.next_class(share_use).cloned()
    }

    /// Returns whether a task is to be dropped: it has too little time left, or under overload its
    /// whole job would miss the deadline.
    pub(super) fn is_too_late_to_start(
        &self,
        now: Mono,
        name: &UpstreamName,
        ticket: &Ticket,
    ) -> bool {
        let class = self.classes.get(&ticket.work.class);
        let (Some(upstream), Some(class)) = (self.upstreams.get(name), class) else {
            return false;
        };
        let is_overloaded = upstream.is_overloaded(now);
        let min_time =
            class.min_useful_time(now, upstream.capacity.fastest_slowdown(), is_overloaded);
        let has_too_little_time = ticket.work.deadline <= now + min_time;
        has_too_little_time || (is_overloaded && self.would_miss_deadline(now, upstream, ticket))
    }

    /// Returns whether a job of which nothing has started would probably miss its deadline even if
    /// its tasks were the first in the queue.
    ///
    /// A job either completes or fails as a whole, so running some tasks of a job that fails is
    /// wasted work. Under overload the slots of such a job are given to a job that can finish.
    fn would_miss_deadline(&self, now: Mono, upstream: &Upstream, ticket: &Ticket) -> bool {
        let job = ticket.work.task.submission;
        let is_first_start = ticket.failed_starts == 0 && ticket.failed_on.is_empty();
        if !is_first_start
            || self.started_jobs.contains(&job)
            || !self.placement.kind().is_guarded()
        {
            return false;
        }
        let tasks = self.queued_tasks_of(job).count();
        let deadline = ticket.work.deadline;
        let finish_estimate = finish_estimate(
            now,
            &self.classes,
            upstream,
            &ticket.work.class,
            tasks,
            deadline,
        );
        let when_first = finish_estimate.map(|finish_estimate| FinishEstimate {
            ahead_us: 0.0,
            ..finish_estimate
        });
        when_first
            .is_some_and(|finish_estimate| finish_estimate.retry_after(now, deadline).is_some())
    }

    /// Drops the first ready task of a class, which the next [`Policy::take_expired`] returns.
    pub(super) fn drop_first(&mut self, name: &UpstreamName, class: &ClassName) {
        if let Some(ticket) = self.pop_first(name, class) {
            self.dropped.push(ticket.to_expired());
        }
    }

    /// Removes the first ready task of a class from the queue of the upstream `name` and returns
    /// it; `None` if there is none.
    pub(super) fn pop_first(&mut self, name: &UpstreamName, class: &ClassName) -> Option<Ticket> {
        let ticket = self.upstreams.get_mut(name)?.queue.pop(class)?;
        self.untrack_queued(ticket.work.task);
        Some(ticket)
    }

    /// Delays the first task of a class, so that it does not block the tasks behind it.
    pub(super) fn postpone_first(&mut self, now: Mono, name: &UpstreamName, class: &ClassName) {
        if let Some(upstream) = self.upstreams.get_mut(name)
            && let Some(ticket) = upstream.queue.pop(class)
        {
            upstream.queue.push(ticket, Some(now + AVOIDED_RETRY_DELAY));
        }
    }
}

/// Compares the slots that the class would use with one more task with its fair share. A class
/// marked unrunnable is blocked beyond its reduced share.
fn share_use(class: &Class, fair_share: f64, slots: f64) -> ShareUse {
    let with_one_more = f64::from(class.in_flight) + 1.0;
    let unrunnable_share = (slots * UNRUNNABLE_SHARE).max(1.0);
    if class.faults.is_unrunnable() && with_one_more > unrunnable_share {
        ShareUse::Blocked
    } else if with_one_more <= fair_share {
        ShareUse::Below
    } else {
        ShareUse::Reached
    }
}
