//! Comparison of the kept totals and indexes with walks over all executors and jobs, for tests.

use onyxshed_core::Mono;

use super::Pool;
use super::place::Feasibility;
use crate::job::Job;

impl Pool {
    /// Describes the first difference between a kept total or index and a walk; `None` if there is
    /// none.
    #[doc(hidden)]
    pub fn index_difference(&self, now: Mono) -> Option<String> {
        let executors = self.executors.difference(now, &self.options);
        executors
            .or_else(|| self.jobs.difference())
            .or_else(|| self.late_difference(now))
            .or_else(|| self.order_difference(now))
    }

    /// Describes a job that is late or has timed out and is not among those that may be.
    fn late_difference(&self, now: Mono) -> Option<String> {
        let is_late = |job: &Job| {
            now >= job.caller_deadline || self.feasibility(now, job) != Feasibility::OnTarget
        };
        let mut late = self.jobs.iter().filter(|(_, job)| is_late(job));
        let missing =
            late.find(|(id, _)| self.jobs.maybe_late(now).all(|(other, _)| other != **id));
        missing.map(|(id, _)| format!("late job {id}"))
    }

    /// Describes an executor whose first task in queue order is not the first of a walk.
    fn order_difference(&self, now: Mono) -> Option<String> {
        self.executors.keys().find_map(|id| {
            let candidate = self.available_executor(now, id)?;
            let ranked = self.jobs.iter().filter_map(|(job_id, job)| {
                let index = job.next_waiting_task()?;
                self.fit(now, job, index, &candidate)?;
                Some((self.rank(now, *job_id, job), *job_id))
            });
            let walked = ranked.min().map(|(_, job)| job);
            let placed = self.first_task_for(now, &candidate).map(|first| first.job);
            let in_queues = self.first_in_queues(now, &candidate).map(|first| first.job);
            let is_same = walked == placed && walked == in_queues;
            (!is_same).then(|| format!("{placed:?}, {in_queues:?} in place of {walked:?} on {id}"))
        })
    }
}
