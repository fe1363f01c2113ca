//! Which of the jobs that wait goes first.
//!
//! Jobs of which something has begun come before all others while they can be in time: what they
//! have used would be lost. Then the class goes first that holds the least of the pool, so that under
//! overload each class gets an equal part of it, or what it asks for if that is less. Within a class
//! the least work goes first, counting only what has not begun: that serves the most callers. The
//! work of a job that can only be late counts several times, and jobs whose answers would be of no
//! use come last.

use std::collections::BTreeMap;

use onyxshed_core::{Micros, Mono};
use smol_str::SmolStr;

use super::Pool;
use crate::id::JobId;
use crate::job::Job;

/// How many times the work of a job counts that can only be late. It then goes on only if little is
/// left of it, and a late answer is worth that much less than one in time.
const LATE_WEIGHT: u64 = 5;

/// What a job's caller can expect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outlook {
    /// An answer within the target.
    InTime,
    /// A later one that is still of use.
    Late,
    /// None that is of use.
    InVain,
}

/// In which part of the queue a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// Some of it has begun, and it can be in time.
    Begun,
    /// It is of use.
    Useful,
    /// It can't be of use any more.
    InVain,
}

/// A job's place in the queue; the least goes first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    standing: Standing,
    /// What its class holds of the pool, in thousandths of a core.
    class_cpu_millis: u64,
    /// Weighted, in thousandths of a core times milliseconds.
    work: u64,
    arrived: Mono,
    job: JobId,
}

impl Pool {
    /// Gets the jobs with waiting tasks in the order in which they go.
    pub(super) fn queue(&self, now: Mono) -> Vec<JobId> {
        let held = self.held_by_class();
        let waiting = self.jobs.iter().filter(|(_, job)| job.waiting > 0);
        let mut queue: Vec<Rank> = waiting
            .map(|(id, job)| self.rank(now, *id, job, &held))
            .collect();
        queue.sort();
        queue.into_iter().map(|rank| rank.job).collect()
    }

    /// Gets what each class holds of the pool, in thousandths of a core.
    ///
    /// Failure guarded against: more comes than the pool can do, and one class's jobs are less work than
    /// another's. Symptom: by work alone the small ones go first without end, and callers of the
    /// other class are refused nearly all.
    fn held_by_class(&self) -> BTreeMap<SmolStr, u64> {
        let mut held = BTreeMap::new();
        if !self.options.policy.shares_by_class {
            return held;
        }
        let runs = self.executors.values().flat_map(|executor| &executor.runs);
        for (task, run) in runs {
            if let Some(job) = self.jobs.get(&task.job) {
                let class = held.entry(job.request.class.clone()).or_default();
                *class += u64::from(run.demand.cpu_millis);
            }
        }
        held
    }

    fn rank(&self, now: Mono, id: JobId, job: &Job, held: &BTreeMap<SmolStr, u64>) -> Rank {
        let is_first = job.has_started && self.options.policy.begun_first;
        let (standing, weight) = match self.outlook(now, job) {
            Outlook::InTime if is_first => (Standing::Begun, 1),
            Outlook::InTime => (Standing::Useful, 1),
            Outlook::Late => (Standing::Useful, LATE_WEIGHT),
            Outlook::InVain => (Standing::InVain, LATE_WEIGHT),
        };
        Rank {
            standing,
            class_cpu_millis: held.get(&job.request.class).copied().unwrap_or(0),
            work: job.waiting_work() * weight,
            arrived: job.arrived,
            job: id,
        }
    }

    /// Gets what a job's caller can expect if its waiting tasks start now.
    pub(super) fn outlook(&self, now: Mono, job: &Job) -> Outlook {
        let fresh_end_at = now + job.estimate() + Micros::from(self.options.overhead_ms);
        let end_at = match job.waiting {
            0 => job.runs_end_at(now),
            _ => fresh_end_at.max(job.runs_end_at(now)),
        };
        // A caller may stop waiting before its target.
        if end_at > job.useful_until(self.options.late_factor) {
            Outlook::InVain
        } else if end_at > job.target_at() {
            Outlook::Late
        } else {
            Outlook::InTime
        }
    }
}
