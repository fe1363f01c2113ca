//! Jobs that no usable executor can run.
//!
//! If a pool loses all its executors, or all that a job can run on, jobs that have not started end as not
//! run so that another pool can take them. The other jobs end as unknown so that their callers can
//! resubmit them before their deadlines.

use std::collections::BTreeMap;

use onyxshed_core::{Millis, Mono};

use super::Pool;
use super::admission::RETRY_AFTER_MAX;
use crate::id::{ExecutorId, JobId};
use crate::job::{Job, NotRunReason, TaskState, UnknownReason};

/// How long a job may be stalled before it ends. A shorter time would end jobs because of a single
/// late report, which marks its executor as unresponsive until the next report.
const STALLED_GRACE: Millis = Millis(100);

impl Pool {
    /// Ends the jobs that have been stalled for [`STALLED_GRACE`]. A job is stalled if no usable
    /// executor can run its tasks, and it has waiting tasks or runs on an executor that is
    /// unresponsive or was removed.
    pub(super) fn end_stalled_jobs(&mut self, now: Mono) {
        let before = std::mem::take(&mut self.stalled_since);
        let (executors, options) = (&self.executors, &self.options);
        let unplaceable = self.jobs.unplaceable(|upstream, label, demand| {
            executors.can_run(now, options, upstream, label, demand)
        });
        let stalled = unplaceable
            .into_iter()
            .filter(|id| {
                self.jobs
                    .get(id)
                    .is_some_and(|job| self.awaits_executor(job))
            })
            .map(|id| (id, before.get(&id).copied().unwrap_or(now)));
        let (ended, kept): (BTreeMap<JobId, Mono>, _) =
            stalled.partition(|(_, since)| now.since(*since) >= STALLED_GRACE.into());
        self.stalled_since = kept;
        for id in ended.into_keys() {
            self.end_stalled_job(id);
        }
    }

    /// Ends a job as not run if none of its tasks has started, otherwise as unknown. The leases of runs that
    /// may still execute expire before a caller resubmits a job with an unknown outcome.
    fn end_stalled_job(&mut self, id: JobId) {
        let not_run = (NotRunReason::NoExecutor, RETRY_AFTER_MAX);
        let end = self.end_of_dropped_job(id, not_run, UnknownReason::ExecutorsLost);
        self.end_job(id, end);
    }

    /// Returns whether a job has waiting tasks, or a run on an executor that is unresponsive or was
    /// removed.
    fn awaits_executor(&self, job: &Job) -> bool {
        let is_unresponsive = |id: &ExecutorId| {
            let executor = self.executors.get(id);
            executor.is_none_or(|executor| executor.is_unresponsive)
        };
        job.waiting > 0
            || job.tasks.iter().any(|task| match &task.state {
                TaskState::Running(id) => is_unresponsive(id),
                TaskState::Waiting | TaskState::Blocked | TaskState::Done => false,
            })
    }
}
