//! Jobs that no executor in use could run any more.
//!
//! Answers the loss of all executors of a pool, or of all that a job may run on: another pool may serve the
//! jobs that have not begun, and the callers of the others need not wait for their deadlines to send them
//! again.

use std::collections::BTreeMap;

use onyxshed_core::{Millis, Mono};

use super::Pool;
use super::admission::RETRY_MOST;
use crate::id::{ExecutorId, JobId};
use crate::job::{Job, JobEnd, NotRunReason, TaskState, UnknownReason};

/// How long a job may be stalled before it ends. A report that is late makes its executor unresponsive for
/// a moment.
const STALLED_PATIENCE: Millis = Millis(100);

impl Pool {
    /// Ends the jobs that have been stalled for too long.
    pub(super) fn end_stalled_jobs(&mut self, now: Mono) {
        let before = std::mem::take(&mut self.stalled_since);
        let stalled = self
            .jobs
            .iter()
            .filter(|(_, job)| !self.is_placeable(now, &job.request) && self.awaits_executor(job))
            .map(|(id, _)| (*id, before.get(id).copied().unwrap_or(now)));
        let (ended, kept): (BTreeMap<JobId, Mono>, _) =
            stalled.partition(|(_, since)| now.since(*since) >= STALLED_PATIENCE.into());
        self.stalled_since = kept;
        for id in ended.into_keys() {
            self.end_stalled_job(id);
        }
    }

    /// Ends a job as not run if nothing of it was started. Runs that may still be at work have lapsed before
    /// a caller who hears that its job's fate is unknown sends it again.
    fn end_stalled_job(&mut self, id: JobId) {
        let end = match self.jobs[&id].has_started {
            true => JobEnd::Unknown(UnknownReason::ExecutorsLost),
            false => JobEnd::NotRun(NotRunReason::NoExecutor, RETRY_MOST),
        };
        self.end_job(id, end);
    }

    /// Tells whether a job waits for an executor: to start a task, or to hear of one.
    fn awaits_executor(&self, job: &Job) -> bool {
        let is_unresponsive = |id: &ExecutorId| {
            let executor = self.executors.get(id);
            executor.is_none_or(|executor| executor.is_silent)
        };
        job.waiting > 0
            || job.tasks.iter().any(|task| match &task.state {
                TaskState::Running(id) => is_unresponsive(id),
                TaskState::Waiting | TaskState::Done => false,
            })
    }
}
