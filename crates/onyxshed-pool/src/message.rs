//! Inputs and outputs of the pool's state machine: orders, answers, reports and decisions.

use std::net::SocketAddr;

use onyxshed_core::{Micros, Millis, UnixMs};
use smol_str::SmolStr;

use crate::id::{
    ExecutorId, FencingToken, JobId, PeerIncarnation, Percent, RunNumber, SubmissionNumber, TaskId,
};
use crate::job::JobEnd;

/// Order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Task to run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Work specification from the job request.
    pub spec: SmolStr,
    /// When the lease expires, on the executor's clock.
    pub expires: UnixMs,
    /// Fencing token of the owner.
    pub token: FencingToken,
}

/// Order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Fencing token of the owner.
    pub token: FencingToken,
}

/// Order to renew the leases of all runs on an executor and to report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldOrder {
    /// When the renewed leases expire, on the executor's clock. `None` renews no lease.
    pub expires: Option<UnixMs>,
    /// Fencing token of the owner.
    pub token: FencingToken,
    /// Number of the last end that the owner has seen. It acknowledges all ends up to this number.
    pub last_seen: u64,
    /// How long the executor waits for a run to end before it reports.
    pub wait: Millis,
    /// How long the report may take beyond `wait` before it counts as missing.
    pub answer_within: Millis,
}

/// Why an executor did not start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefuseReason {
    /// The executor has seen a higher token from another owner.
    Fenced,
    /// This run or a later run of the task has ended or was stopped on the executor.
    Ended,
    /// The lease had expired when the order arrived.
    Expired,
    /// The executor lacks free resources.
    NoRoom,
    /// The executor reports that it is unhealthy.
    Unhealthy,
    /// Any other reason.
    Other,
}

/// Answer to a start order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run executes.
    Started {
        /// Reading of the executor's clock, if the answer contains one.
        clock: Option<UnixMs>,
    },
    /// The order did not start the run.
    Refused(RefuseReason),
    /// Another incarnation of the executor answered.
    OtherIncarnation,
    /// The order was not sent.
    NotSent,
    /// No answer arrived. The executor may have executed the order or may still do so.
    Unknown,
}

/// Answer to a stop order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopAnswer {
    /// The executor ends the run, and will not start it if it has not yet done so.
    Accepted,
    /// The executor has seen a higher token from another owner.
    Fenced,
    /// Another incarnation of the executor answered.
    OtherIncarnation,
    /// No answer arrived.
    Unknown,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The run completed its task.
    Done,
    /// The run failed because of the task or the executor.
    Failed,
    /// The run was stopped or its lease expired.
    Stopped,
}

/// An executing run in an executor's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningRun {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Progress of the run, if the executor reports it.
    pub progress: Option<Percent>,
}

/// An ended run in an executor's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedRun {
    /// Number of the end, counted by the executor's incarnation.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// How the run ended.
    pub end: RunEnd,
}

/// The runs that an executor lists in a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorLists {
    /// Reading of the executor's clock.
    pub clock: UnixMs,
    /// Start time of the reporting incarnation, if known.
    pub started_at: Option<UnixMs>,
    /// Executing runs.
    pub running: Vec<RunningRun>,
    /// Ended runs that have not been acknowledged.
    pub finished: Vec<FinishedRun>,
    /// Number of the last listed end, including ends of runs that this system did not start.
    pub listed_to: u64,
}

/// Report of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutorReport {
    /// The executing and ended runs.
    Lists(ExecutorLists),
    /// The executor has seen a higher token from another owner.
    Fenced,
    /// Another incarnation of the executor answered.
    OtherIncarnation,
}

/// Answer to a hold order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldAnswer {
    /// The executor's report.
    Report(ExecutorReport),
    /// No report arrived in time.
    Unknown,
}

/// Output of the state machine, to be carried out by the host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a start order.
    Start(ExecutorId, StartOrder),
    /// Send a stop order.
    Stop(ExecutorId, StopOrder),
    /// Send a hold order after a pause.
    Hold(ExecutorId, HoldOrder, Millis),
    /// Report the outcome of a job to its entry host.
    End {
        /// Incarnation of the entry host.
        peer: PeerIncarnation,
        /// The entry host's number for the submission.
        submission: SubmissionNumber,
        /// Identifier of the job.
        job: JobId,
        /// Outcome of the job.
        end: JobEnd,
    },
    /// Step down as owner, because another host owns the pool.
    StepDown,
    /// Log a decision.
    Log(Decision),
}

/// A decision or a change in the state of an executor or host, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A run was ordered.
    RunOrdered {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Executor of the run.
        executor: ExecutorId,
        /// Expected run time.
        expected: Micros,
        /// Time since the job arrived at its entry host.
        waited: Micros,
    },
    /// A run ended without completing its task.
    RunEnded {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Executor of the run.
        executor: ExecutorId,
        /// Why the run ended.
        reason: &'static str,
    },
    /// A run of another owner, or one that is no longer tracked, still executes and is stopped.
    OrphanStopped {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Executor of the run.
        executor: ExecutorId,
    },
    /// A run on an executor that has become slow is stopped so that its task can run elsewhere.
    RunMoved {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Executor of the run.
        executor: ExecutorId,
        /// Estimated remaining time of the run.
        remaining: Micros,
    },
    /// An executor was acquired and can get tasks.
    ExecutorAcquired(ExecutorId),
    /// An executor did not answer. Its tasks are requeued when their leases have expired.
    ExecutorUnresponsive(ExecutorId),
    /// An unresponsive executor answers again.
    ExecutorRecovered(ExecutorId),
    /// An executor gets no tasks for the given time because of failures.
    ExecutorAvoided(ExecutorId, Millis),
    /// An executor is draining and gets no new tasks.
    ExecutorDraining(ExecutorId),
    /// An executor that is no longer listed was removed.
    ExecutorForgotten(ExecutorId),
    /// An entry host with this number of active jobs became unresponsive.
    PeerUnresponsive(PeerIncarnation, usize),
    /// This process was paused for the given time and ended this number of other hosts' jobs.
    Paused(Micros, usize),
    /// The next owner began to take over.
    HandoverBegun {
        /// Number of jobs without a started task, which ended as not run.
        returned_jobs: usize,
        /// Number of started jobs, which this owner completes.
        remaining_jobs: usize,
    },
    /// The previous owner has released every executor.
    HandoverEnded,
    /// Operators have evacuated the zone.
    EvacuationBegun {
        /// Number of jobs without a started task, which ended as not run.
        returned_jobs: usize,
        /// Number of started jobs, which continue in this pool.
        remaining_jobs: usize,
    },
    /// The zone was restored and gets tasks again.
    EvacuationEnded,
    /// This stopping owner selected the host at the address as its successor.
    OwnershipTransferred(SocketAddr),
}
