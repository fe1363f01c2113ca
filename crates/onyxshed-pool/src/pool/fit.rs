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
pub(super) struct Place {
    pub id: ExecutorId,
    pub free: Resources,
    slowdown: f64,
    pub is_slow: bool,
}

impl Place {
    fn of(now: Mono, id: &ExecutorId, executor: &Executor) -> Place {
        Place {
            id: id.clone(),
            free: executor.free,
            slowdown: executor.slowdown.factor(now),
            is_slow: executor.slowdown.is_slow(now),
        }
    }
}

/// Returns the largest free processor share of an executor, in thousandths of a core. Returns `None` if
/// the slice is empty.
pub(super) fn roomiest(places: &[Place]) -> Option<u32> {
    places.iter().map(|place| place.free.cpu_millis).max()
}

impl Pool {
    /// Returns the executors that accept tasks and have at least `least_cpu_millis` free.
    pub(super) fn places(&self, now: Mono, least_cpu_millis: u32) -> Vec<Place> {
        self.executors
            .iter()
            .filter(|(_, executor)| executor.free.cpu_millis >= least_cpu_millis)
            .filter(|(_, executor)| executor.takes_work(now, &self.options))
            .map(|(id, executor)| Place::of(now, id, executor))
            .collect()
    }

    /// Returns the executor `id` as a candidate for tasks, or `None` if it accepts no tasks now.
    pub(super) fn place_of(&self, now: Mono, id: &ExecutorId) -> Option<Place> {
        let executor = self.executors.get(id)?;
        let takes_work = executor.takes_work(now, &self.options);
        takes_work.then(|| Place::of(now, id, executor))
    }

    /// Updates a candidate after a task was started on it, and removes it if it has less than `least`
    /// processor free.
    pub(super) fn renew_place(&self, now: Mono, places: &mut Vec<Place>, taken: usize, least: u32) {
        match self.place_of(now, &places[taken].id) {
            Some(place) if place.free.cpu_millis >= least => places[taken] = place,
            _ => {
                places.swap_remove(taken);
            }
        }
    }

    /// Selects the best candidate for a task. Returns its index and the expected run time of the task there,
    /// or `None` if the task can start on no candidate.
    pub(super) fn choose(
        &self,
        now: Mono,
        job: &Job,
        index: u16,
        places: &[Place],
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
    pub(super) fn fit(&self, now: Mono, job: &Job, index: u16, place: &Place) -> Option<Fit> {
        if !place.free.can_fit(job.request.demand) {
            return None;
        }
        let executor = self.executors.get(&place.id)?;
        let failed_on = &job.tasks[usize::from(index)].failed_on;
        if !may_run(executor, job) || failed_on.contains(&place.id) {
            return None;
        }
        let expected = scaled(
            job.estimate(),
            place.slowdown * self.remoteness(executor, job),
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
        if self.offered.cpu_millis(now) >= u64::from(self.sound_room.cpu_millis) {
            return None;
        }
        match self.feasibility(now, job) {
            Feasibility::OnTarget => Some(job.target_at()),
            Feasibility::Late => Some(job.useful_until(self.options.late_factor)),
            Feasibility::Expired => None,
        }
    }

    /// Recomputes the total capacity of the usable executors that are not slow.
    pub(super) fn update_sound_room(&mut self, now: Mono) {
        let mut room = Resources::default();
        for executor in self.executors.values() {
            if executor.counts(now, &self.options) && !executor.slowdown.is_slow(now) {
                room += executor.facts.capacity;
            }
        }
        self.sound_room = room;
    }

    /// Returns the factor by which the tasks of a job take longer on an executor outside the rack that
    /// holds their data, or 1.
    fn remoteness(&self, executor: &Executor, job: &Job) -> f64 {
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
fn may_run(executor: &Executor, job: &Job) -> bool {
    let request = &job.request;
    let has_place = match request.per_executor_max {
        Some(most) => executor.tasks_of(request.job) < usize::from(most),
        None => true,
    };
    executor.facts.upstream == request.upstream
        && executor.has_label(request.label.as_ref())
        && has_place
}
