//! What an overloaded pool keeps besides its jobs and executors, and the state of overload.
//!
//! Load answered: more is offered than the executors can do in time. Jobs are then planned: one begins only
//! with a place for each task, and classes share the room. A pool that can run only a few tasks at a time
//! keeps no plan, and the order of the normal state.
//!
//! All of it follows from the jobs and runs, so it is rebuilt when the pool becomes overloaded and
//! dropped when it no longer is. The forecast of room is rebuilt at each tick, which also accounts
//! for executors that stopped answering, drain or have changed their speed.

use std::collections::BTreeMap;

use onyxshed_core::{Micros, Mono};

use super::Pool;
use crate::class_queues::{ClassQueues, QueuedJob};
use crate::commitments::{Commitment, Commitments};
use crate::executor::{Phase, Run};
use crate::id::{ExecutorId, JobId, TaskId};
use crate::job::Job;
use crate::message::Action;
use crate::overload::{OverloadMode, OverloadState};
use crate::room_forecast::{RoomForecast, SpeedBand};
use crate::speed::{as_f64, scaled};

/// Share of the pool's capacity, the fastest executors first, that sets the speed by which latest
/// starts are computed.
const FAST_SHARE: f64 = 0.25;

/// Part of the expected run time that a run is assumed to need still after it.
const OVERDUE_FACTOR: f64 = 0.25;

/// Queues, commitments and forecasts of an overloaded pool.
pub(super) struct OverloadPlan {
    pub forecast: RoomForecast,
    pub commitments: Commitments,
    pub queues: ClassQueues,
    /// Jobs that have not begun and can only be late, with the latest start of use.
    pub late: BTreeMap<JobId, Mono>,
    /// Slowdown factor of fast executors.
    pub fast_factor: f64,
    /// Processor that tasks can use, at the speeds seen, in thousandths of a core.
    pub room: u64,
}

impl OverloadPlan {
    fn new(now: Mono) -> Self {
        OverloadPlan {
            forecast: RoomForecast::new(now),
            commitments: Commitments::default(),
            queues: ClassQueues::default(),
            late: BTreeMap::new(),
            fast_factor: 1.0,
            room: 0,
        }
    }

    /// Returns whether tasks of begun jobs wait, or a job whose latest start has not passed.
    pub fn has_others_on_target(&self, now: Mono) -> bool {
        self.queues.has_on_target(now) || self.commitments.promised().0 > 0
    }

    /// Returns whether a job that can still be on target waits.
    pub fn has_on_target(&self) -> bool {
        !self.queues.is_empty() || self.commitments.promised().0 > 0
    }
}

/// Limits of a job, by its estimate as corrected by its class.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobTimes {
    /// Corrected run time of a task on an executor with slowdown 1.
    pub estimate: Micros,
    /// Correction of the job's own estimate.
    pub correction: f64,
    /// Time by which the last task has to end for the answer to be on target.
    pub end_by: Mono,
    /// Time by which the last task has to end for the answer to be useful.
    pub useful_end_by: Mono,
}

impl JobTimes {
    /// Returns the latest start of a task on an executor that takes `factor` times its estimate.
    pub fn latest_start(&self, factor: f64) -> Mono {
        before(self.end_by, scaled(self.estimate, factor))
    }

    /// Returns the latest start of a task whose answer is to be useful.
    pub fn latest_useful_start(&self, factor: f64) -> Mono {
        before(self.useful_end_by, scaled(self.estimate, factor))
    }
}

fn before(at: Mono, span: Micros) -> Mono {
    Mono(at.0.saturating_sub(span.0))
}

impl Pool {
    /// Sets the state of overload. Overload decisions take effect while the state is not
    /// [`OverloadState::Normal`] and the mode is [`OverloadMode::On`].
    pub fn enter_state(&mut self, now: Mono, state: OverloadState) -> Vec<Action> {
        self.set_overload_state(now, state);
        self.take_actions()
    }

    pub(super) fn set_overload_state(&mut self, now: Mono, state: OverloadState) {
        self.overload_state = state;
        let is_in_effect =
            state != OverloadState::Normal && self.options.overload == OverloadMode::On;
        match (is_in_effect, self.plan.is_some()) {
            (true, false) if !self.has_enough_places(now) => {}
            (true, false) => self.build_plan(now),
            (false, true) => self.plan = None,
            _ => {}
        }
    }

    /// Returns whether the pool can run enough tasks of the mean demand of its jobs at a time for their
    /// places to be planned.
    fn has_enough_places(&self, now: Mono) -> bool {
        let capacity = self.executors.usable_capacity(now, &self.options);
        let demands = self.jobs.values().map(|job| job.request.demand.cpu_millis);
        let total: u64 = demands.map(u64::from).sum();
        let count = u64::try_from(self.jobs.len()).unwrap_or(u64::MAX);
        u64::from(capacity.cpu_millis) * count >= total * self.options.planned_places_min
    }

    pub(super) fn is_overloaded(&self) -> bool {
        self.plan.is_some()
    }

    fn build_plan(&mut self, now: Mono) {
        self.plan = Some(Box::new(OverloadPlan::new(now)));
        self.update_forecast(now);
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in jobs {
            match self.jobs.get(&id).is_some_and(|job| job.has_started) {
                true => self.update_commitment(now, id),
                false => self.queue_job(now, id),
            }
        }
    }

    /// Rebuilds the forecast from the runs and divides the room among the classes. Called at each
    /// tick.
    pub(super) fn update_forecast(&mut self, now: Mono) {
        let Some(mut plan) = self.plan.take() else {
            return;
        };
        plan.forecast.clear(now);
        let (mut capacity, mut used, mut room) = (0_u64, 0_u64, 0.0);
        let mut factors = Vec::new();
        for executor in self.executors.iter_unindexed_mut() {
            if !executor.is_usable(now, &self.options) || executor.phase != Phase::Acquired {
                executor.runs.values_mut().for_each(|run| run.room = None);
                continue;
            }
            let cpu = u64::from(executor.facts.capacity.cpu_millis);
            let factor = executor.slowdown.factor(now);
            capacity += cpu;
            used += cpu - u64::from(executor.free.cpu_millis).min(cpu);
            room += as_f64(cpu) / factor;
            factors.push((factor, cpu));
            let band = SpeedBand::of(factor);
            for (task, run) in &mut executor.runs {
                let expected = match self.jobs.get(&task.job) {
                    Some(job) if job.log_ratio.1 == 0 => {
                        let ratio = self.class_estimates.factor(now, &job.request.class);
                        scaled(run.expected, ratio)
                    }
                    _ => run.expected,
                };
                let ends_at = run.ordered_at + expected;
                let ends_at = ends_at.max(now + scaled(expected, OVERDUE_FACTOR));
                run.room = plan.forecast.add(band, ends_at, run.demand.cpu_millis);
            }
        }
        if plan.has_on_target() {
            plan.forecast.record_use(used, capacity);
        }
        plan.fast_factor = fast_factor(&mut factors, capacity);
        plan.room = scaled_room(room * plan.forecast.usable_share());
        self.class_shares.divide(now, plan.room);
        self.plan = Some(plan);
    }

    /// Enters a run that starts on an executor in the forecast.
    pub(super) fn forecast_run(&mut self, now: Mono, id: &ExecutorId, task: TaskId) {
        let (Some(plan), Some(mut executor)) = (self.plan.as_mut(), self.executors.get_mut(id))
        else {
            return;
        };
        let band = SpeedBand::of(executor.slowdown.factor(now));
        if let Some(run) = executor.runs.get_mut(&task) {
            let ends_at = run.ordered_at + run.expected;
            run.room = plan.forecast.add(band, ends_at, run.demand.cpu_millis);
        }
    }

    /// Removes a run that no longer executes from its executor and from the forecast.
    pub(super) fn remove_run(&mut self, id: &ExecutorId, task: TaskId) {
        if let Some(run) = self.executors.remove_run(id, task) {
            self.forget_room(&run);
        }
    }

    /// Removes a run that has ended from the forecast.
    pub(super) fn forget_room(&mut self, run: &Run) {
        if let (Some(plan), Some(slot)) = (self.plan.as_mut(), run.room) {
            plan.forecast.remove(slot, run.demand.cpu_millis);
        }
    }

    /// Returns the limits of a job.
    pub(super) fn times_of(&self, now: Mono, job: &Job) -> JobTimes {
        let correction = match job.log_ratio.1 {
            0 => self.class_estimates.factor(now, &job.request.class),
            _ => 1.0,
        };
        let estimate = scaled(job.estimate(), correction);
        let target = job.request.target_for(estimate);
        let transit = self.options.transit_ms.into();
        let useful = job.arrived_at + Micros(target.0 * self.options.late_factor);
        JobTimes {
            estimate,
            correction,
            end_by: before((job.arrived_at + target).min(job.caller_deadline), transit),
            useful_end_by: before(useful.min(job.caller_deadline), transit),
        }
    }

    /// Updates what a job that has begun still needs. Does nothing if the job has not begun.
    pub(super) fn update_commitment(&mut self, now: Mono, id: JobId) {
        let (Some(plan), Some(job)) = (&self.plan, self.jobs.get(&id)) else {
            return;
        };
        if !job.has_started {
            return;
        }
        let times = self.times_of(now, job);
        let commitment = Commitment {
            latest_start: times.latest_start(plan.fast_factor),
            give_up_at: match job.waiting {
                0 => times.useful_end_by + self.options.transit_ms,
                _ => times.latest_useful_start(plan.fast_factor),
            },
            waiting_cpu_millis: u64::from(job.waiting) * u64::from(job.request.demand.cpu_millis),
        };
        if let Some(plan) = &mut self.plan {
            plan.commitments.set(id, commitment);
        }
    }

    /// Adds a job that has not begun to the queue of its class.
    pub(super) fn queue_job(&mut self, now: Mono, id: JobId) {
        let (Some(plan), Some(job)) = (&self.plan, self.jobs.get(&id)) else {
            return;
        };
        let times = self.times_of(now, job);
        let queued = QueuedJob {
            class: job.request.class.clone(),
            arrived_at: job.arrived_at,
            queued_at: now,
            latest_start: times.latest_start(plan.fast_factor),
            work: job.request.work(),
        };
        if let Some(plan) = &mut self.plan {
            plan.queues.insert(id, queued);
        }
    }

    /// Moves a job whose first run was ordered from the queue of its class to the commitments.
    pub(super) fn commit_job(&mut self, now: Mono, id: JobId) {
        let Some(plan) = &mut self.plan else {
            return;
        };
        plan.late.remove(&id);
        if let Some(queued) = plan.queues.remove(id) {
            self.class_shares
                .record_begun(now, &queued.class, queued.work);
        }
        self.update_commitment(now, id);
    }

    /// Removes a job that has ended.
    pub(super) fn forget_job(&mut self, id: JobId) {
        if let Some(plan) = &mut self.plan {
            plan.queues.remove(id);
            plan.commitments.remove(id);
            plan.late.remove(&id);
        }
    }
}

/// Returns the slowdown factor below which the fastest executors make up [`FAST_SHARE`] of the
/// capacity.
fn fast_factor(factors: &mut [(f64, u64)], capacity: u64) -> f64 {
    factors.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
    let mut counted = 0;
    for (factor, cpu) in factors.iter() {
        counted += cpu;
        if as_f64(counted) >= FAST_SHARE * as_f64(capacity) {
            return *factor;
        }
    }
    1.0
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled_room(room: f64) -> u64 {
    room.max(0.0) as u64
}
