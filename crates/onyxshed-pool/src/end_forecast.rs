//! Forecast of when a job would end in a pool, from the pool's load report.
//!
//! Tasks that fit into the free room start once the queue ahead of them is processed. The others start
//! as runs end: what runs is taken to be spread evenly over its run time, so that the room that it holds
//! becomes free at an even rate until the last run has ended.

use onyxshed_core::{Millis, Share};

use crate::id::ClassId;
use crate::job::JobRequest;
use crate::overload::{ClassAdmission, OverloadState};
use crate::pool_selector::PoolLoad;
use crate::resources::Resources;

/// Speed of an executor on which tasks take as long as estimated, in thousandths.
const FULL_SPEED_MILLIS: u64 = 1_000;

/// What a job takes from a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobNeeds {
    /// The job's class.
    pub class: ClassId,
    /// Number of its tasks.
    pub tasks: u16,
    /// What each task needs.
    pub demand: Resources,
    /// Caller's estimate of a task's run time.
    pub estimate: Millis,
    /// Time that is left until the job's target.
    pub slack: Millis,
}

impl JobNeeds {
    /// Returns the needs of a job, of which `elapsed` and `time_left` are as of now.
    pub fn of(job: &JobRequest) -> Self {
        let to_target = job.target().as_millis().0.saturating_sub(job.elapsed.0);
        JobNeeds {
            class: job.class.clone(),
            tasks: job.tasks,
            demand: job.demand,
            estimate: job.estimate,
            slack: Millis(to_target).min(job.time_left),
        }
    }

    /// Returns the processor that one task takes, in thousandths of a core.
    pub fn task_cpu_millis(&self) -> u64 {
        u64::from(self.demand.cpu_millis.max(1))
    }

    /// Returns the processor that all tasks together take in the mean of `span`, in thousandths of a core.
    pub fn cpu_millis_for(&self, span: Millis) -> u64 {
        let cpu_millis = u64::from(self.tasks) * self.task_cpu_millis();
        cpu_millis.saturating_mul(self.estimate.min(span).0) / span.0.max(1)
    }
}

/// Returns the time after which the last task of a job ends in a pool that has capacity, without the
/// transit to the pool.
pub fn time_to_end(load: &PoolLoad, needs: &JobNeeds) -> Millis {
    let run = at_speed(load, needs.estimate.0);
    let room = room_wait_ms(load, needs);
    let wait = match class_wait(load, &needs.class) {
        // Contains the wait for room.
        Some(wait) => wait.0.max(room),
        None => queue_wait(load).0.saturating_add(room),
    };
    Millis(wait.saturating_add(run))
}

/// Returns the time that a pool takes to process its queue.
pub fn queue_wait(load: &PoolLoad) -> Millis {
    Millis(at_speed(load, load.waiting_work) / load.capacity_cpu_millis.max(1))
}

/// Returns the room that a pool has for new jobs within `span`, in thousandths of a core: what is free
/// and what runs that end release, less what the queue takes.
pub fn room_within(load: &PoolLoad, span: Millis) -> u64 {
    let busy = busy_cpu_millis(load);
    let turnover = turnover_ms(load);
    if turnover == 0 {
        return match load.waiting_work {
            0 => load.free_cpu_millis,
            _ => 0,
        };
    }
    let released = busy.saturating_mul(span.0.min(turnover)) / turnover;
    let queued = load.waiting_work / turnover;
    (load.free_cpu_millis.saturating_add(released)).saturating_sub(queued)
}

/// Returns whether a pool admits every job of a class.
pub fn admits_all_of(load: &PoolLoad, class: &ClassId) -> bool {
    match load.overload {
        OverloadState::Normal => true,
        OverloadState::Overloaded => {
            admission(load, class).is_none_or(|admission| admission.admitted == Share::ALL)
        }
        OverloadState::Saturated => false,
    }
}

fn admission<'a>(load: &'a PoolLoad, class: &ClassId) -> Option<&'a ClassAdmission> {
    load.admissions.iter().find(|other| other.class == *class)
}

/// Returns the wait that an overloaded pool reports for a class.
fn class_wait(load: &PoolLoad, class: &ClassId) -> Option<Millis> {
    let is_overloaded = load.overload != OverloadState::Normal;
    let admission = is_overloaded.then(|| admission(load, class)).flatten();
    admission.map(|admission| admission.wait)
}

/// Returns the time until runs that end have made room for the tasks that do not fit now.
fn room_wait_ms(load: &PoolLoad, needs: &JobNeeds) -> u64 {
    let fitting = load.free_cpu_millis / needs.task_cpu_millis();
    let unplaced = u64::from(needs.tasks).saturating_sub(fitting) * needs.task_cpu_millis();
    let busy = load
        .capacity_cpu_millis
        .saturating_sub(load.free_cpu_millis);
    let turnover = match busy {
        0 => 0,
        _ => load.running_work.saturating_mul(2) / busy,
    };
    if turnover > 0 && unplaced <= busy {
        return unplaced.saturating_mul(turnover) / busy;
    }
    let rest = unplaced - unplaced.min(busy * u64::from(turnover > 0));
    let work = at_speed(load, rest.saturating_mul(needs.estimate.0));
    turnover.saturating_add(work / load.capacity_cpu_millis.max(1))
}

fn busy_cpu_millis(load: &PoolLoad) -> u64 {
    load.capacity_cpu_millis
        .saturating_sub(load.free_cpu_millis)
}

/// Returns the time until all that runs has ended; 0 if it is not known.
fn turnover_ms(load: &PoolLoad) -> u64 {
    match busy_cpu_millis(load) {
        0 => 0,
        busy => load.running_work.saturating_mul(2) / busy,
    }
}

/// Returns the time or work that an estimate amounts to at the mean speed of the pool's executors.
fn at_speed(load: &PoolLoad, estimate: u64) -> u64 {
    match u64::from(load.speed_millis) {
        0 => estimate,
        speed => estimate.saturating_mul(FULL_SPEED_MILLIS) / speed,
    }
}
