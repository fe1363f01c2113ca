//! What people should read about, and counts of messages that served no answer.

use std::collections::VecDeque;

use onyxshed_core::{ClassName, ExecutorName, SubmissionId};

pub use crate::executor::breaker::BreakerReason;

/// Most notes kept until they are drained.
const NOTES_MAX: usize = 1_024;

/// Something the policy decided that an operator reads about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PolicyDecision {
    /// An executor gets no new work but probes.
    BreakerOpened {
        /// The executor.
        executor: ExecutorName,
        /// Why.
        reason: BreakerReason,
    },
    /// An executor gets work again.
    BreakerClosed {
        /// The executor.
        executor: ExecutorName,
    },
    /// A job fails on executors that run others well.
    JobUnrunnable {
        /// The job.
        submission: SubmissionId,
        /// Its class.
        class: ClassName,
    },
    /// Every job of a class fails, on every executor.
    ClassUnrunnable {
        /// The class.
        class: ClassName,
    },
    /// A class held to be unable to run has finished a task.
    ClassRunnable {
        /// The class.
        class: ClassName,
    },
}

/// Messages that did not contribute to an answer, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WastedMessages {
    /// Starts that the executor refused.
    pub refusals: u64,
    /// Starts of which no byte left.
    pub unsent: u64,
    /// Starts after an attempt that ran and did not finish.
    pub retries: u64,
    /// Second copies started beside a running one.
    pub hedges: u64,
    /// Starts on an executor under doubt that did not finish.
    pub failed_probes: u64,
    /// Attempts stopped at our word.
    pub stopped: u64,
}

/// Notes that wait to be drained; the oldest is dropped when they are too many.
#[derive(Debug, Default)]
pub struct Notes {
    waiting: VecDeque<PolicyDecision>,
}

impl Notes {
    /// Adds a note.
    pub fn push(&mut self, note: PolicyDecision) {
        if self.waiting.len() == NOTES_MAX {
            self.waiting.pop_front();
        }
        self.waiting.push_back(note);
    }

    /// Takes all notes out, oldest first.
    pub fn drain(&mut self) -> Vec<PolicyDecision> {
        self.waiting.drain(..).collect()
    }
}
