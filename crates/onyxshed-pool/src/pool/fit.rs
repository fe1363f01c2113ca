//! Where a task may start.
//!
//! A job is as late as its last task, so each task goes to the executor that is expected to end it first,
//! and among equals to the one with the least room left over. A slow executor gets a task only if its job
//! bears it, as long as the others can do what is offered.

use onyxshed_core::{Micros, Mono};

use super::Pool;
use super::place::Feasibility;
use crate::executor::Executor;
use crate::id::ExecutorId;
use crate::job::Job;
use crate::resources::Resources;
use crate::speed::scaled;

/// How well an executor suits a task; less is better: the task's time there, then the room left.
pub(super) type Fit = (Micros, u32);

/// An executor that takes work, its free room, and how slow it is.
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

/// Gets the most processor room at one place, in thousandths of a core; none without places.
pub(super) fn roomiest(places: &[Place]) -> Option<u32> {
    places.iter().map(|place| place.free.cpu_millis).max()
}

impl Pool {
    /// Gets the executors that have room for a task of a size, with how slow they are.
    pub(super) fn places(&self, now: Mono, least_cpu_millis: u32) -> Vec<Place> {
        self.executors
            .iter()
            .filter(|(_, executor)| executor.free.cpu_millis >= least_cpu_millis)
            .filter(|(_, executor)| executor.takes_work(now, &self.options))
            .map(|(id, executor)| Place::of(now, id, executor))
            .collect()
    }

    /// Gets an executor as a place; none if it takes no work.
    pub(super) fn place_of(&self, now: Mono, id: &ExecutorId) -> Option<Place> {
        let executor = self.executors.get(id)?;
        let takes_work = executor.takes_work(now, &self.options);
        takes_work.then(|| Place::of(now, id, executor))
    }

    /// Takes in that a task was started at a place, and drops the place if it has no room left.
    pub(super) fn renew_place(&self, now: Mono, places: &mut Vec<Place>, taken: usize, least: u32) {
        match self.place_of(now, &places[taken].id) {
            Some(place) if place.free.cpu_millis >= least => places[taken] = place,
            _ => {
                places.swap_remove(taken);
            }
        }
    }

    /// Chooses a place for a task, with the time that the task is expected to take there.
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

    /// Gets how well a place suits a task; none if the task must not start there.
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

    /// Gets by when a task has to end on a slow executor to be placed there; none if it may be placed
    /// anywhere, since the offered load exceeds what the other executors can do.
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

    /// Updates the total room of the executors that are not slow.
    pub(super) fn update_sound_room(&mut self, now: Mono) {
        let mut room = Resources::default();
        for executor in self.executors.values() {
            if executor.counts(now, &self.options) && !executor.slowdown.is_slow(now) {
                room += executor.facts.capacity;
            }
        }
        self.sound_room = room;
    }

    /// Gets how many times longer a job's tasks take because their data is elsewhere.
    fn remoteness(&self, executor: &Executor, job: &Job) -> f64 {
        let wanted = job.request.data_rack.as_ref();
        let is_remote = wanted.is_some() && wanted != executor.facts.rack.as_ref();
        match is_remote {
            true => f64::from(self.options.remote_millis) / 1_000.0,
            false => 1.0,
        }
    }
}

/// Tells whether an executor that takes work and has room may run a task of a job.
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
