//! Jobs that this host is serving for its callers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use onyxshed_pool::JobId;

/// Numbers of requests in progress by job. More than one belongs to a job while a copy of it is served.
#[derive(Debug, Default)]
pub struct JobsInProgress {
    requests: RefCell<BTreeMap<JobId, u32>>,
}

impl JobsInProgress {
    /// Counts a request for a job until the guard is dropped.
    pub fn begin(self: &Rc<Self>, job: JobId) -> JobGuard {
        *self.requests.borrow_mut().entry(job).or_default() += 1;
        JobGuard {
            jobs: self.clone(),
            job,
        }
    }

    /// Returns whether a request for a job is in progress.
    pub fn contains(&self, job: JobId) -> bool {
        self.requests.borrow().contains_key(&job)
    }
}

/// Guard that counts a request as in progress.
#[derive(Debug)]
pub struct JobGuard {
    jobs: Rc<JobsInProgress>,
    job: JobId,
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        let mut requests = self.jobs.requests.borrow_mut();
        if let Some(count) = requests.get_mut(&self.job) {
            *count -= 1;
            if *count == 0 {
                requests.remove(&self.job);
            }
        }
    }
}
