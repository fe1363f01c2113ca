//! Jobs that have begun: what their waiting tasks are promised, and until when they are useful.

use std::collections::{BTreeMap, BTreeSet};

use onyxshed_core::Mono;

use crate::id::JobId;

/// What a job that has begun still needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Commitment {
    /// Latest time at which its waiting tasks can start and end on target.
    pub latest_start: Mono,
    /// Time from which the job's answer can't be useful any more.
    pub give_up_at: Mono,
    /// Processor that its waiting tasks need, in thousandths of a core; 0 if none waits.
    pub waiting_cpu_millis: u64,
}

/// Jobs that have begun, by latest start and by the time at which they are given up.
#[derive(Debug, Default)]
pub struct Commitments {
    jobs: BTreeMap<JobId, Commitment>,
    by_latest_start: BTreeMap<(Mono, JobId), u64>,
    by_give_up: BTreeSet<(Mono, JobId)>,
    promised_cpu_millis: u64,
}

impl Commitments {
    /// Adds a job or replaces what it needs.
    pub fn set(&mut self, job: JobId, commitment: Commitment) {
        self.remove(job);
        self.jobs.insert(job, commitment);
        self.by_give_up.insert((commitment.give_up_at, job));
        if commitment.waiting_cpu_millis > 0 {
            let key = (commitment.latest_start, job);
            self.by_latest_start
                .insert(key, commitment.waiting_cpu_millis);
            self.promised_cpu_millis += commitment.waiting_cpu_millis;
        }
    }

    /// Removes a job that has ended.
    pub fn remove(&mut self, job: JobId) {
        if let Some(commitment) = self.jobs.remove(&job) {
            self.by_give_up.remove(&(commitment.give_up_at, job));
            let waiting = self.by_latest_start.remove(&(commitment.latest_start, job));
            self.promised_cpu_millis -= waiting.unwrap_or(0);
        }
    }

    /// Returns the jobs with waiting tasks, the one with the earliest latest start first.
    pub fn waiting(&self) -> impl Iterator<Item = (Mono, JobId)> {
        self.by_latest_start.keys().copied()
    }

    /// Returns the processor promised to tasks whose latest start is at most `at`, in thousandths of
    /// a core.
    pub fn promised_until(&self, at: Mono) -> u64 {
        let until = ..=(at, JobId(u64::MAX));
        self.by_latest_start.range(until).map(|(_, cpu)| cpu).sum()
    }

    /// Returns the processor promised to all waiting tasks, in thousandths of a core, and the last
    /// of their latest starts.
    pub fn promised(&self) -> (u64, Mono) {
        let last = self.by_latest_start.keys().next_back();
        (
            self.promised_cpu_millis,
            last.map_or(Mono(0), |(at, _)| *at),
        )
    }

    /// Returns the next job whose answer can't be useful any more.
    pub fn next_given_up(&self, now: Mono) -> Option<JobId> {
        let (at, job) = self.by_give_up.first()?;
        (*at <= now).then_some(*job)
    }
}
