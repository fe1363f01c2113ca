//! Jobs handed to a pool.

use onyxshed_core::{Micros, Millis, Mono};
use smol_str::SmolStr;

use crate::id::{ExecutorId, JobId, PeerIncarnation, RunNumber, SubmissionNumber, TaskId};
use crate::resources::Resources;
use crate::speed::{as_f64, scaled};

/// A job as an entry host hands it over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRequest {
    /// The entry host.
    pub peer: PeerIncarnation,
    /// Its number for this hand-over.
    pub submission: SubmissionNumber,
    /// The job.
    pub job: JobId,
    /// The upstream whose executors run it.
    pub upstream: SmolStr,
    /// What the executors are told to do.
    pub spec: SmolStr,
    /// How many tasks it has.
    pub tasks: u16,
    /// What each task needs.
    pub demand: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimate: Millis,
    /// Runs of a task that may end failed before the job has failed.
    pub attempts_max: u32,
    /// How much longer than its longest task the job may take, in thousandths.
    pub stretch_millis: u32,
    /// What it may take beyond that.
    pub objective: Millis,
    /// How long it has been under way at the entry host, as with other pools' owners.
    pub elapsed: Millis,
    /// How long its caller still waits.
    pub time_left: Millis,
    /// Label that the executor must have, if any.
    pub label: Option<SmolStr>,
    /// Rack where the data lies, if it matters.
    pub data_rack: Option<SmolStr>,
    /// Most tasks of the job on one executor, if bounded.
    pub per_executor_max: Option<u16>,
}

impl JobRequest {
    /// Gets the time within which the job should end, by the caller's estimate.
    pub fn target(&self) -> Micros {
        self.target_of(self.estimate.into())
    }

    /// Gets the time within which the job should end, if its tasks take so long.
    fn target_of(&self, task: Micros) -> Micros {
        let stretched_us = task.0 * u64::from(self.stretch_millis) / 1_000;
        Micros(stretched_us + Micros::from(self.objective).0)
    }

    /// Gets the work that it is, in thousandths of a core times milliseconds.
    pub fn work(&self) -> u64 {
        u64::from(self.tasks) * u64::from(self.demand.cpu_millis.max(1)) * self.estimate.0
    }
}

/// Why a job was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// It could not end in time for its caller, given what waits before it.
    NoTime,
    /// No executor of the pool can run such a task.
    NoExecutor,
    /// The host asked does not own the pool, or gives it up.
    NotOwner,
    /// The entry host was not heard for so long that it has to introduce itself again.
    OldSession,
    /// Operators have evacuated the zone.
    ZoneEvacuated,
}

impl NotRunReason {
    /// Every reason; on the wire each is its place here.
    pub const ALL: [NotRunReason; 5] = [
        NotRunReason::NoTime,
        NotRunReason::NoExecutor,
        NotRunReason::NotOwner,
        NotRunReason::OldSession,
        NotRunReason::ZoneEvacuated,
    ];
}

/// Why a job's fate is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// The owner of the pool changed.
    OwnerChanged,
    /// The owner stood still.
    OwnerPaused,
    /// The entry host was not heard.
    PeerSilent,
    /// Its caller's time ran out.
    TimeOut,
    /// Its caller gave it up.
    Cancelled,
    /// Another hand-over of the job took its place.
    Superseded,
    /// The entry host stopped before the job ended.
    EntryStopped,
    /// Operators evacuated the zone before all tasks had started.
    ZoneEvacuated,
    /// No executor answers that could run the rest of its tasks.
    ExecutorsLost,
}

impl UnknownReason {
    /// Every reason; on the wire each is its place here.
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

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// Every task is done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// Nothing of it ran; worth asking again after the span.
    NotRun(NotRunReason, Millis),
    /// Some of it may have run; nothing of it is at work a little later.
    Unknown(UnknownReason),
}

/// Where a task stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// It waits for an executor.
    Waiting,
    /// A run of it is ordered or at work.
    Running(ExecutorId),
    /// It is done.
    Done,
}

/// One task.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub state: TaskState,
    /// Runs ordered so far.
    pub runs: u32,
    /// Runs that ended failed, by executor.
    pub failed_on: Vec<ExecutorId>,
    /// Runs stopped because they took too long.
    pub stuck: u32,
}

/// A job under way.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub request: JobRequest,
    /// When it came to its entry host.
    pub arrived: Mono,
    /// When its caller stops waiting.
    pub gives_up_at: Mono,
    pub tasks: Vec<Task>,
    pub waiting: u16,
    pub done: u16,
    /// Whether any run was ordered.
    pub has_started: bool,
    /// Mean of the logarithms of how long tasks took over what was expected, and their number.
    pub ratio: (f64, u32),
    /// What a task takes on an ordinary executor, corrected by the tasks that are done.
    estimate: Micros,
}

impl Job {
    pub fn new(now: Mono, request: JobRequest) -> Self {
        let task = Task {
            state: TaskState::Waiting,
            runs: 0,
            failed_on: Vec::new(),
            stuck: 0,
        };
        Job {
            arrived: Mono(now.0.saturating_sub(Micros::from(request.elapsed).0)),
            gives_up_at: now + request.time_left,
            tasks: vec![task; usize::from(request.tasks)],
            waiting: request.tasks,
            done: 0,
            has_started: false,
            ratio: (0.0, 0),
            estimate: request.estimate.into(),
            request,
        }
    }

    /// Gets the time within which the job should end, by what its tasks have shown to take.
    ///
    /// Uses what the job's tasks have taken rather than the caller's estimate: by an estimate far too low, a
    /// job that can still be of use would starve half done.
    pub fn target(&self) -> Micros {
        self.request.target_of(self.estimate())
    }

    /// Gets when the job should end.
    pub fn target_at(&self) -> Mono {
        self.arrived + self.target()
    }

    /// Gets until when an answer is of use to the caller, who counts one later than `late_factor`
    /// targets for nothing.
    pub fn useful_until(&self, late_factor: u64) -> Mono {
        let late = Micros(self.target().0 * late_factor);
        self.gives_up_at.min(self.arrived + late)
    }

    /// Gets the estimate of a task on an ordinary executor, corrected by the tasks that are done.
    pub fn estimate(&self) -> Micros {
        self.estimate
    }

    /// Takes in how long a task took, over what its executor's slowdown made expected.
    pub fn observe(&mut self, took: Micros, expected: Micros) {
        let log = (as_f64(took.0.max(1)) / as_f64(expected.0.max(1))).ln();
        let (mean, count) = self.ratio;
        let next = count + 1;
        let mean = mean + (log - mean) / f64::from(next);
        self.ratio = (mean, next);
        self.estimate = scaled(self.request.estimate.into(), mean.exp());
    }

    /// Gets the work of the tasks that wait, in thousandths of a core times milliseconds.
    pub fn waiting_work(&self) -> u64 {
        u64::from(self.waiting)
            * u64::from(self.request.demand.cpu_millis.max(1))
            * self.estimate().as_millis().0.max(1)
    }

    /// Gets the first task that waits.
    pub fn next_waiting(&self) -> Option<u16> {
        let mut tasks = self.tasks.iter();
        let index = tasks.position(|task| task.state == TaskState::Waiting)?;
        u16::try_from(index).ok()
    }

    /// Names a task.
    pub fn task_id(&self, index: u16) -> TaskId {
        TaskId {
            job: self.request.job,
            index,
        }
    }

    /// Notes that a run of a task was ordered, and numbers it.
    pub fn run_ordered(&mut self, index: u16, executor: &ExecutorId) -> RunNumber {
        let task = &mut self.tasks[usize::from(index)];
        task.runs += 1;
        task.state = TaskState::Running(executor.clone());
        self.waiting -= 1;
        self.has_started = true;
        RunNumber(task.runs)
    }

    /// Tells whether a run is the one that the task now waits for.
    pub fn awaits(&self, index: u16, run: RunNumber, executor: &ExecutorId) -> bool {
        self.tasks.get(usize::from(index)).is_some_and(|task| {
            task.runs == run.0 && task.state == TaskState::Running(executor.clone())
        })
    }

    /// Lets a task wait again.
    pub fn wait_again(&mut self, index: u16) {
        self.tasks[usize::from(index)].state = TaskState::Waiting;
        self.waiting += 1;
    }
}
