//! Attribution of task failures to executors, or to jobs and classes that cannot run.
//!
//! Each class has a failure rate per executor. A failure counts against an executor only to the
//! degree that the class fails less on other executors: a class that fails everywhere is no
//! evidence against one executor. A job that fails on several executors is marked unrunnable, and
//! so is a class if several of its jobs fail in succession.

use std::collections::BTreeMap;

use onyxshed_core::SubmissionId;

/// Maximum number of executors per class whose failure rate is stored; beyond it, the executor
/// known longest is dropped.
const EXECUTORS_MAX: usize = 64;

/// Maximum number of failed jobs that are remembered.
const JOBS_MAX: usize = 4_096;

/// Number of distinct executors on which a job or class must have failed before it is marked
/// unrunnable.
const UNRUNNABLE_EXECUTORS: usize = 3;

/// Number of distinct jobs of a class that must fail, without a task finishing in between, before
/// the class is marked unrunnable.
const UNRUNNABLE_JOBS: usize = 5;

/// Weight of the newest attempt in a failure rate.
const FAILURE_RATE_ALPHA: f64 = 0.3;

/// Failure rate that a bad executor is assumed to have.
const BAD_EXECUTOR_RATE: f64 = 0.95;

/// Prior failure rate of a class; it has the weight of one executor.
const PRIOR_RATE: f64 = 0.5;

/// Identifies an executor for as long as it is known; never reused.
pub type ExecutorId = u64;

/// Failure rates of one class per executor, and whether the class is marked unrunnable.
#[derive(Debug, Clone, Default)]
pub struct ClassFaults {
    rates: BTreeMap<ExecutorId, f64>,
    sum: f64,
    /// Jobs that failed, and the executors they failed on, since a task of the class last finished.
    failed_jobs: Vec<SubmissionId>,
    failed_on: Vec<ExecutorId>,
    is_unrunnable: bool,
}

/// Change of a class: it became unrunnable, or runnable again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClassChange {
    /// The class is now marked unrunnable.
    Unrunnable,
    /// The class was marked unrunnable and has finished a task.
    Runnable,
}

impl ClassFaults {
    /// Returns whether the class is marked unrunnable. The policy then limits the slots that its
    /// tasks may use.
    pub fn is_unrunnable(&self) -> bool {
        self.is_unrunnable
    }

    /// Returns the weight of one failure as evidence against `executor`: the natural logarithm of
    /// the ratio of the failure rate of a bad executor to that of the class elsewhere, at least 0.
    pub fn executor_fault_weight(&self, executor: ExecutorId) -> f64 {
        let own = self.rates.get(&executor).copied();
        let others = self.rates.len() - usize::from(own.is_some());
        let sum = self.sum - own.unwrap_or(0.0);
        let elsewhere = (sum + PRIOR_RATE) / (others as f64 + 1.0);
        (BAD_EXECUTOR_RATE / elsewhere.max(0.01)).ln().max(0.0)
    }

    /// Records a finished task, which removes the unrunnable mark; returns the change if there was
    /// one.
    pub fn record_finished(&mut self, executor: ExecutorId) -> Option<ClassChange> {
        self.record(executor, 0.0);
        self.failed_jobs.clear();
        self.failed_on.clear();
        std::mem::take(&mut self.is_unrunnable).then_some(ClassChange::Runnable)
    }

    /// Records a failed task; returns the change if the class becomes unrunnable by it.
    pub fn record_failure(
        &mut self,
        executor: ExecutorId,
        job: SubmissionId,
    ) -> Option<ClassChange> {
        self.record(executor, 1.0);
        push_distinct(&mut self.failed_jobs, job, UNRUNNABLE_JOBS);
        push_distinct(&mut self.failed_on, executor, UNRUNNABLE_EXECUTORS);
        let is_unrunnable = self.failed_jobs.len() >= UNRUNNABLE_JOBS
            && self.failed_on.len() >= UNRUNNABLE_EXECUTORS;
        let is_new = is_unrunnable && !self.is_unrunnable;
        self.is_unrunnable |= is_unrunnable;
        is_new.then_some(ClassChange::Unrunnable)
    }

    /// Removes the failure rate of an executor that is no longer known.
    pub fn forget(&mut self, executor: ExecutorId) {
        if let Some(rate) = self.rates.remove(&executor) {
            self.sum -= rate;
        }
    }

    fn record(&mut self, executor: ExecutorId, end: f64) {
        if self.rates.len() >= EXECUTORS_MAX && !self.rates.contains_key(&executor) {
            let oldest = self.rates.keys().next().copied();
            oldest.into_iter().for_each(|oldest| self.forget(oldest));
        }
        match self.rates.get_mut(&executor) {
            Some(rate) => {
                let step = FAILURE_RATE_ALPHA * (end - *rate);
                *rate += step;
                self.sum += step;
            }
            None => {
                self.rates.insert(executor, end);
                self.sum += end;
            }
        }
    }
}

/// Adds a value that is not in `seen` yet, as long as `seen` has fewer than `max_len` values.
fn push_distinct<T: PartialEq>(seen: &mut Vec<T>, value: T, max_len: usize) {
    if seen.len() < max_len && !seen.contains(&value) {
        seen.push(value);
    }
}

/// Distinct executors on which each remembered job has failed.
#[derive(Debug, Default)]
pub struct JobFaults {
    failed_on: BTreeMap<SubmissionId, Vec<ExecutorId>>,
}

/// What a failure of a job adds to its earlier failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobFault {
    /// The job's first failure on this executor.
    New,
    /// The job has failed on this executor before: no new evidence about the executor.
    Repeated,
    /// The job has now failed on enough executors to be marked unrunnable.
    Unrunnable,
}

impl JobFaults {
    /// Records a job's failure on an executor. Removes the job with the oldest id if too many are
    /// remembered.
    pub fn record_failure(&mut self, job: SubmissionId, executor: ExecutorId) -> JobFault {
        if self.failed_on.len() >= JOBS_MAX && !self.failed_on.contains_key(&job) {
            self.failed_on.pop_first();
        }
        let executors = self.failed_on.entry(job).or_default();
        if executors.contains(&executor) {
            return JobFault::Repeated;
        }
        executors.push(executor);
        match executors.len() {
            UNRUNNABLE_EXECUTORS => JobFault::Unrunnable,
            _ => JobFault::New,
        }
    }

    /// Returns whether a failure of the job on any executor is remembered.
    pub fn has_failed(&self, job: SubmissionId) -> bool {
        self.failed_on.contains_key(&job)
    }

    /// Returns whether the job has failed on `UNRUNNABLE_EXECUTORS` executors. Its failed tasks are
    /// then not retried.
    pub fn is_unrunnable(&self, job: SubmissionId) -> bool {
        self.failed_on
            .get(&job)
            .is_some_and(|executors| executors.len() >= UNRUNNABLE_EXECUTORS)
    }
}
