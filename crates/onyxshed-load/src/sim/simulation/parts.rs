//! Events of the simulation, and its state of attempts, jobs and entry hosts.

use onyxshed_core::{Micros, Mono, SubmissionId, TaskId, UpstreamName};
use onyxshed_policy::{AttemptOutcome, ExecutorInfo};
use smol_str::format_smolstr;
use ulid::Ulid;

use super::{RACK, WALL_START};
use crate::plan::PlannedJob;
use crate::sim::policies::HostPolicy;

/// An event that is scheduled for a time of the simulation. Its fields are indexes into the
/// simulation's lists of jobs, attempts and entry hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A job reaches an entry host.
    JobArrival { job: usize },
    /// A start request reaches an executor.
    StartDelivery { attempt: usize },
    /// The run of an attempt ends on its executor.
    RunEnd { attempt: usize },
    /// The end of an attempt reaches its entry host.
    AnswerDelivery { attempt: usize },
    /// A stop request reaches an executor.
    StopDelivery { attempt: usize },
    /// The deadline of a job passes.
    Deadline { job: usize },
    /// The time is reached at which a host's policy asked to be called again.
    Wake { host: usize },
    /// The fault of the scenario starts.
    FaultStart,
    /// The fault of the scenario ends.
    FaultEnd,
    /// The host list or the peers show the fault.
    FaultDetection,
    /// Callers cancel half of their jobs.
    CancelWave,
}

/// An attempt at a task on an executor. `host`, `job` and `executor` are indexes into the
/// simulation's lists.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) host: usize,
    pub(super) job: usize,
    pub(super) task: TaskId,
    pub(super) executor: usize,
    /// Whether the entry host waits for the end of the attempt.
    pub(super) is_pending: bool,
    pub(super) outcome: AttemptOutcome,
    /// Run time on the executor in microseconds; 0 until the run starts.
    pub(super) service_us: u64,
}

/// A planned job, the entry host that accepted it, and its progress.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) planned: PlannedJob,
    pub(super) host: usize,
    /// Number of times that the caller has sent the job again.
    pub(super) repeats: u32,
    /// Number of tasks that have not finished.
    pub(super) remaining: usize,
    /// Whether an attempt at one of the tasks has been started.
    pub(super) has_started: bool,
    /// Whether an entry host has admitted the job.
    pub(super) is_running: bool,
    /// Whether the job has its final answer or was cancelled.
    pub(super) has_ended: bool,
    /// Whether each task has finished, by task index.
    pub(super) done_tasks: Vec<bool>,
    pub(super) deadline: Mono,
    /// Indexes of the attempts at the tasks.
    pub(super) attempts: Vec<usize>,
}

/// A simulated entry host.
pub(super) struct Host {
    pub(super) policy: HostPolicy,
    /// Whether the host runs; false from the time at which the scenario makes it fail.
    pub(super) is_up: bool,
    /// Time of the next [`Event::Wake`], if one is scheduled.
    pub(super) wake_at: Option<Mono>,
}

impl Job {
    pub(super) fn new(planned: PlannedJob) -> Self {
        Job {
            host: 0,
            repeats: 0,
            remaining: planned.service_ms.len(),
            has_started: false,
            is_running: false,
            has_ended: false,
            done_tasks: vec![false; planned.service_ms.len()],
            deadline: Mono(0),
            attempts: Vec::new(),
            planned,
        }
    }
}

pub(super) fn executor_info(index: usize, slots: usize, upstream: &UpstreamName) -> ExecutorInfo {
    ExecutorInfo {
        name: format!("x{index:03}").parse().expect("a valid name"),
        upstream: upstream.clone(),
        zone: "zone-a".parse().expect("a valid name"),
        rack: format_smolstr!("rack-{}", index / RACK),
        slots: u32::try_from(slots).unwrap_or(u32::MAX),
        is_draining: false,
    }
}

/// Returns the id of a job's task. The random part of the ULID contains the job's index.
pub(super) fn task_id(job: usize, at_us: u64, index: usize) -> TaskId {
    let time_ms = WALL_START.0 + at_us / 1_000;
    TaskId {
        submission: SubmissionId::unbound(Ulid::from_parts(time_ms, job as u128)),
        index: u16::try_from(index).unwrap_or(u16::MAX),
    }
}

/// Returns the index of the job that a task belongs to.
pub(super) fn job_index(task: &TaskId) -> usize {
    usize::try_from(task.submission.ulid.random()).unwrap_or(usize::MAX)
}

/// Returns the service time of an attempt for the policy, or `None` if its task did not run to an
/// end.
pub(super) fn service_time(attempt: &Attempt) -> Option<Micros> {
    let did_run = matches!(
        attempt.outcome,
        AttemptOutcome::Finished | AttemptOutcome::Failed
    );
    did_run.then_some(Micros(attempt.service_us))
}
