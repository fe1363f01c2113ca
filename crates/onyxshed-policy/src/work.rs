//! What goes into the policy and what comes out.

use onyxshed_core::{
    ClassName, ExecutorName, Micros, Millis, Mono, ResultCode, TaskId, UpstreamName, ZoneName,
};
use onyxshed_wire::upstream::LoadReport;
use smol_str::SmolStr;

/// An executor that tasks may be placed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorInfo {
    /// Its name.
    pub name: ExecutorName,
    /// The upstream it serves.
    pub upstream: UpstreamName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: SmolStr,
    /// Tasks it runs at the same time.
    pub slots: u32,
    /// Whether it is on its way out; it then gets no new work.
    pub is_draining: bool,
}

/// A task that waits for an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedTask {
    /// The task.
    pub task: TaskId,
    /// Its class, which must be configured.
    pub class: ClassName,
    /// When its job must be finished.
    pub deadline: Mono,
    /// Whether it may run more than once.
    pub may_run_twice: bool,
}

/// Whether a job is taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Take it in.
    Accept,
    /// Refuse it now: not run.
    Refuse {
        /// Why.
        code: ResultCode,
        /// When to come back, in milliseconds.
        retry_after_ms: Millis,
    },
}

/// What to start now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Send the task to the executor.
    Start {
        /// The task.
        task: TaskId,
        /// Where to.
        executor: ExecutorName,
        /// Whether it is a second copy beside one that still runs.
        is_hedge: bool,
    },
    /// Nothing now; ask again at that time.
    WaitUntil(Mono),
    /// Nothing until something ends or arrives.
    Idle,
}

/// How an attempt ended, as far as it can be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It ran and finished.
    Finished,
    /// It ran and failed.
    Failed,
    /// The executor refused it before starting it.
    Refused,
    /// The executor stopped it because its lease lapsed.
    Lapsed,
    /// It was stopped at our word.
    Stopped,
    /// No byte of it left us.
    Unsent,
    /// The connection broke or went silent after it may have started.
    Lost,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The task.
    pub task: TaskId,
    /// Where it went.
    pub executor: ExecutorName,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long it ran, as the executor tells, in microseconds.
    pub service_us: Option<Micros>,
    /// The executor's load, if it answered.
    pub load: Option<LoadReport>,
}

/// What becomes of a task after an attempt that did not finish it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// It is queued again.
    Queued,
    /// Another copy of it still runs; wait for that one.
    Wait,
    /// It is over.
    GiveUp(ResultCode),
}

/// A waiting task that was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpiredTask {
    /// The task.
    pub task: TaskId,
    /// The deadline by which it was judged.
    pub deadline: Mono,
    /// What to tell: "not run", unless an earlier attempt may have started.
    pub code: ResultCode,
}
