//! Outputs of the state machine: the actions that the entry process executes.

use std::fmt;
use std::rc::Rc;

use onyxshed_core::{ClassName, Event, ExecutorName, Incarnation, Millis, SubmissionId, TaskId};
use onyxshed_wire::caller::{Answer, Submission};
use onyxshed_wire::record::ClaimBatch;

/// Number of a request that waits for an answer, assigned by the entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Number of one start of a task, assigned by [`Dispatch`](crate::Dispatch); it increases with
/// every start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Request that is forwarded to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardedCall {
    /// Submits a caller's job.
    Submit(Box<Submission>),
    /// Requests the answer of a job.
    Fetch(SubmissionId),
    /// Cancels a job, sent as a `DELETE` of the submission's path.
    Cancel(SubmissionId),
}

impl ForwardedCall {
    /// Returns the class of the job; `None` for calls that carry only a submission id.
    pub fn class(&self) -> Option<&ClassName> {
        match self {
            ForwardedCall::Submit(submission) => Some(&submission.class),
            ForwardedCall::Fetch(_) | ForwardedCall::Cancel(_) => None,
        }
    }
}

/// Action that the entry process executes.
#[derive(Debug, Clone)]
pub enum Output {
    /// Answer a request; each request gets exactly one answer.
    Answer {
        /// Id under which the entry process passed the request in an [`Input`](crate::Input).
        request: RequestId,
        /// Final answer of the job, a refusal, or the notice that the job still runs.
        answer: Answer,
    },
    /// Forward a request to the peer that holds its submission.
    Forward {
        /// Caller's request; the entry process returns its id in
        /// [`Input::ForwardEnded`](crate::Input::ForwardEnded).
        request: RequestId,
        /// Incarnation of the peer that holds the submission.
        to: Incarnation,
        /// Request to send to the holder.
        call: ForwardedCall,
    },
    /// Append a batch of claims to the claims stream.
    Append(ClaimBatch),
    /// Start a task on an executor.
    Start {
        /// Id that the entry process returns in
        /// [`Input::AttemptEnded`](crate::Input::AttemptEnded).
        attempt: AttemptId,
        /// Task of which the attempt runs a copy.
        task: TaskId,
        /// Executor that runs the task.
        executor: ExecutorName,
        /// Class of the task's job.
        class: ClassName,
        /// Input of the task, as the caller submitted it; shared by all copies of the task.
        payload: Rc<Vec<u8>>,
        /// Time after which the executor stops the task: the time left to the final deadline plus
        /// the lease slack.
        lease_ms: Millis,
        /// Whether the start may be sent only over a connection that recently proved to work. Set
        /// for a task that may not run twice.
        needs_proven_connection: bool,
    },
    /// Stop a task, over a different connection than the one that started it.
    Stop {
        /// Id that the entry process returns in [`Input::StopEnded`](crate::Input::StopEnded).
        attempt: AttemptId,
        /// Task whose copy on the executor is to stop.
        task: TaskId,
        /// Executor that the task was sent to.
        executor: ExecutorName,
    },
    /// Query the status of a task, over a different connection than the one that started it.
    Query {
        /// Id that the entry process returns in [`Input::QueryEnded`](crate::Input::QueryEnded).
        attempt: AttemptId,
        /// Task whose copy on the executor is queried.
        task: TaskId,
        /// Executor that the task was sent to.
        executor: ExecutorName,
    },
    /// Emit an event to the log, the metrics and the timeline.
    Emit(Event),
}
