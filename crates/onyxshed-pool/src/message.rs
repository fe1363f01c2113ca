//! Inputs and outputs of the pool's state machine: orders, answers, reports and decisions.
//!
//! The owner's host sends the orders to executors and passes their answers to the methods of
//! [`crate::Pool`].

use std::net::SocketAddr;

use onyxshed_core::{CallerId, Micros, Millis, Share, UnixMs};
use smol_str::SmolStr;

use crate::id::{
    ClassId, ExecutorId, FencingToken, JobId, PeerIncarnation, Percent, RunNumber,
    SubmissionNumber, TaskId,
};
use crate::job::{JobEnd, NotRunReason, UnknownReason};
use crate::overload::{OverloadMode, OverloadState};
use crate::overload_detector::LoadSample;

/// Order to an executor to start a run of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Task to run; together with `run` it identifies the run in reports and stop orders.
    pub task: TaskId,
    /// Number of the run; a repeated order for the same run has the same number.
    pub run: RunNumber,
    /// Work specification of the job, passed to the executor unchanged.
    pub spec: SmolStr,
    /// When the lease expires, on the executor's clock. The executor then stops the run, unless a
    /// later order has extended the lease.
    pub expires: UnixMs,
    /// Fencing token of the owner that sends the order.
    pub token: FencingToken,
}

/// Order to an executor to stop a run, or not to start it if its start order arrives later.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StopOrder {
    /// Task whose run is to stop.
    pub task: TaskId,
    /// Number of the run to stop, counted from 1.
    pub run: RunNumber,
    /// Fencing token of the owner that sends the order.
    pub token: FencingToken,
}

/// Order to an executor to renew the leases of all its runs and to report its executing and ended
/// runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldOrder {
    /// When the renewed leases expire, on the executor's clock. `None` renews no lease.
    pub expires: Option<UnixMs>,
    /// Fencing token of the owner that sends the order.
    pub token: FencingToken,
    /// Highest number of an end ([`FinishedRun::number`]) that the owner has processed, 0 if none.
    /// The executor no longer lists ends up to this number.
    pub last_seen: u64,
    /// Maximum time that the executor waits for a run to end before it reports.
    pub wait: Millis,
    /// How long the report may take beyond `wait` before the executor counts as unresponsive.
    pub answer_within: Millis,
}

/// Why an executor refused a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefuseReason {
    /// The executor has received an order with a higher fencing token, so another host owns the
    /// pool.
    Fenced,
    /// This run or a later run of the task has ended or was stopped on the executor.
    Ended,
    /// The lease had expired when the order arrived.
    Expired,
    /// The executor lacks the free resources that the task needs.
    NoRoom,
    /// The executor rejects orders for now (HTTP status 429 or 503).
    Unhealthy,
    /// The executor refused the order with a status or reason that no other variant covers.
    Other,
}

/// Answer to a start order, passed to [`crate::Pool::apply_start_answer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartAnswer {
    /// The executor has started the run, now or on an earlier order.
    Started {
        /// Reading of the executor's clock, if the answer contains one.
        clock: Option<UnixMs>,
    },
    /// The executor refused the order. An earlier order may have started the same run.
    Refused(RefuseReason),
    /// The process that answered has another executor id, and the order had no effect.
    OtherIncarnation,
    /// The order was not sent, for example because no connection could be opened.
    NotSent,
    /// No answer arrived. The executor may have executed the order or may still do so.
    Unknown,
}

/// Answer to a stop order, passed to [`crate::Pool::apply_stop_answer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopAnswer {
    /// The executor stops the run, and does not start it if the start order arrives later.
    Accepted,
    /// The executor has received an order with a higher fencing token, so another host owns the
    /// pool.
    Fenced,
    /// The process that answered has another executor id, and the order had no effect.
    OtherIncarnation,
    /// No answer arrived, so it is unknown whether the executor received the order.
    Unknown,
}

/// How a run ended, as listed in an executor's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The run completed its task.
    Done,
    /// The run failed because of the task or the executor.
    Failed,
    /// The executor stopped the run because of a stop order or because its lease expired.
    Stopped,
}

/// An executing run in an executor's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningRun {
    /// Task from the start order of the run, which another owner may have sent.
    pub task: TaskId,
    /// Number of the run, from its start order.
    pub run: RunNumber,
    /// Progress of the run, if the executor reports it.
    pub progress: Option<Percent>,
}

/// An ended run in an executor's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedRun {
    /// Number of this end. The executor counts the ends of all runs, and counts anew after a
    /// restart.
    pub number: u64,
    /// Task from the start order of the run.
    pub task: TaskId,
    /// Number of the run, from its start order.
    pub run: RunNumber,
    /// Whether the run completed, failed or was stopped.
    pub end: RunEnd,
}

/// The runs that an executor lists in a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorLists {
    /// Reading of the executor's clock, taken before it sent the report.
    pub clock: UnixMs,
    /// Start time of the reporting incarnation on the executor's clock, if reported.
    pub started_at: Option<UnixMs>,
    /// Runs that execute on the executor, including runs that other owners ordered.
    pub running: Vec<RunningRun>,
    /// Ended runs that no hold order has acknowledged yet.
    pub finished: Vec<FinishedRun>,
    /// Number of the last listed end, including ends of runs that this system did not start. The
    /// next hold order acknowledges all ends up to this number.
    pub listed_to: u64,
}

/// Content of an executor's answer to a hold order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutorReport {
    /// The executing runs and the ended runs that are not acknowledged yet.
    Lists(ExecutorLists),
    /// The executor has received an order with a higher fencing token, so another host owns the
    /// pool.
    Fenced,
    /// The process that answered has another executor id, and the order had no effect.
    OtherIncarnation,
}

/// Answer to a hold order, passed to [`crate::Pool::apply_hold_answer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldAnswer {
    /// An answer arrived in time: the executor's lists, or the reason why there are none.
    Report(ExecutorReport),
    /// No answer arrived within [`HoldOrder::wait`] plus [`HoldOrder::answer_within`].
    Unknown,
}

/// Output of the state machine, to be carried out by the host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the start order to the executor and pass its answer to
    /// [`crate::Pool::apply_start_answer`].
    Start(ExecutorId, StartOrder),
    /// Send the stop order to the executor and pass its answer to
    /// [`crate::Pool::apply_stop_answer`].
    Stop(ExecutorId, StopOrder),
    /// Send the hold order to the executor after the given pause and pass its answer to
    /// [`crate::Pool::apply_hold_answer`].
    Hold(ExecutorId, HoldOrder, Millis),
    /// Report the outcome of a job to its entry host.
    End {
        /// Incarnation of the entry host that submitted the job.
        peer: PeerIncarnation,
        /// The entry host's number for the submission.
        submission: SubmissionNumber,
        /// Identifier that the caller chose for the job.
        job: JobId,
        /// Outcome of the job, which the entry host reports to the caller.
        end: JobEnd,
    },
    /// Step down as owner, because another host owns the pool.
    StepDown,
    /// Write the decision to the log of the host.
    Log(Decision),
}

/// A decision or a change in the state of an executor or host, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A start order was issued for a new run.
    RunOrdered {
        /// Task that gets the new run.
        task: TaskId,
        /// Number of the new run, higher than those of the runs of the task that are known here.
        run: RunNumber,
        /// Executor that gets the start order.
        executor: ExecutorId,
        /// Expected run time on this executor, including its slowdown and the cost of remote data.
        expected: Micros,
        /// Time since the job arrived at its entry host.
        waited: Micros,
        /// Incarnation of the entry host that submitted the job, and its number for the submission.
        submitted_as: (PeerIncarnation, SubmissionNumber),
    },
    /// A job that had begun ended with an unknown outcome, and its runs are stopped.
    JobDropped {
        /// Job that was ended.
        job: JobId,
        /// Incarnation of the entry host that submitted the job, and its number for the submission.
        submitted_as: (PeerIncarnation, SubmissionNumber),
        /// Why the outcome is unknown.
        reason: UnknownReason,
        /// Time since the last contact with the entry host; `None` if this is the owner's own host or a
        /// host that is no longer known.
        last_contact: Option<Micros>,
    },
    /// A run ended, was lost or never started, and its task was requeued.
    RunEnded {
        /// Task that was requeued.
        task: TaskId,
        /// Number of the run that ended, was lost or never started.
        run: RunNumber,
        /// Executor that the start order of the run was for.
        executor: ExecutorId,
        /// Why the task was requeued, as text for the log.
        reason: &'static str,
    },
    /// An executor reported a run that this owner did not order or no longer tracks; a stop order
    /// was issued.
    OrphanStopped {
        /// Task that the executor named in its report.
        task: TaskId,
        /// Number of the run in the executor's report.
        run: RunNumber,
        /// Executor that reported the run and gets the stop order.
        executor: ExecutorId,
    },
    /// A run on an executor that has become slow is stopped so that its task can run elsewhere.
    RunMoved {
        /// Task that is to run elsewhere.
        task: TaskId,
        /// Number of the run that is stopped.
        run: RunNumber,
        /// Executor from which the run is moved.
        executor: ExecutorId,
        /// Estimated minimum remaining time of the run on this executor.
        remaining: Micros,
    },
    /// Every run of earlier owners on the executor has ended, so it can get tasks of this owner.
    ExecutorAcquired(ExecutorId),
    /// An executor did not answer a hold order in time. Its tasks are requeued when their leases
    /// have expired.
    ExecutorUnresponsive(ExecutorId),
    /// An unresponsive executor answers again.
    ExecutorRecovered(ExecutorId),
    /// An executor has restarted under its id.
    ExecutorRestarted {
        /// Executor that has restarted.
        executor: ExecutorId,
        /// Whether the platform's list already describes the new incarnation. Until it does, the executor
        /// gets no tasks.
        is_listed: bool,
    },
    /// An executor gets no tasks for the given time because of failures.
    ExecutorAvoided(ExecutorId, Millis),
    /// The platform now lists an executor as draining; it gets no new tasks.
    ExecutorDraining(ExecutorId),
    /// An executor that the platform no longer lists was removed from the pool.
    ExecutorForgotten(ExecutorId),
    /// No heartbeat of an entry host arrived within `peer_timeout_ms`. Its jobs, whose number is
    /// given, ended as unknown.
    PeerUnresponsive(PeerIncarnation, usize),
    /// This process was paused for the given time and ended this number of other hosts' jobs.
    Paused(Micros, usize),
    /// The next owner requested the executors of this owner for the first time.
    HandoverBegun {
        /// Number of jobs without a started task, which ended as not run, or as unknown while runs
        /// of an earlier copy were being stopped.
        returned_jobs: usize,
        /// Number of started jobs, which this owner completes.
        remaining_jobs: usize,
    },
    /// The previous owner has released every executor.
    HandoverEnded,
    /// Operators have evacuated the zone.
    EvacuationBegun {
        /// Number of jobs without a started task, which ended as not run, or as unknown while runs
        /// of an earlier copy were being stopped.
        returned_jobs: usize,
        /// Number of started jobs, which continue in this pool.
        remaining_jobs: usize,
    },
    /// Operators have restored the zone, and the pool starts tasks again.
    EvacuationEnded,
    /// An overloaded pool refused a job of which no task has run.
    JobRefused {
        /// Job that was refused.
        job: JobId,
        /// Class of the job.
        class: ClassId,
        /// Why it was refused.
        reason: NotRunReason,
        /// How long it would have waited, or has waited, to begin.
        wait: Millis,
        /// How long it could have waited and end on target.
        slack: Millis,
    },
    /// An overloaded pool ended a job that has begun, because its answer can't be useful any more.
    JobGivenUp {
        /// Job that was ended.
        job: JobId,
        /// Class of the job.
        class: ClassId,
        /// Number of its tasks that were waiting.
        waiting_tasks: u16,
        /// Time since the job arrived at its entry host.
        elapsed: Micros,
    },
    /// This stopping owner selected the host at the address as its successor.
    OwnershipTransferred(SocketAddr),
    /// The state of overload changed, or would have if its decisions took effect.
    OverloadChanged {
        /// State that was left.
        from: OverloadState,
        /// State that was entered.
        to: OverloadState,
        /// Measures that caused the change.
        sample: LoadSample,
    },
    /// Jobs of a caller are refused because it offers more than its share of an overloaded pool.
    CallerLimited {
        /// The caller.
        caller: CallerId,
        /// Class of the jobs that are refused.
        class: ClassId,
        /// Share of the caller's arriving jobs that is admitted.
        admitted: Share,
        /// Whether jobs are really refused, or only would be.
        mode: OverloadMode,
    },
    /// No job of a caller has exceeded its share for a while.
    CallerWithinShare {
        /// The caller.
        caller: CallerId,
        /// Class of the jobs that were refused.
        class: ClassId,
        /// Number of jobs that exceeded the share, refused or not according to the mode.
        exceeded: u64,
    },
}
