//! A job whose claim is not decided yet; none of its tasks may start.

use std::rc::Rc;

use super::JobHead;
use super::running::Running;
use crate::output::RequestId;

/// A job that waits for the log to say who holds it.
#[derive(Debug)]
pub struct Claiming {
    /// What stays the same.
    pub head: JobHead,
    /// One payload a task.
    pub payloads: Vec<Rc<Vec<u8>>>,
    /// Requests that wait for the answer.
    pub waiters: Vec<RequestId>,
    /// Requests to cancel, which are answered once the log tells who holds the submission.
    pub cancels: Vec<RequestId>,
}

impl Claiming {
    /// Turns the job into one whose tasks may start, on a claim or without one.
    pub fn granted(self, is_claimed: bool) -> Running {
        Running::new(self.head, self.payloads, self.waiters, is_claimed)
    }
}
