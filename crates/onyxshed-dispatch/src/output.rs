//! What the shell has to carry out.

use std::fmt;
use std::rc::Rc;

use onyxshed_core::{ClassName, Event, ExecutorName, Incarnation, Millis, SubmissionId, TaskId};
use onyxshed_wire::caller::{Answer, Submission};
use onyxshed_wire::record::ClaimBatch;

/// One request that waits for an answer, numbered by the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// One start of one task, numbered by the dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// What a request passed on to a peer asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardedCall {
    /// The caller's submission.
    Submit(Box<Submission>),
    /// The caller asks for an answer.
    Fetch(SubmissionId),
    /// The caller cancels.
    Cancel(SubmissionId),
}

impl ForwardedCall {
    /// Gets the class, if it is known.
    pub fn class(&self) -> Option<&ClassName> {
        match self {
            ForwardedCall::Submit(submission) => Some(&submission.class),
            ForwardedCall::Fetch(_) | ForwardedCall::Cancel(_) => None,
        }
    }
}

/// One thing to do.
#[derive(Debug, Clone)]
pub enum Output {
    /// Answer a request; each request gets exactly one.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Pass a request on to the peer that holds its submission.
    Forward {
        /// The request.
        request: RequestId,
        /// The holder.
        to: Incarnation,
        /// What to ask.
        call: ForwardedCall,
    },
    /// Append a batch to the claims stream.
    Append(ClaimBatch),
    /// Start a task.
    Start {
        /// The attempt to report.
        attempt: AttemptId,
        /// The task.
        task: TaskId,
        /// Where to.
        executor: ExecutorName,
        /// Its class.
        class: ClassName,
        /// The payload.
        payload: Rc<Vec<u8>>,
        /// How long the executor may work on it.
        lease_ms: Millis,
        /// Whether it may only go onto a connection that proved of late that it works.
        needs_proven_connection: bool,
    },
    /// Tell an executor to stop a task, on another connection than the one that started it.
    Stop {
        /// The attempt to report.
        attempt: AttemptId,
        /// The task.
        task: TaskId,
        /// Where it went.
        executor: ExecutorName,
    },
    /// Ask an executor, on another connection, what has become of a task.
    Query {
        /// The attempt to report.
        attempt: AttemptId,
        /// The task.
        task: TaskId,
        /// Where it went.
        executor: ExecutorName,
    },
    /// Tell log, metrics and time line.
    Emit(Event),
}
