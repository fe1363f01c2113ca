//! Selection of the executor for a task.
//!
//! A job ends with its last task, so each task goes to the executor with the shortest expected run
//! time and, among equals, to the executor on which the least processor would remain free (best
//! fit). A slow executor gets a task only if the task can still end in time there, as long as the
//! other executors can handle the offered load.

use onyxshed_core::{Micros, Mono};

use super::Pool;
use super::place::Feasibility;
use crate::executor::Executor;
use crate::id::ExecutorId;
use crate::job::Job;
use crate::resources::Resources;
use crate::speed::scaled;

/// Score of an executor for a task, where less is better: the expected run time there, then the
/// processor that would remain free, in thousandths of a core.
pub(super) type Fit = (Micros, u32);

/// Free resources and slowdown of an executor that accepts tasks.
pub(super) struct AvailableExecutor {
    pub id: ExecutorId,
    pub free: Resources,
    pub slowdown: f64,
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

/// Returns the largest free processor share of one of the executors, in thousandths of a core, or
/// `None` if the slice is empty.
pub(super) fn max_free_cpu_millis(available: &[AvailableExecutor]) -> Option<u32> {
    available
        .iter()
        .map(|candidate| candidate.free.cpu_millis)
        .max()
}

impl Pool {
    /// Returns the executors that accept tasks and have at least `min_cpu_millis` free.
    pub(super) fn available_executors(
        &self,
        now: Mono,
        min_cpu_millis: u32,
    ) -> Vec<AvailableExecutor> {
        self.executors
            .with_free_cpu(min_cpu_millis)
            .into_iter()
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
        let can_accept = executor.can_accept_tasks(now, &self.options);
        can_accept.then(|| AvailableExecutor::of(now, id, executor))
    }

    /// Updates a candidate after a task was started on it, and removes it if less than `min_cpu_millis` is
    /// free on it.
    pub(super) fn refresh_available(
        &self,
        now: Mono,
        available: &mut Vec<AvailableExecutor>,
        chosen: usize,
        min_cpu_millis: u32,
    ) {
        match self.available_executor(now, &available[chosen].id) {
            Some(candidate) if candidate.free.cpu_millis >= min_cpu_millis => {
                available[chosen] = candidate
            }
            _ => {
                available.swap_remove(chosen);
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
        available: &[AvailableExecutor],
    ) -> Option<(usize, Micros)> {
        let mut best: Option<(Fit, usize)> = None;
        for (position, candidate) in available.iter().enumerate() {
            let Some(fit) = self.fit(now, job, index, candidate) else {
                continue;
            };
            if best.is_none_or(|(best_fit, _)| fit < best_fit) {
                best = Some((fit, position));
            }
        }
        best.map(|((expected, _), position)| (position, expected))
    }

    /// Returns the score of a candidate for a task, or `None` if the task must not start there.
    pub(super) fn fit(
        &self,
        now: Mono,
        job: &Job,
        index: u16,
        candidate: &AvailableExecutor,
    ) -> Option<Fit> {
        if !candidate.free.can_fit(job.request.demand) {
            return None;
        }
        let executor = self.executors.get(&candidate.id)?;
        let failed_on = &job.tasks[usize::from(index)].failed_on;
        if !can_run(executor, job) || failed_on.contains(&candidate.id) {
            return None;
        }
        let expected = scaled(
            job.estimate(),
            candidate.slowdown * self.remote_factor(executor, job),
        );
        let ends_too_late = || {
            let deadline = self.slow_deadline(now, job);
            deadline.is_some_and(|limit| now + expected > limit)
        };
        if candidate.is_slow && ends_too_late() {
            return None;
        }
        let cpu_left = candidate.free.saturating_sub(job.request.demand).cpu_millis;
        Some((expected, cpu_left))
    }

    /// Returns the time by which a task must end on a slow executor to be placed there. Returns `None` if
    /// there is no such limit, because the job has expired anyway or the offered load exceeds the capacity
    /// of the other executors.
    fn slow_deadline(&self, now: Mono, job: &Job) -> Option<Mono> {
        if self.offered_load.cpu_millis(now) >= u64::from(self.full_speed_capacity.cpu_millis) {
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
        let mut capacity = Resources::default();
        for executor in self.executors.values() {
            if executor.is_usable(now, &self.options) && !executor.slowdown.is_slow(now) {
                capacity += executor.facts.capacity;
            }
        }
        self.full_speed_capacity = capacity;
    }

    /// Returns the factor on the run time of a job's tasks on an executor: `remote_millis` / 1,000
    /// if the job's data is in another rack or the executor's rack is unknown, otherwise 1.
    fn remote_factor(&self, executor: &Executor, job: &Job) -> f64 {
        let data_rack = job.request.data_rack.as_ref();
        let is_remote = data_rack.is_some() && data_rack != executor.facts.rack.as_ref();
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
    let is_below_limit = match request.per_executor_max {
        Some(limit) => executor.task_count(request.job) < usize::from(limit),
        None => true,
    };
    executor.facts.upstream == request.upstream
        && executor.has_label(request.label.as_ref())
        && is_below_limit
}
