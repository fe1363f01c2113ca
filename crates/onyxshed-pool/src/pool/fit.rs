//! Selection of the executor for a task.
//!
//! A job ends with its last task, so each task goes to the executor that is expected to finish it first
//! and, among equals, to the one with the least free processor left over (best fit). A slow executor
//! gets a task only if the task can still end in time there, as long as the other executors can handle
//! the offered load.

use onyxshed_core::{Micros, Mono};

use super::Pool;
use super::place::Feasibility;
use crate::executor::Executor;
use crate::id::ExecutorId;
use crate::job::Job;
use crate::resources::Resources;
use crate::speed::scaled;

/// Score of an executor for a task, less is better: the expected run time there, then the processor
/// left over in thousandths of a core.
pub(super) type Fit = (Micros, u32);

/// An executor that accepts tasks, with its free resources and its slowdown.
pub(super) struct AvailableExecutor {
    pub id: ExecutorId,
    pub free: Resources,
    slowdown: f64,
    pub is_slow: bool,
}

impl AvailableExecutor {
    fn of(now: Mono, id: &ExecutorId, executor: &Executor) -> AvailableExecutor {
        AvailableExecutor {
            id: id.clone(),
            free: executor.free,
            slowdown: executor.slowdown.factor(now),
            is_slow: executor.slowdown.is_slow(now),
        }
    }
}

/// Returns the largest free processor share of an executor, in thousandths of a core. Returns `None` if
/// the slice is empty.
pub(super) fn max_free_cpu_millis(places: &[AvailableExecutor]) -> Option<u32> {
    places.iter().map(|place| place.free.cpu_millis).max()
}

impl Pool {
    /// Returns the executors that accept tasks and have at least `least_cpu_millis` free.
    pub(super) fn available_executors(
        &self,
        now: Mono,
        least_cpu_millis: u32,
    ) -> Vec<AvailableExecutor> {
        self.executors
            .iter()
            .filter(|(_, executor)| executor.free.cpu_millis >= least_cpu_millis)
            .filter(|(_, executor)| executor.can_accept_tasks(now, &self.options))
            .map(|(id, executor)| AvailableExecutor::of(now, id, executor))
            .collect()
    }

    /// Returns the executor `id` as a candidate for tasks, or `None` if it accepts no tasks now.
    pub(super) fn available_executor(
        &self,
        now: Mono,
        id: &ExecutorId,
    ) -> Option<AvailableExecutor> {
        let executor = self.executors.get(id)?;
        let takes_work = executor.can_accept_tasks(now, &self.options);
        takes_work.then(|| AvailableExecutor::of(now, id, executor))
    }

    /// Updates a candidate after a task was started on it, and removes it if it has less than `least`
    /// processor free.
    pub(super) fn refresh_available(
        &self,
        now: Mono,
        places: &mut Vec<AvailableExecutor>,
        taken: usize,
        least: u32,
    ) {
        match self.available_executor(now, &places[taken].id) {
            Some(place) if place.free.cpu_millis >= least => places[taken] = place,
            _ => {
                places.swap_remove(taken);
            }
        }
    }

    /// Selects the best candidate for a task. Returns its index and the expected run time of the task there,
    /// or `None` if the task can start on no candidate.
    pub(super) fn choose_executor(
        &self,
        now: Mono,
        job: &Job,
        index: u16,
        places: &[AvailableExecutor],
    ) -> Option<(usize, Micros)> {
        let mut best: Option<(Fit, usize)> = None;
        for (number, place) in places.iter().enumerate() {
            let Some(fit) = self.fit(now, job, index, place) else {
                continue;
            };
            if best.is_none_or(|(least, _)| fit < least) {
                best = Some((fit, number));
            }
        }
        best.map(|((expected, _), number)| (number, expected))
    }

    /// Returns the score of a candidate for a task, or `None` if the task must not start there.
    pub(super) fn fit(
        &self,
        now: Mono,
        job: &Job,
        index: u16,
        place: &AvailableExecutor,
    ) -> Option<Fit> {
        if !place.free.can_fit(job.request.demand) {
            return None;
        }
        let executor = self.executors.get(&place.id)?;
        let failed_on = &job.tasks[usize::from(index)].failed_on;
        if !can_run(executor, job) || failed_on.contains(&place.id) {
            return None;
        }
        let expected = scaled(
            job.estimate(),
            place.slowdown * self.remote_factor(executor, job),
        );
        let ends_too_late = || {
            let deadline = self.slow_deadline(now, job);
            deadline.is_some_and(|limit| now + expected > limit)
        };
        if place.is_slow && ends_too_late() {
            return None;
        }
        let room_left = place.free.saturating_sub(job.request.demand).cpu_millis;
        Some((expected, room_left))
    }

    /// Returns the time by which a task must end on a slow executor to be placed there. Returns `None` if
    /// there is no such limit, because the job has expired anyway or the offered load exceeds the capacity
    /// of the other executors.
    fn slow_deadline(&self, now: Mono, job: &Job) -> Option<Mono> {
        if self.offered.cpu_millis(now) >= u64::from(self.full_speed_capacity.cpu_millis) {
            return None;
        }
        match self.feasibility(now, job) {
            Feasibility::OnTarget => Some(job.target_at()),
            Feasibility::Late => Some(job.useful_until(self.options.late_factor)),
            Feasibility::Expired => None,
        }
    }

    /// Recomputes the total capacity of the usable executors that are not slow.
    pub(super) fn update_full_speed_capacity(&mut self, now: Mono) {
        let mut room = Resources::default();
        for executor in self.executors.values() {
            if executor.is_usable(now, &self.options) && !executor.slowdown.is_slow(now) {
                room += executor.facts.capacity;
            }
        }
        self.full_speed_capacity = room;
    }

    /// Returns the factor by which the tasks of a job take longer on an executor outside the rack that
    /// holds their data, or 1.
    fn remote_factor(&self, executor: &Executor, job: &Job) -> f64 {
        let wanted = job.request.data_rack.as_ref();
        let is_remote = wanted.is_some() && wanted != executor.facts.rack.as_ref();
        match is_remote {
            true => f64::from(self.options.remote_millis) / 1_000.0,
            false => 1.0,
        }
    }
}

/// Returns whether a job's upstream, label and limit of tasks per executor permit another task of it on
/// the executor.
fn can_run(executor: &Executor, job: &Job) -> bool {
    let request = &job.request;
    let has_place = match request.per_executor_max {
        Some(most) => executor.task_count(request.job) < usize::from(most),
        None => true,
    };
    executor.facts.upstream == request.upstream
        && executor.has_label(request.label.as_ref())
        && has_place
}
