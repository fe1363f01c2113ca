//! Whose turn it is on an upstream, and what leaves its queue without being started.

use onyxshed_core::{ClassName, Millis, Mono, UpstreamName};

use super::Policy;
use super::intake::outlook;
use crate::admission::Outlook;
use crate::class::Class;
use crate::queue::{Standing, Ticket};
use crate::upstream::Upstream;

/// When a task that no executor but those it must avoid could take is looked at again.
const AVOIDED_AGAIN: Millis = Millis(5);

/// Part of an upstream's slots that a class held to be unable to run may use.
const BLAMED_PART: f64 = 1.0 / 32.0;

impl Policy {
    /// Gets the class whose first task goes next, those that let their turn pass left out.
    pub(super) fn first_class(
        &self,
        name: &UpstreamName,
        holding: &[ClassName],
    ) -> Option<ClassName> {
        let upstream = self.upstreams.get(name)?;
        let slots = upstream.capacity.slots();
        let even_part = slots / upstream.queue.classes().max(1) as f64;
        let standing = |name: &ClassName| match self.classes.get(name) {
            _ if holding.contains(name) => Standing::Held,
            Some(class) => standing(class, even_part, slots),
            None => Standing::Beyond,
        };
        upstream.queue.first_class(standing).cloned()
    }

    /// Tells whether a task has less time left than is worth starting with.
    pub(super) fn is_hopeless(&self, now: Mono, name: &UpstreamName, ticket: &Ticket) -> bool {
        let class = self.classes.get(&ticket.work.class);
        let (Some(upstream), Some(class)) = (self.upstreams.get(name), class) else {
            return false;
        };
        let is_crowded = upstream.is_crowded(now);
        let floor = class.floor(now, upstream.capacity.fastest(), is_crowded);
        let is_late = ticket.work.deadline <= now + floor;
        is_late || (is_crowded && self.would_fail(now, upstream, ticket))
    }

    /// Tells whether a job of which nothing has started would hardly be whole in time.
    ///
    /// A job is complete or failed, so what runs of one that fails is wasted. Under overload its
    /// places go to a job that makes it.
    fn would_fail(&self, now: Mono, upstream: &Upstream, ticket: &Ticket) -> bool {
        let job = ticket.work.task.submission;
        let is_first_start = ticket.bounces == 0 && ticket.failed_on.is_empty();
        if !is_first_start || self.begun.contains(&job) || !self.placement.kind().is_guarded() {
            return false;
        }
        let tasks = self.siblings(job).count();
        let deadline = ticket.work.deadline;
        let outlook = outlook(
            now,
            &self.classes,
            upstream,
            &ticket.work.class,
            tasks,
            deadline,
        );
        let at_its_turn = outlook.map(|outlook| Outlook {
            ahead_us: 0.0,
            ..outlook
        });
        at_its_turn.is_some_and(|outlook| outlook.come_back(now, deadline).is_some())
    }

    /// Takes a class's first task out to be told as expired.
    pub(super) fn give_up(&mut self, name: &UpstreamName, class: &ClassName) {
        if let Some(ticket) = self.pop(name, class) {
            self.hopeless.push(ticket.expired());
        }
    }

    /// Takes a class's first task out.
    pub(super) fn pop(&mut self, name: &UpstreamName, class: &ClassName) -> Option<Ticket> {
        let ticket = self.upstreams.get_mut(name)?.queue.pop(class)?;
        self.leave_queue(ticket.work.task);
        Some(ticket)
    }

    /// Puts a class's first task off, so that it does not keep the others from their turn.
    pub(super) fn set_aside(&mut self, now: Mono, name: &UpstreamName, class: &ClassName) {
        if let Some(upstream) = self.upstreams.get_mut(name)
            && let Some(ticket) = upstream.queue.pop(class)
        {
            upstream.queue.push(ticket, Some(now + AVOIDED_AGAIN));
        }
    }
}

/// Gets how a class stands against its even part of the slots.
fn standing(class: &Class, even_part: f64, slots: f64) -> Standing {
    let with_one_more = f64::from(class.in_flight) + 1.0;
    let blamed_part = (slots * BLAMED_PART).max(1.0);
    if class.faults.is_blamed() && with_one_more > blamed_part {
        Standing::Held
    } else if with_one_more <= even_part {
        Standing::Within
    } else {
        Standing::Beyond
    }
}
