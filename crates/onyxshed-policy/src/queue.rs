//! Queue of tasks for one upstream.
//!
//! Each class has its own queue, ordered by deadline. Among the classes the earliest deadline goes
//! first, but a task of a class that uses less than its fair share of the upstream's slots counts
//! as due after a quarter of the time between its queueing and its deadline. The tasks of a class
//! that overloads the upstream therefore delay each other and not those of other classes, and
//! operators need not configure weights.

use std::collections::BTreeMap;

use onyxshed_core::{ClassName, Micros, Mono, ResultCode, TaskId};

use crate::faults::ExecutorId;
use crate::fleet::ExecutorKey;
use crate::work::{ExpiredTask, QueuedTask};

/// Divisor of the time from queueing to deadline: a task of a class below its fair share counts as
/// due when this fraction of the time, a quarter, has passed.
const ADVANCE_DIVISOR: u64 = 4;

/// A task with the history of its attempts.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The task, as the dispatch queued it.
    pub work: QueuedTask,
    /// When the task was first queued.
    pub queued_at: Mono,
    /// Number of starts that were refused or could not be sent.
    pub failed_starts: u32,
    /// Executor of the last start that was refused or could not be sent.
    pub last_failed_start: Option<ExecutorKey>,
    /// Executors on which the task was started and did not finish.
    pub failed_on: Vec<ExecutorId>,
    /// Result code of an earlier attempt that may have started; `None` if there was none.
    pub started_code: Option<ResultCode>,
}

impl Ticket {
    /// Creates the ticket of a task that is queued for the first time, without failed starts.
    pub fn new(now: Mono, work: QueuedTask) -> Self {
        Ticket {
            work,
            queued_at: now,
            failed_starts: 0,
            last_failed_start: None,
            failed_on: Vec::new(),
            started_code: None,
        }
    }

    /// Returns the entry that reports the dropped task to the dispatch.
    pub fn to_expired(&self) -> ExpiredTask {
        ExpiredTask {
            task: self.work.task,
            deadline: self.work.deadline,
            code: self.started_code.unwrap_or(ResultCode::ExpiredInQueue),
        }
    }
}

/// Position in the queue of a class: by deadline, then in order of insertion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    deadline: Mono,
    sequence: u64,
}

#[derive(Debug, Clone)]
enum Position {
    Ready { class: ClassName, rank: Rank },
    Delayed { class: ClassName, at: (Mono, u64) },
}

/// Number of ready tasks of a class and the range of their deadlines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Depth {
    /// Number of ready tasks, at least 1; delayed tasks are not counted.
    pub tasks: usize,
    /// Earliest deadline: that of the first ready task of the class.
    pub first_deadline: Mono,
    /// Latest deadline: that of the last ready task of the class.
    pub last_deadline: Mono,
}

/// Queued tasks of one upstream: ready tasks by class, and delayed tasks by the time at which they
/// become ready.
#[derive(Debug, Default)]
pub struct Queue {
    ready: BTreeMap<ClassName, BTreeMap<Rank, Ticket>>,
    delayed: BTreeMap<(Mono, u64), Ticket>,
    positions: BTreeMap<TaskId, Position>,
    delayed_by_class: BTreeMap<ClassName, usize>,
    last_sequence: u64,
}

impl Queue {
    /// Returns the number of queued tasks, delayed ones included.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no task is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of queued tasks of a class, delayed ones included.
    pub fn class_len(&self, class: &ClassName) -> usize {
        let ready = self.ready.get(class).map_or(0, BTreeMap::len);
        ready + self.delayed_by_class.get(class).copied().unwrap_or(0)
    }

    /// Returns the number and the deadlines of the ready tasks of a class; `None` if there are
    /// none.
    pub fn depth(&self, class: &ClassName) -> Option<Depth> {
        let tickets = self.ready.get(class)?;
        Some(Depth {
            tasks: tickets.len(),
            first_deadline: tickets.first_key_value()?.0.deadline,
            last_deadline: tickets.last_key_value()?.0.deadline,
        })
    }

    /// Returns the number of classes with ready tasks.
    pub fn classes(&self) -> usize {
        self.ready.len()
    }

    /// Adds a task, ready immediately or delayed until `not_before`.
    pub fn push(&mut self, ticket: Ticket, not_before: Option<Mono>) {
        self.last_sequence += 1;
        let task = ticket.work.task;
        let class = ticket.work.class.clone();
        match not_before {
            Some(at) => {
                let at = (at, self.last_sequence);
                *self.delayed_by_class.entry(class.clone()).or_default() += 1;
                self.positions.insert(task, Position::Delayed { class, at });
                self.delayed.insert(at, ticket);
            }
            None => {
                let rank = Rank {
                    deadline: ticket.work.deadline,
                    sequence: self.last_sequence,
                };
                let tickets = self.ready.entry(class.clone()).or_default();
                tickets.insert(rank, ticket);
                self.positions.insert(task, Position::Ready { class, rank });
            }
        }
    }

    /// Moves the delayed tasks that are due at `now` to the ready tasks.
    pub fn release_delayed(&mut self, now: Mono) {
        while let Some((at, _)) = self.delayed.first_key_value()
            && at.0 <= now
            && let Some((_, ticket)) = self.delayed.pop_first()
        {
            self.decrement_delayed(&ticket.work.class);
            self.push(ticket, None);
        }
    }

    /// Returns when the next delayed task becomes ready; `None` if no task is delayed.
    pub fn next_release_at(&self) -> Option<Mono> {
        self.delayed.first_key_value().map(|(at, _)| at.0)
    }

    /// Returns the class whose first task starts next; `None` if no class has a ready task that may
    /// start. `share_use` returns how a class would use its fair share with one more task.
    pub fn next_class(&self, share_use: impl Fn(&ClassName) -> ShareUse) -> Option<&ClassName> {
        let candidates = self.ready.iter().filter_map(|(class, tickets)| {
            let (rank, ticket) = tickets.first_key_value()?;
            let deadline = match share_use(class) {
                ShareUse::Blocked => return None,
                ShareUse::Reached => rank.deadline,
                ShareUse::Below => advanced_deadline(ticket, rank.deadline),
            };
            Some((deadline, rank.sequence, class))
        });
        candidates.min().map(|(_, _, class)| class)
    }

    /// Returns the ready task of a class with the earliest deadline; `None` if no task of it is
    /// ready.
    pub fn peek(&self, class: &ClassName) -> Option<&Ticket> {
        let (_, ticket) = self.ready.get(class)?.first_key_value()?;
        Some(ticket)
    }

    /// Removes and returns the ready task of a class with the earliest deadline; `None` if no task
    /// of it is ready.
    pub fn pop(&mut self, class: &ClassName) -> Option<Ticket> {
        let tickets = self.ready.get_mut(class)?;
        let (_, ticket) = tickets.pop_first()?;
        if tickets.is_empty() {
            self.ready.remove(class);
        }
        self.positions.remove(&ticket.work.task);
        Some(ticket)
    }

    /// Removes and returns a task, ready or delayed; `None` if it is not queued.
    pub fn remove(&mut self, task: TaskId) -> Option<Ticket> {
        match self.positions.remove(&task)? {
            Position::Delayed { class, at } => {
                self.decrement_delayed(&class);
                self.delayed.remove(&at)
            }
            Position::Ready { class, rank } => {
                let tickets = self.ready.get_mut(&class)?;
                let ticket = tickets.remove(&rank);
                if tickets.is_empty() {
                    self.ready.remove(&class);
                }
                ticket
            }
        }
    }

    /// Removes and returns the ready tasks whose deadline is at most `min_time` of their class
    /// away, and the delayed tasks whose deadline has passed.
    pub fn remove_expired(
        &mut self,
        now: Mono,
        min_time: impl Fn(&ClassName) -> Micros,
    ) -> Vec<Ticket> {
        let mut expired = Vec::new();
        let classes: Vec<ClassName> = self.ready.keys().cloned().collect();
        for class in &classes {
            let horizon = now + min_time(class);
            while let Some(ticket) = self.peek(class)
                && ticket.work.deadline <= horizon
            {
                expired.extend(self.pop(class));
            }
        }
        let overdue = self.delayed.values().filter(|t| t.work.deadline <= now);
        let overdue: Vec<TaskId> = overdue.map(|t| t.work.task).collect();
        expired.extend(overdue.into_iter().filter_map(|task| self.remove(task)));
        expired
    }

    /// Removes and returns all tasks of a class.
    pub fn remove_class(&mut self, class: &ClassName) -> Vec<Ticket> {
        let class_of = |position: &Position| match position {
            Position::Ready { class, .. } | Position::Delayed { class, .. } => class.clone(),
        };
        let tasks = self.positions.iter().filter(|(_, p)| class_of(p) == *class);
        let tasks: Vec<TaskId> = tasks.map(|(task, _)| *task).collect();
        tasks
            .into_iter()
            .filter_map(|task| self.remove(task))
            .collect()
    }

    fn decrement_delayed(&mut self, class: &ClassName) {
        if let Some(count) = self.delayed_by_class.get_mut(class) {
            *count -= 1;
            if *count == 0 {
                self.delayed_by_class.remove(class);
            }
        }
    }
}

/// How a class would use its fair share of an upstream's slots with one more task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareUse {
    /// The class stays within its share: its first task counts as due early.
    Below,
    /// The class exceeds its share: its first task counts as due at its deadline.
    Reached,
    /// The class may not start a task now: [`Queue::next_class`] skips it.
    Blocked,
}

fn advanced_deadline(ticket: &Ticket, deadline: Mono) -> Mono {
    let span = deadline.since(ticket.queued_at);
    ticket.queued_at + Micros(span.0 / ADVANCE_DIVISOR)
}
