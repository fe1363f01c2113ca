//! Tasks that wait for one upstream.
//!
//! Each class has its own queue, ordered by deadline. Among classes the earliest deadline goes
//! first, but a class that holds less than its even part of the upstream's places has its deadline
//! brought forward to a quarter of its span. A class that overruns the upstream thus waits behind
//! its own work, not in front of others', and no weight is needed.

use std::collections::BTreeMap;

use onyxshed_core::{ClassName, Micros, Mono, ResultCode, TaskId};

use crate::faults::ExecutorId;
use crate::fleet::Seat;
use crate::work::{ExpiredTask, QueuedTask};

/// Part of its span after which a class within its even part goes before those beyond theirs.
const FORWARD_PART: u64 = 4;

/// A task with what has happened to it so far.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The task.
    pub work: QueuedTask,
    /// When it was first queued.
    pub since: Mono,
    /// Starts that were refused or could not be sent, so far.
    pub bounces: u32,
    /// Where the last start was refused or could not be sent.
    pub bounced_at: Option<Seat>,
    /// Executors on which it failed.
    pub failed_on: Vec<ExecutorId>,
    /// What to tell of an earlier attempt that may have started, if there was one.
    pub started_code: Option<ResultCode>,
}

impl Ticket {
    /// Makes the ticket of a task that has just arrived.
    pub fn new(now: Mono, work: QueuedTask) -> Self {
        Ticket {
            work,
            since: now,
            bounces: 0,
            bounced_at: None,
            failed_on: Vec::new(),
            started_code: None,
        }
    }

    /// Gets what to tell if it is given up while it waits.
    pub fn expired(&self) -> ExpiredTask {
        ExpiredTask {
            task: self.work.task,
            deadline: self.work.deadline,
            code: self.started_code.unwrap_or(ResultCode::ExpiredInQueue),
        }
    }
}

/// Order of a class's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    deadline: Mono,
    number: u64,
}

#[derive(Debug, Clone)]
enum Place {
    Ready { class: ClassName, rank: Rank },
    Later { class: ClassName, at: (Mono, u64) },
}

/// What of a class waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Depth {
    /// Tasks.
    pub tasks: usize,
    /// Earliest deadline.
    pub first: Mono,
    /// Latest deadline.
    pub last: Mono,
}

/// The queue of one upstream.
#[derive(Debug, Default)]
pub struct Queue {
    ready: BTreeMap<ClassName, BTreeMap<Rank, Ticket>>,
    later: BTreeMap<(Mono, u64), Ticket>,
    places: BTreeMap<TaskId, Place>,
    later_by_class: BTreeMap<ClassName, usize>,
    last_number: u64,
}

impl Queue {
    /// Gets the number of tasks waiting.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Gets the number of a class's tasks waiting.
    pub fn class_len(&self, class: &ClassName) -> usize {
        let ready = self.ready.get(class).map_or(0, BTreeMap::len);
        ready + self.later_by_class.get(class).copied().unwrap_or(0)
    }

    /// Gets how much of a class is ready; none if nothing is.
    pub fn depth(&self, class: &ClassName) -> Option<Depth> {
        let tickets = self.ready.get(class)?;
        Some(Depth {
            tasks: tickets.len(),
            first: tickets.first_key_value()?.0.deadline,
            last: tickets.last_key_value()?.0.deadline,
        })
    }

    /// Gets the number of classes that have tasks ready.
    pub fn classes(&self) -> usize {
        self.ready.len()
    }

    /// Adds a task; with `not_before` it is not ready until then.
    pub fn push(&mut self, ticket: Ticket, not_before: Option<Mono>) {
        self.last_number += 1;
        let task = ticket.work.task;
        let class = ticket.work.class.clone();
        match not_before {
            Some(at) => {
                let at = (at, self.last_number);
                *self.later_by_class.entry(class.clone()).or_default() += 1;
                self.places.insert(task, Place::Later { class, at });
                self.later.insert(at, ticket);
            }
            None => {
                let rank = Rank {
                    deadline: ticket.work.deadline,
                    number: self.last_number,
                };
                let tickets = self.ready.entry(class.clone()).or_default();
                tickets.insert(rank, ticket);
                self.places.insert(task, Place::Ready { class, rank });
            }
        }
    }

    /// Makes tasks ready whose time has come.
    pub fn ripen(&mut self, now: Mono) {
        while let Some((at, _)) = self.later.first_key_value()
            && at.0 <= now
            && let Some((_, ticket)) = self.later.pop_first()
        {
            self.forget_later(&ticket.work.class);
            self.push(ticket, None);
        }
    }

    /// Gets when the next task becomes ready by itself.
    pub fn ripe_at(&self) -> Option<Mono> {
        self.later.first_key_value().map(|(at, _)| at.0)
    }

    /// Gets the class whose first task goes next; `standing` tells how each class stands.
    pub fn first_class(&self, standing: impl Fn(&ClassName) -> Standing) -> Option<&ClassName> {
        let keyed = self.ready.iter().filter_map(|(class, tickets)| {
            let (rank, ticket) = tickets.first_key_value()?;
            let due = match standing(class) {
                Standing::Held => return None,
                Standing::Beyond => rank.deadline,
                Standing::Within => forwarded(ticket, rank.deadline),
            };
            Some((due, rank.number, class))
        });
        keyed.min().map(|(_, _, class)| class)
    }

    /// Gets a class's first task.
    pub fn peek(&self, class: &ClassName) -> Option<&Ticket> {
        let (_, ticket) = self.ready.get(class)?.first_key_value()?;
        Some(ticket)
    }

    /// Takes a class's first task.
    pub fn pop(&mut self, class: &ClassName) -> Option<Ticket> {
        let tickets = self.ready.get_mut(class)?;
        let (_, ticket) = tickets.pop_first()?;
        if tickets.is_empty() {
            self.ready.remove(class);
        }
        self.places.remove(&ticket.work.task);
        Some(ticket)
    }

    /// Takes a task out wherever it waits.
    pub fn take(&mut self, task: TaskId) -> Option<Ticket> {
        match self.places.remove(&task)? {
            Place::Later { class, at } => {
                self.forget_later(&class);
                self.later.remove(&at)
            }
            Place::Ready { class, rank } => {
                let tickets = self.ready.get_mut(&class)?;
                let ticket = tickets.remove(&rank);
                if tickets.is_empty() {
                    self.ready.remove(&class);
                }
                ticket
            }
        }
    }

    /// Takes out the tasks whose deadline is nearer than their class's shortest possible time.
    pub fn expire(&mut self, now: Mono, floor: impl Fn(&ClassName) -> Micros) -> Vec<Ticket> {
        let mut expired = Vec::new();
        let classes: Vec<ClassName> = self.ready.keys().cloned().collect();
        for class in &classes {
            let horizon = now + floor(class);
            while let Some(ticket) = self.peek(class)
                && ticket.work.deadline <= horizon
            {
                expired.extend(self.pop(class));
            }
        }
        let late = self.later.values().filter(|t| t.work.deadline <= now);
        let late: Vec<TaskId> = late.map(|t| t.work.task).collect();
        expired.extend(late.into_iter().filter_map(|task| self.take(task)));
        expired
    }

    /// Takes everything of a class out.
    pub fn take_class(&mut self, class: &ClassName) -> Vec<Ticket> {
        let of_class = |place: &Place| match place {
            Place::Ready { class, .. } | Place::Later { class, .. } => class.clone(),
        };
        let tasks = self.places.iter().filter(|(_, p)| of_class(p) == *class);
        let tasks: Vec<TaskId> = tasks.map(|(task, _)| *task).collect();
        tasks
            .into_iter()
            .filter_map(|task| self.take(task))
            .collect()
    }

    fn forget_later(&mut self, class: &ClassName) {
        if let Some(count) = self.later_by_class.get_mut(class) {
            *count -= 1;
            if *count == 0 {
                self.later_by_class.remove(class);
            }
        }
    }
}

/// How a class stands against its even part of an upstream's places.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It holds less.
    Within,
    /// It holds as much or more.
    Beyond,
    /// It gets nothing now.
    Held,
}

fn forwarded(ticket: &Ticket, deadline: Mono) -> Mono {
    let span = deadline.since(ticket.since);
    ticket.since + Micros(span.0 / FORWARD_PART)
}
