//! Tasks that have been sent and have not ended.

use onyxshed_core::Mono;

use crate::fleet::Seat;
use crate::queue::Ticket;

/// One copy of a task on one executor.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Where it is.
    pub seat: Seat,
    /// Whether it tries an executor under doubt.
    pub is_probe: bool,
}

/// A task with its copies.
#[derive(Debug)]
pub struct Running {
    /// The task.
    pub ticket: Ticket,
    /// Its copies that have not ended.
    pub attempts: Vec<Attempt>,
    /// Whether nothing more is to be done for it: it finished, or its job is over.
    pub is_over: bool,
    /// When a second copy may be sent.
    pub hedge_at: Option<Mono>,
}

impl Running {
    /// Makes the state of a task that is about to be sent.
    pub fn new(ticket: Ticket) -> Self {
        Running {
            ticket,
            attempts: Vec::new(),
            is_over: false,
            hedge_at: None,
        }
    }

    /// Takes out the copy on one executor.
    pub fn remove(&mut self, seat: Seat) -> Option<Attempt> {
        let index = self.attempts.iter().position(|a| a.seat == seat)?;
        Some(self.attempts.swap_remove(index))
    }
}
