//! Inputs of the state machine: requests, replies and state changes, as reported by the entry
//! process.

use onyxshed_core::{CallerId, Incarnation, Micros, Offset, SubmissionId};
use onyxshed_policy::{AttemptOutcome, ExecutorInfo};
use onyxshed_state::claim::AppendFailure;
use onyxshed_state::{Config, Member};
use onyxshed_wire::caller::{Answer, Submission};
use onyxshed_wire::platform::Record;
use onyxshed_wire::upstream::{LoadReport, TaskState, TaskStatus};
use smol_str::SmolStr;

use crate::output::{AttemptId, RequestId};

/// End of an attempt, as observed by the entry process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptReport {
    /// How the attempt ended, for example finished, refused or lost.
    pub outcome: AttemptOutcome,
    /// Result of the task or reason of its failure, as sent by the executor; empty if the
    /// connection was lost.
    pub body: Vec<u8>,
    /// Run time of the task as reported by the executor, in microseconds; `None` if not reported.
    pub service_us: Option<Micros>,
    /// Load that the executor reported with its response; `None` if it reported none.
    pub load: Option<LoadReport>,
    /// Further details for the event of the attempt's end; empty if none.
    pub detail: SmolStr,
}

impl AttemptReport {
    /// Creates the report of an attempt whose connection is considered lost.
    pub fn lost(detail: &'static str) -> Self {
        AttemptReport {
            outcome: AttemptOutcome::Lost,
            body: Vec::new(),
            service_us: None,
            load: None,
            detail: SmolStr::new_static(detail),
        }
    }
}

/// Reply of an executor to a stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopReport {
    /// State of the task after the stop.
    pub state: TaskState,
    /// Result of the task if it had finished; otherwise empty.
    pub body: Vec<u8>,
}

/// Input of [`Dispatch::handle`](crate::Dispatch::handle): a request, a reply or a change of state.
#[derive(Debug, Clone)]
pub enum Input {
    /// A caller, or a peer on a caller's behalf, submits a job.
    Submit {
        /// Request that waits until the job ends, unless it is refused or too many already wait.
        request: RequestId,
        /// Submitted job: its id, class, deadline and task payloads.
        submission: Submission,
        /// The caller; [`CallerId::UNKNOWN`] if a peer forwarded the request or callers are not told
        /// apart.
        caller: CallerId,
        /// Whether a peer forwarded the request.
        is_forwarded: bool,
    },
    /// A caller requests the answer of a job.
    Fetch {
        /// Request that is answered at once if the job is in the table, else forwarded or refused.
        request: RequestId,
        /// Submission that the request concerns.
        id: SubmissionId,
        /// Whether a peer forwarded the request.
        is_forwarded: bool,
    },
    /// A caller cancels a job.
    Cancel {
        /// Request that gets the final answer of the job, or a refusal.
        request: RequestId,
        /// Submission that the request concerns.
        id: SubmissionId,
        /// Whether a peer forwarded the request.
        is_forwarded: bool,
    },
    /// Forwarding a request to a peer ended, with or without an answer.
    ForwardEnded {
        /// Caller's request, as given in [`Output::Forward`](crate::Output::Forward).
        request: RequestId,
        /// Submission that the request concerns.
        id: SubmissionId,
        /// Answer of the peer; `None` if the peer could not be reached.
        answer: Option<Answer>,
    },
    /// The control process sent a configuration.
    Configured(Config),
    /// The list of known executors changed.
    Executors(Vec<ExecutorInfo>),
    /// The list of members changed, or the number of hosts that share this zone's executors.
    Members {
        /// All members except this host.
        members: Vec<Member>,
        /// Incarnations that are considered permanently gone.
        gone: Vec<Incarnation>,
        /// Number of live entry hosts in this zone, including this one.
        zone_hosts: u32,
        /// Number of live entry hosts in all zones, including this one.
        live_hosts: u32,
    },
    /// Records were read from the claims stream.
    LogRead {
        /// Oldest offset that the log retains.
        oldest: Offset,
        /// Offset that the next appended record will get.
        next: Offset,
        /// Records that were read, in order of their offsets.
        records: Vec<Record>,
    },
    /// The claims stream could not be read.
    LogLost,
    /// An append requested by [`Output::Append`](crate::Output::Append) ended.
    AppendEnded {
        /// Number of the batch, as in the [`ClaimBatch`](onyxshed_wire::record::ClaimBatch).
        batch: u64,
        /// Offset of the appended batch, or the failure; a batch whose append failed may still be
        /// in the log.
        result: Result<Offset, AppendFailure>,
    },
    /// An attempt requested by [`Output::Start`](crate::Output::Start) ended.
    AttemptEnded {
        /// Id that [`Output::Start`](crate::Output::Start) gave to the attempt.
        attempt: AttemptId,
        /// Outcome of the attempt, with the result and the load that the executor reported.
        report: AttemptReport,
    },
    /// A stop requested by [`Output::Stop`](crate::Output::Stop) ended, with or without a reply.
    StopEnded {
        /// Attempt that was to be stopped.
        attempt: AttemptId,
        /// Reply of the executor; `None` if it did not answer.
        report: Option<StopReport>,
    },
    /// A query requested by [`Output::Query`](crate::Output::Query) ended, with or without a reply.
    QueryEnded {
        /// Attempt whose task was queried.
        attempt: AttemptId,
        /// Status of the task; `None` if the executor did not answer.
        status: Option<TaskStatus>,
    },
    /// The process started to drain: new submissions are refused.
    Drain,
    /// The drain has no time left: every request is answered at once, those that wait and those
    /// that still arrive.
    DrainExpired,
    /// No other input arrived by the time that [`Dispatch::wake_at`](crate::Dispatch::wake_at)
    /// returned.
    Tick,
}
