//! A small model of an executor: slots, a queue, a speed, and what is wrong with it.

use std::collections::VecDeque;

/// What is wrong with an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Nothing.
    Healthy,
    /// Everything takes 20 times as long.
    Slow,
    /// Everything fails at once.
    Failing,
    /// Takes everything, answers nothing.
    Unresponsive,
    /// Refuses connections.
    Down,
}

/// What becomes of a start that reaches an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs now.
    Running,
    /// It waits.
    Queued,
    /// It is refused, provably not started.
    Refused,
    /// Nobody answers, now or later.
    Unanswered,
    /// The connection can't be opened.
    Unreachable,
}

/// One executor.
#[derive(Debug)]
pub struct ModelExecutor {
    /// Tasks it runs at the same time.
    pub slots: usize,
    /// Its speed as a part of the fastest kind's.
    pub speed: f64,
    /// What is wrong with it.
    pub health: Health,
    /// Attempts running.
    pub running: Vec<usize>,
    /// Attempts waiting.
    pub queue: VecDeque<usize>,
}

/// Attempts that may wait: 60 connections less 8 that run.
const QUEUE_MAX: usize = 52;
const SLOWDOWN: f64 = 20.0;
const FAILS_AFTER_US: u64 = 1_000;

impl ModelExecutor {
    /// Makes an idle, healthy executor.
    pub fn new(slots: usize, speed: f64) -> Self {
        ModelExecutor {
            slots,
            speed,
            health: Health::Healthy,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Takes in a start.
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

    /// Gets how long a task runs, in microseconds.
    pub fn run_time_us(&self, service_us: f64) -> u64 {
        match self.health {
            Health::Failing => FAILS_AFTER_US,
            Health::Slow => whole_us(service_us * SLOWDOWN / self.speed),
            _ => whole_us(service_us / self.speed),
        }
    }

    /// Takes out an attempt; false if it neither ran nor waited.
    pub fn remove(&mut self, attempt: usize) -> bool {
        let before = self.running.len() + self.queue.len();
        self.running.retain(|other| *other != attempt);
        self.queue.retain(|other| *other != attempt);
        self.running.len() + self.queue.len() < before
    }

    /// Moves a waiting attempt into a free slot.
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
