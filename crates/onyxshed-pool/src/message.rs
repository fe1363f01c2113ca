//! What goes in and out of the decisions.

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
    /// The task.
    pub task: TaskId,
    /// Which run of it.
    pub run: RunNumber,
    /// What the executor is told to do.
    pub spec: SmolStr,
    /// When the lease ends, on the executor's clock.
    pub expires: UnixMs,
    /// The owner's token.
    pub token: FencingToken,
}

/// Order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// The task.
    pub task: TaskId,
    /// Which run of it.
    pub run: RunNumber,
    /// The owner's token.
    pub token: FencingToken,
}

/// Order to renew the lease of all that runs, and to report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldOrder {
    /// When the lease ends, on the executor's clock; none renews nothing.
    pub expires: Option<UnixMs>,
    /// The owner's token.
    pub token: FencingToken,
    /// Ends up to this one are known and may be forgotten.
    pub last_seen: u64,
    /// How long the executor waits for an end before it reports.
    pub wait: Millis,
    /// How long the report may take beyond that.
    pub answer_within: Millis,
}

/// Why an executor did not start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefuseReason {
    /// Another owner's token is higher.
    Fenced,
    /// This run, or a later one, has ended or was stopped here.
    Ended,
    /// The order's lease was over when it came.
    Expired,
    /// There is no room.
    NoRoom,
    /// The executor is unwell.
    Unhealthy,
    /// Anything else.
    Other,
}

/// What came of an order to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is at work.
    Started {
        /// The executor's clock, if it told it.
        clock: Option<UnixMs>,
    },
    /// It was not started by this order.
    Refused(RefuseReason),
    /// Another life of the executor answered.
    OtherIncarnation,
    /// Nothing left this host.
    NotSent,
    /// The answer did not come; the order may be carried out, also later.
    Unknown,
}

/// What came of an order to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopAnswer {
    /// The executor ends the run, and never starts it if it has not.
    Accepted,
    /// Another owner's token is higher.
    Fenced,
    /// Another life of the executor answered.
    OtherIncarnation,
    /// The answer did not come.
    Unknown,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// It failed, by its own fault or the executor's.
    Failed,
    /// It was stopped, or its lease lapsed.
    Stopped,
}

/// A run that is at work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningRun {
    /// The task.
    pub task: TaskId,
    /// Which run of it.
    pub run: RunNumber,
    /// How much of it is done, if the executor tells.
    pub progress: Option<Percent>,
}

/// A run that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedRun {
    /// The end's number, counted by the executor's life.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Which run of it.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
}

/// What an executor lists of its runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorLists {
    /// The executor's clock.
    pub clock: UnixMs,
    /// When this life of it began.
    pub started_at: Option<UnixMs>,
    /// Runs at work.
    pub running: Vec<RunningRun>,
    /// Ends that were not acknowledged.
    pub finished: Vec<FinishedRun>,
    /// Number of the last end listed, those of runs that this system never named included.
    pub listed_to: u64,
}

/// What an executor reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutorReport {
    /// What runs and what ended.
    Lists(ExecutorLists),
    /// Another owner's token is higher.
    Fenced,
    /// Another life of the executor answered.
    OtherIncarnation,
}

/// What came of an order to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldAnswer {
    /// The report.
    Report(ExecutorReport),
    /// No report came.
    Unknown,
}

/// What the shell is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an order to start.
    Start(ExecutorId, StartOrder),
    /// Send an order to stop.
    Stop(ExecutorId, StopOrder),
    /// Send an order to hold, after a pause.
    Hold(ExecutorId, HoldOrder, Millis),
    /// Tell an entry host how its job ended.
    End {
        /// The entry host.
        peer: PeerIncarnation,
        /// Its number for the hand-over.
        submission: SubmissionNumber,
        /// The job.
        job: JobId,
        /// How it ended.
        end: JobEnd,
    },
    /// Give up the pool: another host owns it.
    StepDown,
    /// Write down what was decided.
    Log(Decision),
}

/// A decision or a change of belief, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A run was ordered.
    RunOrdered {
        /// The task.
        task: TaskId,
        /// Which run.
        run: RunNumber,
        /// The executor.
        executor: ExecutorId,
        /// What the run is expected to take.
        expected: Micros,
        /// How long the job has waited.
        waited: Micros,
    },
    /// A run ended otherwise than done.
    RunEnded {
        /// The task.
        task: TaskId,
        /// Which run.
        run: RunNumber,
        /// The executor.
        executor: ExecutorId,
        /// Why.
        reason: &'static str,
    },
    /// A run of another owner, or one given up, was found at work and is stopped.
    OrphanStopped {
        /// The task.
        task: TaskId,
        /// Which run.
        run: RunNumber,
        /// The executor.
        executor: ExecutorId,
    },
    /// A run on an executor that turned slow is stopped, to begin anew elsewhere.
    RunMoved {
        /// The task.
        task: TaskId,
        /// Which run.
        run: RunNumber,
        /// The executor.
        executor: ExecutorId,
        /// How long the run would have taken from now on.
        remaining: Micros,
    },
    /// An executor is used from now on.
    ExecutorAcquired(ExecutorId),
    /// An executor did not answer; its runs are given up when their lease has ended.
    ExecutorUnresponsive(ExecutorId),
    /// An executor answers again.
    ExecutorRecovered(ExecutorId),
    /// An executor gets no work for a while.
    ExecutorAvoided(ExecutorId, Millis),
    /// An executor is leaving.
    ExecutorDraining(ExecutorId),
    /// An executor is no longer known.
    ExecutorForgotten(ExecutorId),
    /// An entry host fell silent with jobs under way.
    PeerUnresponsive(PeerIncarnation, usize),
    /// This process stood still and gave up every job.
    Paused(Micros, usize),
    /// The next owner is taking over.
    HandoverBegun {
        /// Jobs of which nothing was started, handed back.
        handed_back: usize,
        /// Jobs that have begun and end here.
        kept: usize,
    },
    /// The last owner holds no executor any more.
    HandoverEnded,
    /// Operators have evacuated the zone.
    EvacuationBegun {
        /// Jobs of which nothing was started, handed back.
        handed_back: usize,
        /// Jobs that have begun and end here.
        kept: usize,
    },
    /// The zone gets tasks again.
    EvacuationEnded,
    /// A host was made the successor of this stopping owner.
    OwnershipTransferred(SocketAddr),
}
