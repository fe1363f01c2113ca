//! First stage of a job: its claim is not decided yet, and none of its tasks may start.

use std::rc::Rc;

use super::JobHead;
use super::running::RunningJob;
use crate::output::RequestId;

/// Job that waits until the log decides which host holds the submission.
#[derive(Debug)]
pub struct ClaimingJob {
    /// Id, content, class and deadlines of the job.
    pub head: JobHead,
    /// Payload of each task, in order of their indexes.
    pub payloads: Vec<Rc<Vec<u8>>>,
    /// Requests that wait for the job's answer.
    pub waiters: Vec<RequestId>,
    /// Requests to cancel the job; answered once the log decides which host holds the submission.
    pub cancels: Vec<RequestId>,
}

impl ClaimingJob {
    /// Converts the job into a running job, whose tasks may start. `is_claimed` is `false` if this
    /// host has no claim to the submission, which is possible only for a job that may run twice.
    pub fn into_running(self, is_claimed: bool) -> RunningJob {
        RunningJob::new(self.head, self.payloads, self.waiters, is_claimed)
    }
}
