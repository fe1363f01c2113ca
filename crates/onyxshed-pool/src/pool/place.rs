//! The order of the queue and the start of runs.
//!
//! The job with the least waiting work goes first, since this serves the most callers when the load
//! exceeds the pool's capacity. The work of a job that can no longer meet its target counts five times:
//! a late answer is worth a fifth to its caller, so such a job continues only if little of it is left.
//! Jobs whose answers would be useless go last; [`super::admission`] sheds those that have not started.
//!
//! [`super::fit`] selects the executor.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use onyxshed_core::{Micros, Mono};

use super::Pool;
use super::evacuation::ZoneStatus;
use super::fit::{AvailableExecutor, max_free_cpu_millis};
use crate::executor::{Run, RunState};
use crate::id::{ExecutorId, JobId};
use crate::job::Job;
use crate::message::{Action, Decision, StartOrder};

/// Sort key of a job in the queue, smallest first: expired or not, weighted waiting work, arrival, id.
type Rank = (bool, u64, Mono, JobId);

/// A task that may start on an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Placement {
    rank: Rank,
    pub job: JobId,
    index: u16,
    /// Expected run time on the executor.
    expected: Micros,
}

/// Factor on the waiting work of a job that can only be late. Such a job continues only if little of it
/// is left.
pub(super) const LATE_WEIGHT: u64 = 5;

/// Number of waiting jobs that fit an executor up to which all of them are ranked.
const FEW_JOBS: usize = 8;

/// The best outcome that a job can still reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Feasibility {
    /// The job can end within its target.
    OnTarget,
    /// The job can end only after its target, while its answer is still useful.
    Late,
    /// The job can't end before its answer becomes useless.
    Expired,
}

impl Pool {
    /// Starts the waiting tasks of all jobs, in queue order, on the available executors.
    ///
    /// Ranks each job that may fit on some executor. For events that concern a single executor or
    /// job, [`Pool::place_after_report`] and [`Pool::place_job`] are cheaper.
    pub(super) fn place(&mut self, now: Mono) {
        if self.is_overloaded() {
            return self.place_overloaded(now);
        }
        self.requeued.clear();
        if !self.can_place() {
            return;
        }
        let Some(min_cpu_millis) = self.jobs.min_cpu_millis() else {
            return;
        };
        let mut available = self.available_executors(now, min_cpu_millis);
        let Some(mut free_max) = max_free_cpu_millis(&available) else {
            return;
        };
        let mut queue: BinaryHeap<Reverse<(Rank, JobId)>> = self
            .jobs
            .waiting_up_to_cpu(free_max)
            .map(|(id, job)| Reverse((self.rank(now, id, job), id)))
            .collect();
        while self.start_window.is_open()
            && let Some(Reverse((_, id))) = queue.pop()
        {
            let job = self.jobs.get(&id);
            if job.is_none_or(|job| job.request.demand.cpu_millis > free_max) {
                continue;
            }
            self.place_tasks_of(now, id, &mut available, min_cpu_millis);
            match max_free_cpu_millis(&available) {
                Some(free) => free_max = free,
                None => return,
            }
        }
    }

    /// Starts the tasks that can start because of an executor's report: tasks on that executor, and
    /// tasks that the report has requeued, on any executor.
    pub(super) fn place_after_report(&mut self, now: Mono, id: &ExecutorId) {
        if self.is_overloaded() {
            return self.place_overloaded(now);
        }
        let requeued = std::mem::take(&mut self.requeued);
        self.place_on_executor(now, id);
        for job in requeued {
            self.place_job(now, job);
        }
    }

    /// Starts as many waiting tasks of a job as the available executors can run.
    pub(super) fn place_job(&mut self, now: Mono, id: JobId) {
        let job = self.jobs.get(&id).filter(|job| job.waiting > 0);
        let Some(demand) = job.map(|job| job.request.demand.cpu_millis) else {
            return;
        };
        if self.can_place() {
            let mut available = self.available_executors(now, demand);
            self.place_tasks_of(now, id, &mut available, demand);
        }
    }

    /// Starts waiting tasks on an executor, in queue order, until it accepts no more.
    fn place_on_executor(&mut self, now: Mono, id: &ExecutorId) {
        while self.can_place()
            && let Some(candidate) = self.available_executor(now, id)
            && let Some(first) = self.first_task_for(now, &candidate)
        {
            if !self.start_run(now, first.job, first.index, id, first.expected) {
                return;
            }
        }
    }

    /// Returns the first task in queue order that may start on an executor.
    pub(super) fn first_task_for(
        &self,
        now: Mono,
        candidate: &AvailableExecutor,
    ) -> Option<Placement> {
        let free_cpu_millis = candidate.free.cpu_millis;
        if !self.jobs.has_few_up_to_cpu(free_cpu_millis, FEW_JOBS) {
            return self.first_in_queues(now, candidate);
        }
        let few = self.jobs.waiting_up_to_cpu(free_cpu_millis);
        few.filter_map(|(id, job)| self.placement(now, id, job, candidate))
            .min_by_key(|placement| placement.rank)
    }

    /// Does the same as [`Pool::first_task_for`] with few rankings if many jobs fit.
    ///
    /// The weighted work of a job is at least its waiting work, so the search of a queue ends at the
    /// first job whose waiting work exceeds the weighted work of the best job before it.
    pub(super) fn first_in_queues(
        &self,
        now: Mono,
        candidate: &AvailableExecutor,
    ) -> Option<Placement> {
        let mut first: Option<Placement> = None;
        for queue in self.jobs.queues(candidate.free.cpu_millis) {
            for ((work, arrived_at, id), job) in queue {
                let lowest = (false, work, arrived_at, id);
                if first.is_some_and(|first| first.rank < lowest) {
                    break;
                }
                if let Some(placement) = self.placement(now, id, job, candidate)
                    && first.is_none_or(|first| placement.rank < first.rank)
                {
                    first = Some(placement);
                }
            }
        }
        first
    }

    /// Returns the next task of a job if it may start on an executor.
    fn placement(
        &self,
        now: Mono,
        id: JobId,
        job: &Job,
        candidate: &AvailableExecutor,
    ) -> Option<Placement> {
        let index = job.next_waiting_task()?;
        let (expected, _) = self.fit(now, job, index, candidate)?;
        Some(Placement {
            rank: self.rank(now, id, job),
            job: id,
            index,
            expected,
        })
    }

    pub(super) fn can_place(&self) -> bool {
        !self.has_stepped_down
            && self.zone_status != ZoneStatus::Evacuated
            && self.start_window.is_open()
    }

    pub(super) fn push_start(&mut self, id: &ExecutorId, order: StartOrder) {
        self.start_window.count_sent();
        self.actions.push(Action::Start(id.clone(), order));
    }

    fn place_tasks_of(
        &mut self,
        now: Mono,
        id: JobId,
        available: &mut Vec<AvailableExecutor>,
        min_cpu_millis: u32,
    ) {
        while let Some(chosen) = self.place_next(now, id, available) {
            self.refresh_available(now, available, chosen, min_cpu_millis);
        }
    }

    pub(super) fn rank(&self, now: Mono, id: JobId, job: &Job) -> Rank {
        let (is_expired, weight) = match self.feasibility(now, job) {
            Feasibility::OnTarget => (false, 1),
            Feasibility::Late => (false, LATE_WEIGHT),
            Feasibility::Expired => (true, LATE_WEIGHT),
        };
        (is_expired, job.waiting_work() * weight, job.arrived_at, id)
    }

    /// Returns the best outcome that a job can reach if its waiting tasks start now.
    pub(super) fn feasibility(&self, now: Mono, job: &Job) -> Feasibility {
        let end_at = now + job.estimate() + Micros::from(self.options.transit_ms);
        // The caller may stop waiting before the target is over, so expiry is checked first.
        if end_at > job.useful_until(self.options.late_factor) {
            Feasibility::Expired
        } else if end_at > job.target_at() {
            Feasibility::Late
        } else {
            Feasibility::OnTarget
        }
    }

    /// Starts the next waiting task of a job if one of the executors fits, and returns the index of that
    /// executor.
    fn place_next(
        &mut self,
        now: Mono,
        id: JobId,
        available: &[AvailableExecutor],
    ) -> Option<usize> {
        let job = self.jobs.get(&id)?;
        let index = job.next_waiting_task()?;
        let (chosen, expected) = self.choose_executor(now, job, index, available)?;
        let executor = available[chosen].id.clone();
        let has_started = self.start_run(now, id, index, &executor, expected);
        has_started.then_some(chosen)
    }

    /// Orders a run of a waiting task, and returns whether it could be ordered: no lease can be given while
    /// the executor's clock is unknown or out of range, and no order can be sent while too many are
    /// unanswered.
    pub(super) fn start_run(
        &mut self,
        now: Mono,
        id: JobId,
        index: u16,
        executor_id: &ExecutorId,
        expected: Micros,
    ) -> bool {
        if !self.start_window.is_open() {
            return false;
        }
        let (Some(mut job), Some(mut executor)) =
            (self.jobs.get_mut(&id), self.executors.get_mut(executor_id))
        else {
            return false;
        };
        let Some(expires) = executor.grant_lease(now, &self.options) else {
            return false;
        };
        let number = job.record_run_ordered(index, executor_id);
        let task = job.task_id(index);
        let run = Run {
            number,
            incarnation: executor.started_at,
            demand: job.request.demand,
            state: RunState::Ordered { orders_sent: 1 },
            ordered_at: now,
            expected,
            estimate: job.estimate(),
            room: None,
            is_dropped: false,
        };
        drop(executor);
        self.executors.add_run(executor_id, task, run);
        let order = StartOrder {
            task,
            run: number,
            spec: job.request.spec.clone(),
            expires,
            token: self.token,
        };
        let waited = now.since(job.arrived_at);
        let submitted_as = (job.request.peer, job.request.submission);
        drop(job);
        self.forecast_run(now, executor_id, task);
        self.push_start(executor_id, order);
        self.log(Decision::RunOrdered {
            task,
            run: number,
            executor: executor_id.clone(),
            expected,
            waited,
            submitted_as,
        });
        true
    }
}
