//! All jobs of an entry host, within bounds of count and bytes.
//!
//! An ended job is remembered until its id is past the horizon: forgetting it earlier would let a
//! late copy start again on this very host, which holds the claim. When the table is full, new jobs
//! are refused instead. Results are kept only as long as their bytes fit; the code stays.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use onyxshed_core::{Bytes, Mono, SubmissionId, UnixMs};

use crate::job::{Ended, Job};

/// The jobs of one entry host.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: HashMap<SubmissionId, Job>,
    due: BTreeSet<(Mono, SubmissionId)>,
    due_of: BTreeMap<SubmissionId, Mono>,
    ended_by_time: BTreeSet<(UnixMs, SubmissionId)>,
    kept: VecDeque<SubmissionId>,
    kept_bytes: u64,
}

impl JobTable {
    /// Gets how many jobs are remembered.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Tells whether no job is remembered.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Gets how many jobs have not ended.
    pub fn live_count(&self) -> usize {
        self.due_of.len()
    }

    /// Gets a job.
    pub fn get(&self, id: SubmissionId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Gets a job to change it in its stage.
    pub fn get_mut(&mut self, id: SubmissionId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// Puts a job that has not ended, to be looked at when `due` has come.
    pub fn put_live(&mut self, id: SubmissionId, job: Job, due: Mono) {
        self.set_due(id, Some(due));
        self.jobs.insert(id, job);
    }

    /// Puts a job that has ended and drops the oldest results over `keep`.
    pub fn put_ended(&mut self, id: SubmissionId, ended: Ended, keep: Bytes) {
        self.set_due(id, None);
        self.ended_by_time.insert((id.time(), id));
        let bytes = ended.kept_bytes();
        if bytes > 0 {
            self.kept.push_back(id);
            self.kept_bytes += bytes;
        }
        self.jobs.insert(id, Job::Ended(ended));
        self.drop_results_over(keep);
    }

    /// Takes a job out.
    pub fn take(&mut self, id: SubmissionId) -> Option<Job> {
        self.set_due(id, None);
        self.jobs.remove(&id)
    }

    /// Gets the earliest time at which a job wants to be looked at.
    pub fn next_due(&self) -> Option<Mono> {
        self.due.first().map(|(due, _)| *due)
    }

    /// Gets a job whose time has come.
    pub fn due(&self, now: Mono) -> Option<SubmissionId> {
        self.due
            .first()
            .filter(|(due, _)| *due <= now)
            .map(|(_, id)| *id)
    }

    /// Sets when a job wants to be looked at, if at all.
    pub fn set_due(&mut self, id: SubmissionId, due: Option<Mono>) {
        if let Some(before) = self.due_of.remove(&id) {
            self.due.remove(&(before, id));
        }
        if let Some(due) = due {
            self.due_of.insert(id, due);
            self.due.insert((due, id));
        }
    }

    /// Forgets ended jobs whose id is older than `horizon`.
    pub fn forget_older(&mut self, horizon: UnixMs) {
        while let Some(&(time, id)) = self.ended_by_time.first() {
            if time >= horizon {
                return;
            }
            self.ended_by_time.pop_first();
            self.forget_results(id);
            self.jobs.remove(&id);
        }
    }

    fn drop_results_over(&mut self, keep: Bytes) {
        while self.kept_bytes > keep.0 {
            let Some(id) = self.kept.pop_front() else {
                return;
            };
            self.forget_results(id);
        }
    }

    fn forget_results(&mut self, id: SubmissionId) {
        if let Some(Job::Ended(ended)) = self.jobs.get_mut(&id) {
            self.kept_bytes -= ended.kept_bytes();
            ended.results = None;
        }
    }
}
