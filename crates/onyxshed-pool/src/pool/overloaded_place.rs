//! Which tasks of an overloaded pool start next, and where.
//!
//! Waiting tasks of jobs that have begun go first, least time to their latest start first. A job
//! begins only if each of its tasks has a place on an executor that ends it on target: in room that
//! is free now, or in room that running tasks are expected to make by its latest start and that is
//! not promised. Class shares decide which class begins next. Tasks go to the slowest executor that
//! ends them on target with some time to spare, so that fast ones remain for long tasks.

use std::cmp::Reverse;

use onyxshed_core::{Micros, Mono};

use super::Pool;
use super::fit::AvailableExecutor;
use crate::id::{ClassId, JobId};
use crate::job::Job;
use crate::room_forecast::SpeedBand;
use crate::speed::scaled;

/// Maximum number of committed jobs considered at an event.
const COMMITTED_MAX: usize = 32;

/// Maximum number of jobs of a class considered at an event.
const CANDIDATES_MAX: usize = 4;

/// Part of the expected run time that a task should have to spare on a slow executor.
const MARGIN: f64 = 0.1;

/// Score of an executor for a task, where less is better: whether the task would be late there or
/// nearly so, its expected run time if it would, the speed band, and the processor that would remain
/// free.
type Score = (bool, Micros, Reverse<SpeedBand>, u32);

/// Jobs of one class that may begin next, in order of arrival.
struct Candidates {
    jobs: Vec<JobId>,
    /// Whether the first job still keeps the others from beginning before it.
    is_held: bool,
}

impl Pool {
    /// Starts waiting tasks of jobs that have begun, then begins jobs.
    pub(super) fn place_overloaded(&mut self, now: Mono) {
        for id in std::mem::take(&mut self.requeued) {
            self.update_commitment(now, id);
        }
        if !self.can_place() {
            return;
        }
        let Some(min_cpu_millis) = self.least_waiting_demand() else {
            return;
        };
        let mut available = self.available_executors(now, min_cpu_millis);
        if available.is_empty() {
            return;
        }
        for id in self.first_committed() {
            self.place_begun(now, id, &mut available, min_cpu_millis);
        }
        while !available.is_empty() && self.begin_next(now, &mut available, min_cpu_millis) {}
    }

    /// Begins a job that has just arrived if executors have room for it that those before it did not
    /// take.
    pub(super) fn begin_on_arrival(&mut self, now: Mono, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.has_started) else {
            return;
        };
        let demand = job.request.demand.cpu_millis;
        let mut available = self.available_executors(now, demand);
        if self.can_place() && self.can_begin(now, id, &available) {
            self.place_begun(now, id, &mut available, demand);
        }
    }

    /// Returns whether each task of a job has a place in room that is free now.
    pub(super) fn has_free_places(&self, now: Mono, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let available = self.available_executors(now, job.request.demand.cpu_millis);
        self.free_places(now, job, &available) >= u64::from(job.waiting)
    }

    fn first_committed(&self) -> Vec<JobId> {
        let waiting = self.plan.iter().flat_map(|plan| plan.commitments.waiting());
        waiting.map(|(_, id)| id).take(COMMITTED_MAX).collect()
    }

    /// Returns the least demand of the tasks that may start at this event, in thousandths of a core.
    fn least_waiting_demand(&self) -> Option<u32> {
        let plan = self.plan.as_ref()?;
        let committed = plan.commitments.waiting().map(|(_, id)| id);
        let queued = plan.queues.classes();
        let queued = queued.flat_map(|class| plan.queues.of_class(class).take(CANDIDATES_MAX));
        let late = plan.late.keys().copied().take(CANDIDATES_MAX);
        let ids = committed.take(COMMITTED_MAX).chain(queued).chain(late);
        ids.filter_map(|id| self.jobs.get(&id))
            .map(|job| job.request.demand.cpu_millis)
            .min()
    }

    /// Starts as many waiting tasks of a job as have a place now. Returns whether any was started.
    fn place_begun(
        &mut self,
        now: Mono,
        id: JobId,
        available: &mut Vec<AvailableExecutor>,
        min_cpu_millis: u32,
    ) -> bool {
        let mut has_started = false;
        while let Some(job) = self.jobs.get(&id)
            && let Some(index) = job.next_waiting_task()
            && let Some((chosen, expected)) = self.choose_overloaded(now, job, index, available)
        {
            let executor = available[chosen].id.clone();
            if !self.start_run(now, id, index, &executor, expected) {
                break;
            }
            self.refresh_available(now, available, chosen, min_cpu_millis);
            has_started = true;
        }
        if has_started {
            self.commit_job(now, id);
        }
        has_started
    }

    /// Selects the executor of a task: the slowest that ends it on target, or the fastest while less
    /// is offered than the pool has room for, then the one on which the least processor remains free. A job that has missed its latest start takes the fastest on
    /// which its answer is useful. Returns the index of the candidate and the expected run time.
    fn choose_overloaded(
        &self,
        now: Mono,
        job: &Job,
        index: u16,
        available: &[AvailableExecutor],
    ) -> Option<(usize, Micros)> {
        let times = self.times_of(now, job);
        let plan = self.plan.as_ref()?;
        let fast_factor = plan.fast_factor;
        let has_spare_room = self.offered_load.cpu_millis(now) < plan.room;
        let is_late = now > times.latest_start(fast_factor);
        let mut best: Option<(Score, usize, Micros)> = None;
        for (position, candidate) in available.iter().enumerate() {
            let Some((expected, cpu_left)) = self.fit(now, job, index, candidate) else {
                continue;
            };
            let ends_at = now + scaled(expected, times.correction);
            let margin = scaled(expected, MARGIN);
            let score = if has_spare_room && ends_at <= times.end_by {
                (false, expected, Reverse(SpeedBand::of(1.0)), cpu_left)
            } else if ends_at + margin <= times.end_by {
                let band = SpeedBand::of(candidate.slowdown);
                (false, Micros(0), Reverse(band), cpu_left)
            } else if ends_at <= times.end_by || is_late && ends_at <= times.useful_end_by {
                (true, expected, Reverse(SpeedBand::of(1.0)), cpu_left)
            } else {
                continue;
            };
            if best.is_none_or(|(best_score, ..)| score < best_score) {
                best = Some((score, position, expected));
            }
        }
        best.map(|(_, position, expected)| (position, expected))
    }

    /// Begins the next job that has a place for each of its tasks, and returns whether there was
    /// one.
    fn begin_next(
        &mut self,
        now: Mono,
        available: &mut Vec<AvailableExecutor>,
        min_cpu_millis: u32,
    ) -> bool {
        let Some(id) = self.next_to_begin(now, available) else {
            return false;
        };
        self.place_begun(now, id, available, min_cpu_millis)
    }

    fn next_to_begin(&self, now: Mono, available: &[AvailableExecutor]) -> Option<JobId> {
        let plan = self.plan.as_ref()?;
        let mut order: Vec<ClassId> = plan.queues.classes().cloned().collect();
        self.class_shares.sort(now, &mut order);
        let classes: Vec<Candidates> = order
            .iter()
            .map(|class| self.candidates_of(now, class))
            .collect();
        let first = |candidates: &Candidates| match candidates.is_held {
            true => 1,
            false => CANDIDATES_MAX,
        };
        let in_turn = classes
            .iter()
            .flat_map(|candidates| candidates.jobs.iter().take(first(candidates)));
        // Room that no class can use in turn goes to jobs behind a head that holds its class.
        let behind = classes
            .iter()
            .flat_map(|candidates| candidates.jobs.iter().skip(first(candidates)));
        let mut waiting = in_turn.chain(behind).copied();
        let found = waiting.find(|id| self.can_begin(now, *id, available));
        found.or_else(|| self.next_late(now, available))
    }

    fn candidates_of(&self, now: Mono, class: &ClassId) -> Candidates {
        let Some(plan) = &self.plan else {
            return Candidates {
                jobs: Vec::new(),
                is_held: false,
            };
        };
        let jobs: Vec<JobId> = plan.queues.of_class(class).take(CANDIDATES_MAX).collect();
        let head = jobs.first().and_then(|id| plan.queues.get(*id));
        let is_held = head.is_some_and(|head| now < head.holds_until());
        Candidates { jobs, is_held }
    }

    /// Returns a job that can only be late, if nothing that can be on target waits.
    fn next_late(&self, now: Mono, available: &[AvailableExecutor]) -> Option<JobId> {
        let plan = self.plan.as_ref()?;
        if plan.has_on_target() {
            return None;
        }
        let mut late = plan.late.keys().copied().take(CANDIDATES_MAX);
        late.find(|id| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| self.useful_places(now, job, available) >= u64::from(job.waiting))
        })
    }

    /// Returns whether each task of a job has a place on target, at least one of them now.
    fn can_begin(&self, now: Mono, id: JobId, available: &[AvailableExecutor]) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let places = self.free_places(now, job, available);
        let missing = u64::from(job.waiting).saturating_sub(places);
        if missing == 0 || places == 0 {
            return places > 0;
        }
        self.has_promisable_room(now, job, missing * u64::from(job.request.demand.cpu_millis))
    }

    /// Returns whether running tasks are expected to make `cpu_millis` of room that is not promised
    /// in time for a job.
    fn has_promisable_room(&self, now: Mono, job: &Job, cpu_millis: u64) -> bool {
        let Some(plan) = &self.plan else {
            return false;
        };
        let times = self.times_of(now, job);
        let latest_start = times.latest_start(plan.fast_factor);
        let freed: u64 = SpeedBand::all()
            .map(|band| {
                plan.forecast
                    .freed_by(band, times.latest_start(band.factor()))
            })
            .sum();
        let promised = plan.commitments.promised_until(latest_start);
        if promised + cpu_millis > freed {
            return false;
        }
        // Tasks that start later count on the same room.
        let (promised, last_start) = plan.commitments.promised();
        let freed: u64 = SpeedBand::all()
            .map(|band| plan.forecast.freed_by(band, last_start.max(latest_start)))
            .sum();
        promised + cpu_millis <= freed
    }

    /// Returns how many tasks of a job have a place on target now.
    fn free_places(&self, now: Mono, job: &Job, available: &[AvailableExecutor]) -> u64 {
        let times = self.times_of(now, job);
        self.places(now, job, available, |expected| {
            now + scaled(expected, times.correction) <= times.end_by
        })
    }

    fn useful_places(&self, now: Mono, job: &Job, available: &[AvailableExecutor]) -> u64 {
        let times = self.times_of(now, job);
        self.places(now, job, available, |expected| {
            now + scaled(expected, times.correction) <= times.useful_end_by
        })
    }

    fn places(
        &self,
        now: Mono,
        job: &Job,
        available: &[AvailableExecutor],
        is_in_time: impl Fn(Micros) -> bool,
    ) -> u64 {
        let Some(index) = job.next_waiting_task() else {
            return 0;
        };
        let mut places = 0;
        for candidate in available {
            let fit = self.fit(now, job, index, candidate);
            if fit.is_some_and(|(expected, _)| is_in_time(expected)) {
                let fitting = u64::from(candidate.free.count_of(job.request.demand));
                let limit = job.request.per_executor_max.map_or(u64::MAX, u64::from);
                places += fitting.min(limit);
            }
            if places >= u64::from(job.waiting) {
                break;
            }
        }
        places
    }
}
