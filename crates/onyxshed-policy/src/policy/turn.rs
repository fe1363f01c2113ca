//! Whose turn it is on an upstream, and what leaves its queue without being started.

use onyxshed_core::{ClassName, Millis, Mono, UpstreamName};

use super::Policy;
use crate::class::Class;
use crate::queue::{Standing, Ticket};

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
        let floor = class.floor(now, upstream.capacity.fastest(), upstream.is_crowded(now));
        ticket.work.deadline <= now + floor
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
        self.homes.remove(&ticket.work.task);
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
