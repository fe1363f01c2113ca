//! Jobs as the owner of a pool tracks them: the request, the state of each task and the outcome.

use onyxshed_core::{Bytes, CallerId, Micros, Millis, Mono};
use smol_str::SmolStr;

use crate::id::{
    ClassId, ExecutorId, JobId, PeerIncarnation, RunNumber, Session, SubmissionNumber, TaskId,
};
use crate::resources::Resources;
use crate::speed::{as_f64, scaled};

/// A job as submitted by an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRequest {
    /// Incarnation of the submitting entry host.
    pub peer: PeerIncarnation,
    /// The entry host's number for this submission.
    pub submission: SubmissionNumber,
    /// Identifier of the job, chosen by its caller; a resubmission of the job has the same
    /// identifier.
    pub job: JobId,
    /// Upstream whose executors run the job.
    pub upstream: SmolStr,
    /// Work specification that is passed to the executors unchanged.
    pub spec: SmolStr,
    /// Number of tasks; their indices start at 0.
    pub tasks: u16,
    /// Resources that each task needs.
    pub demand: Resources,
    /// Caller's rough estimate of a task's run time.
    pub estimate: Millis,
    /// Number of failed runs of a task after which the job fails.
    pub attempts_max: u32,
    /// Factor on the run time of the job's longest task, in thousandths. The target of the job is
    /// this product plus `objective`.
    pub stretch_millis: u32,
    /// Time that the target allows in addition to the longest task's run time times
    /// `stretch_millis`.
    pub objective: Millis,
    /// Time since the job arrived at its entry host, including the time for which other pools had
    /// queued it.
    pub elapsed: Millis,
    /// Time for which the caller still waits.
    pub time_left: Millis,
    /// Label that an executor must have, if any.
    pub label: Option<SmolStr>,
    /// Rack that holds the job's data; tasks take longer on executors outside it. `None` if the
    /// rack has no effect.
    pub data_rack: Option<SmolStr>,
    /// Maximum number of tasks of the job on one executor, if limited.
    pub per_executor_max: Option<u16>,
    /// Class of work, whose jobs share what an overloaded pool can run.
    pub class: ClassId,
    /// Urgency among the classes of an upstream; 0 is the most urgent.
    pub priority: u32,
    /// The caller, whose jobs share what its class may use.
    pub caller: CallerId,
    /// Number of owners that passed the job on.
    pub transfers: u8,
}

impl JobRequest {
    /// Returns the time from arrival within which the job should end, according to the caller's
    /// estimate.
    pub fn target(&self) -> Micros {
        self.target_for(self.estimate.into())
    }

    /// Returns the time from arrival within which the job should end if its longest task takes
    /// `task`.
    pub(crate) fn target_for(&self, task: Micros) -> Micros {
        let stretched_us = task.0 * u64::from(self.stretch_millis) / 1_000;
        Micros(stretched_us + Micros::from(self.objective).0)
    }

    /// Memory of a task with its state, its run and the order that starts or stops it.
    pub(crate) const TASK_BYTES: u64 = 1 << 10;

    /// Returns the memory that the job and its orders to executors use at most at the owner of a pool.
    pub fn memory(&self) -> Bytes {
        JobRequest::memory_of(self.spec.len(), self.tasks)
    }

    /// Returns the memory of a job with a description of this size and this number of tasks.
    pub fn memory_of(spec_bytes: usize, tasks: u16) -> Bytes {
        /// A job with its names, its places in the indexes and the message that submitted it.
        const JOB_BYTES: u64 = 16 << 10;
        Bytes(JOB_BYTES + spec_bytes as u64 + u64::from(tasks) * JobRequest::TASK_BYTES)
    }

    /// Returns the total work of the job according to the caller's estimate, in thousandths of a
    /// core times milliseconds.
    pub fn work(&self) -> u64 {
        u64::from(self.tasks) * u64::from(self.demand.cpu_millis.max(1)) * self.estimate.0
    }
}

/// Reason for which a job was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The job could not end in time for its caller, given the jobs ahead of it.
    NoTime,
    /// No usable executor of the pool can run the tasks.
    NoExecutor,
    /// The host does not own the pool or is giving it up.
    NotOwner,
    /// The submission names a session of the entry host that has ended. The host gets a new session
    /// with its next heartbeat.
    OldSession,
    /// Operators have evacuated the pool's zone.
    ZoneEvacuated,
    /// The job's class has used its share of an overloaded pool.
    ClassShare,
    /// The caller has used its share of what its class may use.
    CallerShare,
    /// The host lacks the processor time to serve the job.
    HostOverloaded,
    /// The jobs of the pool use the memory that its owner has for them.
    MemoryFull,
}

impl NotRunReason {
    /// All reasons. The index of a reason in this array is its encoding on the wire.
    pub const ALL: [NotRunReason; 9] = [
        NotRunReason::NoTime,
        NotRunReason::NoExecutor,
        NotRunReason::NotOwner,
        NotRunReason::OldSession,
        NotRunReason::ZoneEvacuated,
        NotRunReason::ClassShare,
        NotRunReason::CallerShare,
        NotRunReason::HostOverloaded,
        NotRunReason::MemoryFull,
    ];

    /// Returns whether the job was refused because the pool is short of room.
    pub fn is_want_of_room(self) -> bool {
        match self {
            NotRunReason::NoTime
            | NotRunReason::ClassShare
            | NotRunReason::CallerShare
            | NotRunReason::HostOverloaded
            | NotRunReason::MemoryFull => true,
            NotRunReason::NoExecutor
            | NotRunReason::NotOwner
            | NotRunReason::OldSession
            | NotRunReason::ZoneEvacuated => false,
        }
    }
}

/// Why the outcome of a job is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// The owner stepped down or became unreachable before the job ended.
    OwnerChanged,
    /// The owner's process was paused for so long that the entry host may have given the job up.
    OwnerPaused,
    /// No heartbeat of the entry host reached the owner for `peer_timeout_ms`.
    PeerSilent,
    /// The caller's deadline passed.
    TimeOut,
    /// The entry host cancelled the job, for example because the caller disconnected.
    Cancelled,
    /// A later submission of the job replaced this one.
    Superseded,
    /// The entry host stopped before the job ended.
    EntryStopped,
    /// Operators evacuated the zone before all tasks had started.
    ZoneEvacuated,
    /// No responsive executor can run the remaining tasks.
    ExecutorsLost,
}

impl UnknownReason {
    /// All reasons. The index of a reason in this array is its encoding on the wire.
    pub const ALL: [UnknownReason; 9] = [
        UnknownReason::OwnerChanged,
        UnknownReason::OwnerPaused,
        UnknownReason::PeerSilent,
        UnknownReason::TimeOut,
        UnknownReason::Cancelled,
        UnknownReason::Superseded,
        UnknownReason::EntryStopped,
        UnknownReason::ZoneEvacuated,
        UnknownReason::ExecutorsLost,
    ];
}

/// Outcome of a job, determined by the pool's owner or by the entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// A run of every task has completed.
    Completed,
    /// Runs of a task failed [`JobRequest::attempts_max`] times.
    Failed,
    /// No task ran. The caller may retry after the given delay.
    NotRun(NotRunReason, Millis),
    /// Tasks of the job may have run. Runs that still execute are stopped, or end when their leases
    /// expire.
    Unknown(UnknownReason),
}

/// Whether a task waits for an executor, has a current run or is done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// The task waits for an executor.
    Waiting,
    /// A run that an earlier copy of the job ordered for the task is being stopped and may still
    /// execute. Then the task waits for an executor.
    Blocked,
    /// A run of the task was ordered from this executor and may execute.
    Running(ExecutorId),
    /// A run of the task has completed.
    Done,
}

/// State of one task and the history of its runs.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub state: TaskState,
    /// Number of the latest run of the task; 0 before the first.
    pub runs: u32,
    /// Executors on which runs failed, one entry per failed run.
    pub failed_on: Vec<ExecutorId>,
    /// Number of runs that were stopped because they took too long, or moved off a slow executor.
    pub stopped_runs: u32,
}

/// A job that is queued or running.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub request: JobRequest,
    /// Session in which the entry host submitted the job.
    pub session: Session,
    /// When the job arrived at its entry host.
    pub arrived_at: Mono,
    /// When the caller stops waiting.
    pub caller_deadline: Mono,
    pub tasks: Vec<Task>,
    /// Number of tasks that are waiting or blocked.
    pub waiting: u16,
    pub done: u16,
    /// Whether a run of any task was ordered since this copy of the job was admitted.
    pub has_started: bool,
    /// Mean over the completed tasks of ln(actual / expected run time), and the number of these tasks.
    pub log_ratio: (f64, u32),
    /// Estimated run time of a task on an executor with slowdown factor 1: the caller's estimate,
    /// corrected by the run times of completed tasks.
    estimate: Micros,
}

impl Job {
    pub fn new(now: Mono, session: Session, request: JobRequest) -> Self {
        let task = Task {
            state: TaskState::Waiting,
            runs: 0,
            failed_on: Vec::new(),
            stopped_runs: 0,
        };
        Job {
            arrived_at: Mono(now.0.saturating_sub(Micros::from(request.elapsed).0)),
            caller_deadline: now + request.time_left,
            tasks: vec![task; usize::from(request.tasks)],
            waiting: request.tasks,
            done: 0,
            has_started: false,
            log_ratio: (0.0, 0),
            estimate: request.estimate.into(),
            session,
            request,
        }
    }

    /// Returns the time from arrival within which the job should end, with the caller's estimate
    /// corrected by the run times of completed tasks.
    ///
    /// With the caller's estimate alone, a job whose estimate is far too low would starve half done
    /// although its answer could still be useful.
    pub fn target(&self) -> Micros {
        self.request.target_for(self.estimate())
    }

    /// Returns when the job should end: its arrival at the entry host plus [`Job::target`].
    pub fn target_at(&self) -> Mono {
        self.arrived_at + self.target()
    }

    /// Returns the time until which an answer is useful: `late_factor` targets after arrival, or
    /// when the caller stops waiting if that is earlier.
    pub fn useful_until(&self, late_factor: u64) -> Mono {
        let late = Micros(self.target().0 * late_factor);
        self.caller_deadline.min(self.arrived_at + late)
    }

    /// Returns the estimated run time of a task on an executor with slowdown factor 1, corrected by
    /// the run times of completed tasks.
    pub fn estimate(&self) -> Micros {
        self.estimate
    }

    /// Updates the estimate by the run time of a completed task and the time that was expected on its
    /// executor, which includes the executor's slowdown.
    pub fn observe_run_time(&mut self, took: Micros, expected: Micros) {
        let sample = (as_f64(took.0.max(1)) / as_f64(expected.0.max(1))).ln();
        let (mean, count) = self.log_ratio;
        let next = count + 1;
        let mean = mean + (sample - mean) / f64::from(next);
        self.log_ratio = (mean, next);
        self.estimate = scaled(self.request.estimate.into(), mean.exp());
    }

    /// Returns the work of the waiting tasks, in thousandths of a core times milliseconds.
    pub fn waiting_work(&self) -> u64 {
        u64::from(self.waiting)
            * u64::from(self.request.demand.cpu_millis.max(1))
            * self.estimate().as_millis().0.max(1)
    }

    /// Returns the index of the first waiting task, if any.
    pub fn next_waiting_task(&self) -> Option<u16> {
        let mut tasks = self.tasks.iter();
        let index = tasks.position(|task| task.state == TaskState::Waiting)?;
        u16::try_from(index).ok()
    }

    /// Returns the identifier of a task: the identifier of the job with the task's index.
    pub fn task_id(&self, index: u16) -> TaskId {
        TaskId {
            job: self.request.job,
            index,
        }
    }

    /// Records that a run of a waiting task is ordered from an executor, and returns the number of the run.
    pub fn record_run_ordered(&mut self, index: u16, executor: &ExecutorId) -> RunNumber {
        let task = &mut self.tasks[usize::from(index)];
        task.runs += 1;
        task.state = TaskState::Running(executor.clone());
        self.waiting -= 1;
        self.has_started = true;
        RunNumber(task.runs)
    }

    /// Returns whether a run on `executor` is the latest run of its task and the task has not been
    /// requeued or completed since.
    pub fn is_current_run(&self, index: u16, run: RunNumber, executor: &ExecutorId) -> bool {
        self.tasks.get(usize::from(index)).is_some_and(|task| {
            task.runs == run.0 && task.state == TaskState::Running(executor.clone())
        })
    }

    /// Blocks a task because the run `number` that an earlier copy of the job ordered for it is being
    /// stopped. The task's next run gets a higher number.
    pub fn block_task(&mut self, index: u16, number: RunNumber) {
        if let Some(task) = self.tasks.get_mut(usize::from(index)) {
            task.state = TaskState::Blocked;
            task.runs = task.runs.max(number.0);
        }
    }

    /// Returns whether a run of an earlier copy of the job keeps a task from starting.
    pub fn is_blocked(&self, index: u16) -> bool {
        let task = self.tasks.get(usize::from(index));
        task.is_some_and(|task| task.state == TaskState::Blocked)
    }

    /// Makes a blocked task wait for an executor.
    pub fn unblock_task(&mut self, index: u16) {
        self.tasks[usize::from(index)].state = TaskState::Waiting;
    }

    /// Makes a task whose run has ended without success wait for an executor again.
    pub fn requeue_task(&mut self, index: u16) {
        self.tasks[usize::from(index)].state = TaskState::Waiting;
        self.waiting += 1;
    }
}
