//! What the event loop keeps of attempts, jobs and entry hosts.

use onyxshed_core::{Micros, Mono, SubmissionId, TaskId, UpstreamName};
use onyxshed_policy::{AttemptOutcome, ExecutorInfo};
use smol_str::format_smolstr;
use ulid::Ulid;

use super::{RACK, WALL_START};
use crate::plan::PlannedJob;
use crate::sim::chooser::HostPolicy;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    JobArrival { job: usize },
    StartDelivery { attempt: usize },
    RunEnd { attempt: usize },
    AnswerDelivery { attempt: usize },
    StopDelivery { attempt: usize },
    Deadline { job: usize },
    Wake { host: usize },
    FaultStart,
    FaultEnd,
    FaultDetection,
    CancelWave,
}

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) host: usize,
    pub(super) job: usize,
    pub(super) task: TaskId,
    pub(super) executor: usize,
    pub(super) is_pending: bool,
    pub(super) outcome: AttemptOutcome,
    pub(super) service_us: u64,
}

#[derive(Debug)]
pub(super) struct Job {
    pub(super) planned: PlannedJob,
    pub(super) host: usize,
    pub(super) repeats: u32,
    pub(super) remaining: usize,
    pub(super) has_started: bool,
    pub(super) is_running: bool,
    pub(super) has_ended: bool,
    pub(super) done_tasks: Vec<bool>,
    pub(super) deadline: Mono,
    pub(super) attempts: Vec<usize>,
}

pub(super) struct Host {
    pub(super) policy: HostPolicy,
    pub(super) is_up: bool,
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

/// Gets the id of a job's task; the ULID's random part holds the job's place.
pub(super) fn task_id(job: usize, at_us: u64, index: usize) -> TaskId {
    let time_ms = WALL_START.0 + at_us / 1_000;
    TaskId {
        submission: SubmissionId::unbound(Ulid::from_parts(time_ms, job as u128)),
        index: u16::try_from(index).unwrap_or(u16::MAX),
    }
}

pub(super) fn job_index(task: &TaskId) -> usize {
    usize::try_from(task.submission.ulid.random()).unwrap_or(usize::MAX)
}

/// Turns what an attempt took into the policy's unit.
pub(super) fn service_time(attempt: &Attempt) -> Option<Micros> {
    let did_run = matches!(
        attempt.outcome,
        AttemptOutcome::Finished | AttemptOutcome::Failed
    );
    did_run.then_some(Micros(attempt.service_us))
}
