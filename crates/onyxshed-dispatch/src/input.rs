//! What happens to an entry host.

use onyxshed_core::{Incarnation, Micros, Offset, SubmissionId};
use onyxshed_policy::{AttemptOutcome, ExecutorInfo};
use onyxshed_state::claim::AppendFailure;
use onyxshed_state::{Config, Member};
use onyxshed_wire::caller::{Answer, Submission};
use onyxshed_wire::platform::Record;
use onyxshed_wire::upstream::{LoadReport, TaskSighting, TaskState};
use smol_str::SmolStr;

use crate::output::{AttemptId, RequestId};

/// How an attempt ended, as the shell saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptReport {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The result or the reason, as the executor sent it.
    pub body: Vec<u8>,
    /// How long it ran, as the executor tells, in microseconds.
    pub service_us: Option<Micros>,
    /// The executor's load, if it answered.
    pub load: Option<LoadReport>,
    /// Particulars for the time line.
    pub detail: SmolStr,
}

impl AttemptReport {
    /// Makes the report of an attempt whose connection is given up.
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

/// What an executor answered to a stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopReport {
    /// What became of the task.
    pub state: TaskState,
    /// Its result, if it had finished.
    pub body: Vec<u8>,
}

/// One event with what came with it.
#[derive(Debug, Clone)]
pub enum Input {
    /// A caller, or a peer on a caller's behalf, submits a job.
    Submit {
        /// The request to answer.
        request: RequestId,
        /// The job.
        submission: Submission,
        /// Whether a peer passed it on.
        is_forwarded: bool,
    },
    /// A caller asks for a job's answer.
    Fetch {
        /// The request to answer.
        request: RequestId,
        /// The job.
        id: SubmissionId,
        /// Whether a peer passed it on.
        is_forwarded: bool,
    },
    /// A caller cancels a job.
    Cancel {
        /// The request to answer.
        request: RequestId,
        /// The job.
        id: SubmissionId,
        /// Whether a peer passed it on.
        is_forwarded: bool,
    },
    /// A peer answered a request passed on to it, or could not be reached.
    ForwardEnded {
        /// The request to answer.
        request: RequestId,
        /// The submission it was about.
        id: SubmissionId,
        /// The peer's answer.
        answer: Option<Answer>,
    },
    /// A configuration came from the control process.
    Configured(Config),
    /// The executors known changed.
    Executors(Vec<ExecutorInfo>),
    /// The members known changed, and how many of them share this zone's executors.
    Members {
        /// Every member, this host left out.
        members: Vec<Member>,
        /// Incarnations held to be gone for good.
        gone: Vec<Incarnation>,
        /// Live entry hosts of this zone, this one included.
        zone_hosts: u32,
        /// Live entry hosts of all zones, this one included.
        live_hosts: u32,
    },
    /// Records of the claims stream were read.
    LogRead {
        /// The oldest offset the log keeps.
        oldest: Offset,
        /// The offset of the next append.
        next: Offset,
        /// The records.
        records: Vec<Record>,
    },
    /// The claims stream can't be read.
    LogLost,
    /// An append of claims ended.
    AppendEnded {
        /// The batch's number.
        batch: u64,
        /// Where it stands, or why it may not.
        result: Result<Offset, AppendFailure>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        report: AttemptReport,
    },
    /// A stop ended; none if the executor did not answer it.
    StopEnded {
        /// The attempt that was stopped.
        attempt: AttemptId,
        /// What the executor answered.
        report: Option<StopReport>,
    },
    /// An executor told what has become of a task; none if it did not answer.
    QueryEnded {
        /// The attempt asked about.
        attempt: AttemptId,
        /// What the executor answered.
        status: Option<TaskSighting>,
    },
    /// The process begins to drain: no new work.
    Drain,
    /// Time has passed.
    Tick,
}
