//! Decisions that are logged for operators, and counts of messages that did not contribute to an
//! answer.

use std::collections::VecDeque;

use onyxshed_core::{ClassName, ExecutorName, SubmissionId};

pub use crate::executor::breaker::BreakerReason;

/// Maximum number of decisions that are kept until the dispatch drains them.
const DECISIONS_MAX: usize = 1_024;

/// A decision of the policy that is logged for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PolicyDecision {
    /// The breaker of an executor opened: it gets no tasks except probes.
    BreakerOpened {
        /// Executor whose breaker opened.
        executor: ExecutorName,
        /// Reason for which the breaker opened.
        reason: BreakerReason,
    },
    /// The breaker of an executor closed: it gets tasks again.
    BreakerClosed {
        /// Executor whose breaker closed; its limit on concurrent tasks restarts from one.
        executor: ExecutorName,
    },
    /// A job was marked unrunnable: its tasks failed on several different executors.
    JobUnrunnable {
        /// Job whose failed tasks are no longer retried.
        submission: SubmissionId,
        /// Class of the job; other jobs of the class are not affected.
        class: ClassName,
    },
    /// A class was marked unrunnable: several of its jobs failed, on several different executors,
    /// and none of its tasks finished in between.
    ClassUnrunnable {
        /// Class that may use at most 1/32 of its upstream's slots, but at least one slot, until
        /// one of its tasks finishes.
        class: ClassName,
    },
    /// A class that was marked unrunnable has finished a task.
    ClassRunnable {
        /// Class that may use its full share of the slots again.
        class: ClassName,
    },
}

/// Messages that did not contribute to an answer, by kind.
///
/// The kinds overlap: a probe that is refused, unsent or stopped is counted in that kind and among
/// the failed probes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WastedMessages {
    /// Starts that the executor refused.
    pub refusals: u64,
    /// Starts of which nothing was sent.
    pub unsent: u64,
    /// Starts that repeat an unfinished attempt which ran or may have run.
    pub retries: u64,
    /// Second copies of a task that were started while the first copy was running.
    pub hedges: u64,
    /// Probes, sent to executors with an open breaker, whose attempt did not finish.
    pub failed_probes: u64,
    /// Attempts that this host stopped.
    pub stopped: u64,
}

/// Decisions that have not been logged yet; at most `DECISIONS_MAX`.
#[derive(Debug, Default)]
pub struct DecisionBuffer {
    buffered: VecDeque<PolicyDecision>,
}

impl DecisionBuffer {
    /// Adds a decision; drops the oldest decision if the buffer is full.
    pub fn push(&mut self, decision: PolicyDecision) {
        if self.buffered.len() == DECISIONS_MAX {
            self.buffered.pop_front();
        }
        self.buffered.push_back(decision);
    }

    /// Removes and returns all decisions, oldest first.
    pub fn drain(&mut self) -> Vec<PolicyDecision> {
        self.buffered.drain(..).collect()
    }
}
