//! Types that the policy and the dispatch exchange: executors and tasks, decisions, and the ends of
//! attempts.

use onyxshed_core::{
    ClassName, ExecutorName, Micros, Millis, Mono, ResultCode, TaskId, UpstreamName, ZoneName,
};
use onyxshed_wire::upstream::LoadReport;
use smol_str::SmolStr;

/// An executor that tasks can be placed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorInfo {
    /// Name of the executor, which [`NextStep::Start`] and [`AttemptEnd`] refer to.
    pub name: ExecutorName,
    /// Upstream that the executor serves; only classes with this upstream use the executor.
    pub upstream: UpstreamName,
    /// Availability zone of the executor, which is also that of this entry host.
    pub zone: ZoneName,
    /// Rack of the executor; executors of one rack tend to fail together.
    pub rack: SmolStr,
    /// Number of tasks that the executor runs concurrently.
    pub slots: u32,
    /// Whether the executor is draining; it then gets no new tasks.
    pub is_draining: bool,
}

/// A task to be queued for an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedTask {
    /// Id of the task: the submission of its job and the index of the task in the job.
    pub task: TaskId,
    /// Class of the task, which must be configured.
    pub class: ClassName,
    /// Time by which the task must finish; a queued task that can no longer meet it is dropped.
    pub deadline: Mono,
    /// Whether the task may run more than once. Only such a task is hedged, or retried after an
    /// attempt that may have started it.
    pub may_run_twice: bool,
}

/// Decision of [`Policy::admit`](crate::Policy::admit) whether a new job is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job is admitted.
    Accept,
    /// The job is refused; none of its tasks has run.
    Refuse {
        /// Result code that says why the job is refused.
        code: ResultCode,
        /// Time after which the caller should retry.
        retry_after_ms: Millis,
    },
}

/// The next action of the dispatch, returned by [`Policy::next`](crate::Policy::next).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Send the task to the executor.
    Start {
        /// Task to send: one from the queue, or a running one if this is a hedge.
        task: TaskId,
        /// Executor to send the task to.
        executor: ExecutorName,
        /// Whether this is a hedge: a second copy of a task whose first copy still runs.
        is_hedge: bool,
    },
    /// Start nothing now; call again at this time.
    WaitUntil(Mono),
    /// Start nothing until an attempt ends or a task arrives.
    Idle,
}

/// How an attempt ended, as far as this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The task ran and finished.
    Finished,
    /// The task ran and failed.
    Failed,
    /// The executor refused the task before starting it.
    Refused,
    /// The executor stopped the task because its lease lapsed.
    Lapsed,
    /// This host stopped the task.
    Stopped,
    /// No byte of the start was sent.
    Unsent,
    /// The connection broke or became unresponsive after the task may have started.
    Lost,
}

/// The end of an attempt, which the dispatch passes to
/// [`Policy::apply_attempt_end`](crate::Policy::apply_attempt_end).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Task of which the attempt was a copy.
    pub task: TaskId,
    /// Executor that the attempt was sent to.
    pub executor: ExecutorName,
    /// Outcome of the attempt, on which a retry and the signal to the breaker depend.
    pub outcome: AttemptOutcome,
    /// Run time of the task as reported by the executor; `None` if it reported none.
    pub service_us: Option<Micros>,
    /// Load that the executor reported with its response; `None` if it reported none.
    pub load: Option<LoadReport>,
}

/// Next step for a task after an attempt that did not finish it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// The task is queued again.
    Queued,
    /// Another copy of the task still runs; the end of that copy decides the next step.
    Wait,
    /// The task is over, with this result code.
    GiveUp(ResultCode),
}

/// A queued task that was dropped, because it could no longer meet its deadline or its class is
/// unknown. An earlier attempt of the task may have started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpiredTask {
    /// Id of the task: the submission of its job and the index of the task in the job.
    pub task: TaskId,
    /// Deadline with which the task was queued; after a requeue this can be later than the job's first
    /// deadline.
    pub deadline: Mono,
    /// Result code: [`ResultCode::ExpiredInQueue`], or the code of an earlier attempt of the task
    /// that may have started.
    pub code: ResultCode,
}
