//! Which tasks start now, and where.
//!
//! What waits is planned ahead ([`super::plan`]) in the order of the queue ([`super::queue`]). A job that
//! has not begun takes room only if the plan has it whole in its target; those that can only be late
//! get what is left.

use onyxshed_core::{Micros, Mono};

use super::Pool;
use super::plan::{JobPlan, Plan};
use crate::executor::{Executor, Run, RunState};
use crate::id::{ExecutorId, JobId, TaskId};
use crate::job::Job;
use crate::message::{Action, Note, StartOrder};

impl Pool {
    /// Starts whatever can start.
    ///
    /// It is called with every event. A full pool with hundreds of jobs waiting must cost little
    /// then: nothing is planned unless an executor has room for the smallest task that waits.
    pub(super) fn place(&mut self, now: Mono) {
        if self.is_over || !self.has_room_for_waiting(now) {
            return;
        }
        self.plan(now);
    }

    fn has_room_for_waiting(&self, now: Mono) -> bool {
        let waiting = self.jobs.values().filter(|job| job.waiting > 0);
        let Some(least) = waiting.map(|job| job.request.demand.cpu_millis).min() else {
            return false;
        };
        let mut executors = self.executors.values();
        executors.any(|executor| {
            executor.free.cpu_millis >= least && executor.takes_work(now, &self.options)
        })
    }

    /// Plays the pool's work forward and starts what begins now.
    ///
    /// Failure guarded against: executors turn slow under load, and so are the ones with room. Symptom:
    /// each job gets a task there and is late by that one task, and so is all the work that was done for
    /// it. By the plan a task waits for an executor that ends it sooner, and a job that can't be whole in
    /// its target takes no room from those that can.
    pub(super) fn plan(&mut self, now: Mono) {
        if self.is_over || self.jobs.values().all(|job| job.waiting == 0) {
            return;
        }
        let mut plan = self.empty_plan(now);
        let mut late = Vec::new();
        for id in self.queue(now) {
            match self.lay_in_time(now, &mut plan, id) {
                Some(laid) => self.start_laid(now, id, &plan, laid),
                None => late.push(id),
            }
        }
        if !self.options.policy.serves_late {
            return;
        }
        for id in late {
            if let Some(laid) = self.lay_of_use(now, &mut plan, id) {
                self.start_laid(now, id, &plan, laid);
            }
        }
    }

    /// Lays a job and notes when it will be whole; none if nothing of it has begun and it would be late.
    fn lay_in_time(&mut self, now: Mono, plan: &mut Plan, id: JobId) -> Option<JobPlan> {
        let job = self.jobs.get(&id)?;
        let laid = self.lay(now, plan, job);
        let forecast = laid.ends_at().map(|at| at.max(job.runs_end_at(now)));
        let is_late = forecast.is_some_and(|at| at > job.target_at());
        let is_refused = is_late && !job.has_started;
        self.jobs.get_mut(&id)?.forecast = forecast;
        if is_refused {
            plan.take_back();
            return None;
        }
        Some(laid)
    }

    /// Lays a job that will be late; none if its answer would be of no use.
    fn lay_of_use(&self, now: Mono, plan: &mut Plan, id: JobId) -> Option<JobPlan> {
        let job = self.jobs.get(&id)?;
        let laid = self.lay(now, plan, job);
        let useful_until = job.useful_until(self.options.late_factor);
        if laid.ends_at().is_some_and(|at| at > useful_until) {
            plan.take_back();
            return None;
        }
        Some(laid)
    }

    fn empty_plan(&self, now: Mono) -> Plan {
        let executors = self
            .executors
            .iter()
            .filter(|(_, executor)| executor.takes_work(now, &self.options));
        let ends_of = |task: &TaskId| {
            let job = self.jobs.get(&task.job)?;
            Some(job.tasks[usize::from(task.index)].ends_at)
        };
        Plan::new(now, executors, ends_of)
    }

    fn lay(&self, now: Mono, plan: &mut Plan, job: &Job) -> JobPlan {
        let fit = |executor: &Executor| {
            let suits = self.suits(now, executor, job);
            suits.then(|| self.remoteness(executor, job))
        };
        plan.lay(job, &self.executors, fit)
    }

    fn start_laid(&mut self, now: Mono, id: JobId, plan: &Plan, laid: JobPlan) {
        for (index, placement) in laid.placements {
            let may_start = |executor: &Executor| executor.takes_work(now, &self.options);
            let executor = self.executors.get(&placement.executor);
            if plan.begins_now(&placement) && executor.is_some_and(may_start) {
                self.start(now, id, index, &placement.executor, placement.expected);
            }
        }
    }

    /// Tells whether an executor may run a job's tasks when it has room.
    fn suits(&self, now: Mono, executor: &Executor, job: &Job) -> bool {
        let request = &job.request;
        executor.takes_work(now, &self.options)
            && executor.facts.upstream == request.upstream
            && executor.facts.capacity.holds(request.demand)
            && executor.has_label(request.label.as_ref())
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

    fn start(&mut self, now: Mono, id: JobId, index: u16, place: &ExecutorId, expected: Micros) {
        let (Some(job), Some(executor)) = (self.jobs.get_mut(&id), self.executors.get_mut(place))
        else {
            return;
        };
        let Some(expires) = executor.lease_end(now, self.options.lease_ms) else {
            return;
        };
        let number = job.run_ordered(index, place, now + expected);
        let task = job.task_id(index);
        let run = Run {
            number,
            demand: job.request.demand,
            state: RunState::Ordered { tries: 1 },
            ordered_at: now,
            expected,
            estimate: job.estimate(),
        };
        executor.add_run(task, run);
        executor.lease_sent(now, &self.options);
        let order = StartOrder {
            task,
            run: number,
            spec: job.request.spec.clone(),
            expires,
            token: self.token,
        };
        let waited = now.since(job.arrived);
        self.actions.push(Action::Start(place.clone(), order));
        self.note(Note::RunOrdered {
            task,
            run: number,
            executor: place.clone(),
            expected,
            waited,
        });
    }
}
