//! Started tasks and their attempts that have not ended.

use onyxshed_core::Mono;

use crate::fleet::ExecutorKey;
use crate::queue::Ticket;

/// One copy of a task, sent to one executor and not yet ended.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Executor that the copy was sent to.
    pub key: ExecutorKey,
    /// Whether the attempt probes an executor with an open breaker.
    pub is_probe: bool,
}

/// A started task with its copies that have not ended.
#[derive(Debug)]
pub struct RunningTask {
    /// The task and the history of its attempts.
    pub ticket: Ticket,
    /// Copies that have not ended.
    pub attempts: Vec<Attempt>,
    /// Whether the task needs no further attempt: it has finished or was withdrawn.
    pub is_over: bool,
    /// Time at which a second copy is due; `None` if none is planned.
    pub hedge_at: Option<Mono>,
}

impl RunningTask {
    /// Creates the state of a task without attempts.
    pub fn new(ticket: Ticket) -> Self {
        RunningTask {
            ticket,
            attempts: Vec::new(),
            is_over: false,
            hedge_at: None,
        }
    }

    /// Removes and returns the copy on one executor; `None` if no copy runs there.
    pub fn remove_attempt(&mut self, key: ExecutorKey) -> Option<Attempt> {
        let index = self.attempts.iter().position(|a| a.key == key)?;
        Some(self.attempts.swap_remove(index))
    }
}
