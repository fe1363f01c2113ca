//! Table of all jobs of an entry host, limited in count and in bytes of results.
//!
//! An ended job is remembered until its id is older than the horizon, the age from which ids are
//! rejected, plus twice the maximum clock difference. Forgetting it earlier would let a late copy
//! of the submission start again on this host, which has the claim. When the table is full, new
//! jobs are refused instead. When the results exceed their limit, the oldest results are dropped,
//! but their result codes are kept.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use onyxshed_core::{Bytes, Mono, SubmissionId, UnixMs};

use crate::job::{EndedJob, Job};

/// Jobs of one entry host, indexed by submission id and by the time at which they are due. A job is
/// due when its deadline or final deadline passes.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: HashMap<SubmissionId, Job>,
    /// Jobs that have not ended, by the time at which they are due.
    due_queue: BTreeSet<(Mono, SubmissionId)>,
    due_at: BTreeMap<SubmissionId, Mono>,
    /// Ended jobs by the time in their id.
    ended_by_time: BTreeSet<(UnixMs, SubmissionId)>,
    /// Ended jobs in the order in which they ended, for dropping the oldest results first. May
    /// contain jobs that were removed since.
    results_by_age: VecDeque<SubmissionId>,
    kept_result_bytes: u64,
}

impl JobTable {
    /// Returns the total number of jobs in all stages.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether the table contains no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the number of jobs that have not ended.
    pub fn live_count(&self) -> usize {
        self.due_at.len()
    }

    /// Returns the ids of the jobs that have not ended.
    pub fn live_ids(&self) -> Vec<SubmissionId> {
        self.due_at.keys().copied().collect()
    }

    /// Returns a job, or `None` if it is not in the table.
    pub fn get(&self, id: SubmissionId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns a job for changes that keep it in its stage; `None` if it is not in the table.
    pub fn get_mut(&mut self, id: SubmissionId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// Inserts a job that has not ended and becomes due at `due_at`.
    pub fn insert_live(&mut self, id: SubmissionId, job: Job, due_at: Mono) {
        self.set_due_at(id, Some(due_at));
        self.jobs.insert(id, job);
    }

    /// Inserts a job that has ended, and drops the oldest results until all results together have
    /// at most `max_bytes`.
    pub fn insert_ended(&mut self, id: SubmissionId, ended: EndedJob, max_bytes: Bytes) {
        self.set_due_at(id, None);
        self.ended_by_time.insert((id.time(), id));
        let bytes = ended.result_bytes();
        if bytes > 0 {
            self.results_by_age.push_back(id);
            self.kept_result_bytes += bytes;
        }
        self.jobs.insert(id, Job::Ended(ended));
        self.drop_results_over(max_bytes);
    }

    /// Removes and returns a job that has not ended; `None` if it is not in the table.
    pub fn remove(&mut self, id: SubmissionId) -> Option<Job> {
        self.set_due_at(id, None);
        self.jobs.remove(&id)
    }

    /// Returns the earliest time at which a job becomes due; `None` if no job will.
    pub fn next_due_at(&self) -> Option<Mono> {
        self.due_queue.first().map(|(due_at, _)| *due_at)
    }

    /// Returns the job that has been due longest at `now`, if any.
    pub fn first_due(&self, now: Mono) -> Option<SubmissionId> {
        self.due_queue
            .first()
            .filter(|(due_at, _)| *due_at <= now)
            .map(|(_, id)| *id)
    }

    /// Sets the time at which a job becomes due; `None` if it never does.
    pub fn set_due_at(&mut self, id: SubmissionId, due_at: Option<Mono>) {
        if let Some(previous) = self.due_at.remove(&id) {
            self.due_queue.remove(&(previous, id));
        }
        if let Some(due_at) = due_at {
            self.due_at.insert(id, due_at);
            self.due_queue.insert((due_at, id));
        }
    }

    /// Removes ended jobs whose id is older than `oldest`.
    pub fn remove_older_than(&mut self, oldest: UnixMs) {
        while let Some(&(time, id)) = self.ended_by_time.first() {
            if time >= oldest {
                return;
            }
            self.ended_by_time.pop_first();
            self.drop_results(id);
            self.jobs.remove(&id);
        }
    }

    /// Drops the oldest results until all results together have at most `max_bytes`.
    fn drop_results_over(&mut self, max_bytes: Bytes) {
        while self.kept_result_bytes > max_bytes.0 {
            let Some(id) = self.results_by_age.pop_front() else {
                return;
            };
            self.drop_results(id);
        }
    }

    fn drop_results(&mut self, id: SubmissionId) {
        if let Some(Job::Ended(ended)) = self.jobs.get_mut(&id) {
            self.kept_result_bytes -= ended.result_bytes();
            ended.results = None;
        }
    }
}
