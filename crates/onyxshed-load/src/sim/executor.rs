//! A model of an executor with slots, a queue, a speed and a fault.

use std::collections::VecDeque;

/// The fault of a simulated executor, which the start and the end of a scenario's fault change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// No fault: a task runs for its service time divided by the executor's speed.
    Healthy,
    /// Every task runs 20 times as long as without the fault.
    Slow,
    /// Every task fails shortly after its start.
    Failing,
    /// Accepts tasks and never answers.
    Unresponsive,
    /// Refuses connections.
    Down,
}

/// The outcome of a start request at an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The attempt runs.
    Running,
    /// The attempt is in the executor's queue.
    Queued,
    /// The executor refused the attempt, which provably did not start.
    Refused,
    /// The executor never answers.
    Unanswered,
    /// The connection can't be opened.
    Unreachable,
}

/// A modelled executor. Attempts are indexes into the simulation's list of attempts.
#[derive(Debug)]
pub struct ModelExecutor {
    /// Maximum number of attempts that run at the same time.
    pub slots: usize,
    /// Speed as a fraction of the fastest kind's.
    pub speed: f64,
    /// The fault that is active now.
    pub health: Health,
    /// Attempts that occupy a slot.
    pub running: Vec<usize>,
    /// Attempts that wait for a slot, the oldest first.
    pub queue: VecDeque<usize>,
}

/// Maximum number of queued attempts: an executor accepts 60 connections, 8 of which carry running
/// attempts.
const QUEUE_MAX: usize = 52;
const SLOWDOWN: f64 = 20.0;
const FAILS_AFTER_US: u64 = 1_000;

impl ModelExecutor {
    /// Returns an idle executor without a fault.
    pub fn new(slots: usize, speed: f64) -> Self {
        ModelExecutor {
            slots,
            speed,
            health: Health::Healthy,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Puts an attempt into a free slot or the queue, or returns why it was not accepted.
    pub fn receive_start(&mut self, attempt: usize) -> StartOutcome {
        match self.health {
            Health::Down => StartOutcome::Unreachable,
            Health::Unresponsive => StartOutcome::Unanswered,
            _ if self.running.len() < self.slots => {
                self.running.push(attempt);
                StartOutcome::Running
            }
            _ if self.queue.len() < QUEUE_MAX => {
                self.queue.push_back(attempt);
                StartOutcome::Queued
            }
            _ => StartOutcome::Refused,
        }
    }

    /// Returns how long this executor, with its speed and fault, runs a task that takes
    /// `service_us` on the fastest kind, in microseconds.
    pub fn run_time_us(&self, service_us: f64) -> u64 {
        match self.health {
            Health::Failing => FAILS_AFTER_US,
            Health::Slow => whole_us(service_us * SLOWDOWN / self.speed),
            _ => whole_us(service_us / self.speed),
        }
    }

    /// Removes an attempt from its slot or the queue. Returns false if it was in neither.
    pub fn remove(&mut self, attempt: usize) -> bool {
        let before = self.running.len() + self.queue.len();
        self.running.retain(|other| *other != attempt);
        self.queue.retain(|other| *other != attempt);
        self.running.len() + self.queue.len() < before
    }

    /// Moves the first queued attempt into a free slot. Returns `None` if no slot is free or the
    /// queue is empty.
    pub fn start_next(&mut self) -> Option<usize> {
        if self.running.len() >= self.slots {
            return None;
        }
        let attempt = self.queue.pop_front()?;
        self.running.push(attempt);
        Some(attempt)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "service times are at most minutes"
)]
fn whole_us(run_time_us: f64) -> u64 {
    run_time_us as u64
}
