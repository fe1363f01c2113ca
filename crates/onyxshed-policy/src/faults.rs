//! Who is at fault when a task fails: the executor, or the job that can never run.
//!
//! Each class keeps its failure rate on each executor. A failure counts against an executor only
//! as far as the class does better elsewhere: if it fails everywhere, it says nothing about the
//! executor. A job that fails on several executors is held to be unable to run, and so is a class of
//! which several jobs in a row do.

use std::collections::BTreeMap;

use onyxshed_core::SubmissionId;

/// Executors that a class remembers.
const EXECUTORS_MAX: usize = 64;

/// Jobs with failures that are remembered.
const JOBS_MAX: usize = 4_096;

/// Distinct executors that it takes to blame.
const EXECUTORS_TO_BLAME: usize = 3;

/// Distinct jobs of a class that must fail, none finishing meanwhile, before the class is blamed.
const JOBS_TO_BLAME: usize = 5;

/// Weight of the newest end in a failure rate.
const ALPHA: f64 = 0.3;

/// Failure rate that a bad worker is taken to have.
const BAD_WORKER_RATE: f64 = 0.95;

/// Failure rate assumed of a class before anything is known, and its weight in executors.
const PRIOR_RATE: f64 = 0.5;

/// Names an executor over its whole life here.
pub type ExecutorId = u64;

/// Failures of one class.
#[derive(Debug, Clone, Default)]
pub struct ClassFaults {
    rates: BTreeMap<ExecutorId, f64>,
    sum: f64,
    /// Jobs, and executors they failed on, since a task last finished.
    failed_jobs: Vec<SubmissionId>,
    failed_on: Vec<ExecutorId>,
    is_blamed: bool,
}

/// What a class's record changed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClassChange {
    /// It is held to be unable to run.
    Blamed,
    /// It ran after all.
    Cleared,
}

impl ClassFaults {
    /// Tells whether the class is held to be unable to run.
    pub fn is_blamed(&self) -> bool {
        self.is_blamed
    }

    /// Gets the evidence that one failure on `executor` is the executor's fault.
    pub fn weight_against(&self, executor: ExecutorId) -> f64 {
        let own = self.rates.get(&executor).copied();
        let others = self.rates.len() - usize::from(own.is_some());
        let sum = self.sum - own.unwrap_or(0.0);
        let elsewhere = (sum + PRIOR_RATE) / (others as f64 + 1.0);
        (BAD_WORKER_RATE / elsewhere.max(0.01)).ln().max(0.0)
    }

    /// Takes in a finished task.
    pub fn finished(&mut self, executor: ExecutorId) -> Option<ClassChange> {
        self.record(executor, 0.0);
        self.failed_jobs.clear();
        self.failed_on.clear();
        std::mem::take(&mut self.is_blamed).then_some(ClassChange::Cleared)
    }

    /// Takes in a failed task.
    pub fn failed(&mut self, executor: ExecutorId, job: SubmissionId) -> Option<ClassChange> {
        self.record(executor, 1.0);
        note_distinct(&mut self.failed_jobs, job, JOBS_TO_BLAME);
        note_distinct(&mut self.failed_on, executor, EXECUTORS_TO_BLAME);
        let is_blamed =
            self.failed_jobs.len() >= JOBS_TO_BLAME && self.failed_on.len() >= EXECUTORS_TO_BLAME;
        let is_new = is_blamed && !self.is_blamed;
        self.is_blamed |= is_blamed;
        is_new.then_some(ClassChange::Blamed)
    }

    /// Forgets an executor that is gone.
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
                let step = ALPHA * (end - *rate);
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

/// Adds a value that is not there yet, as long as fewer than `most` are.
fn note_distinct<T: PartialEq>(seen: &mut Vec<T>, value: T, most: usize) {
    if seen.len() < most && !seen.contains(&value) {
        seen.push(value);
    }
}

/// Failures by job, over distinct sound executors.
#[derive(Debug, Default)]
pub struct JobFaults {
    failed_on: BTreeMap<SubmissionId, Vec<ExecutorId>>,
}

/// What one more failure of a job says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobFault {
    /// The first on this executor.
    New,
    /// The job had failed there before: nothing new about the executor.
    Known,
    /// It has now failed on enough executors to be held unable to run.
    Blamed,
}

impl JobFaults {
    /// Takes in a job's failure on a sound executor.
    pub fn failed(&mut self, job: SubmissionId, executor: ExecutorId) -> JobFault {
        if self.failed_on.len() >= JOBS_MAX && !self.failed_on.contains_key(&job) {
            self.failed_on.pop_first();
        }
        let executors = self.failed_on.entry(job).or_default();
        if executors.contains(&executor) {
            return JobFault::Known;
        }
        executors.push(executor);
        match executors.len() {
            EXECUTORS_TO_BLAME => JobFault::Blamed,
            _ => JobFault::New,
        }
    }

    /// Tells whether a job has failed anywhere.
    pub fn has_failed(&self, job: SubmissionId) -> bool {
        self.failed_on.contains_key(&job)
    }

    /// Tells whether a job is held to be unable to run.
    pub fn is_blamed(&self, job: SubmissionId) -> bool {
        self.failed_on
            .get(&job)
            .is_some_and(|executors| executors.len() >= EXECUTORS_TO_BLAME)
    }
}
