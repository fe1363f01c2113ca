//! Jobs of an overloaded pool that have not begun, by class in order of arrival.

use std::collections::{BTreeMap, BTreeSet};

use onyxshed_core::{Micros, Mono};

use crate::id::{ClassId, JobId};

/// A job that has not begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedJob {
    /// Class of the job.
    pub class: ClassId,
    /// When the job arrived at its entry host.
    pub arrived_at: Mono,
    /// When the job was queued here.
    pub queued_at: Mono,
    /// Latest time at which the job can begin and end on target.
    pub latest_start: Mono,
    /// Work of the job, in thousandths of a core times milliseconds.
    pub work: u64,
}

impl QueuedJob {
    /// Returns the time until which the job keeps later jobs of its class from beginning before it:
    /// half of its slack.
    pub fn holds_until(&self) -> Mono {
        let slack = self.latest_start.since(self.queued_at);
        self.queued_at + Micros(slack.0 / 2)
    }
}

#[derive(Debug, Default)]
struct ClassQueue {
    jobs: BTreeSet<(Mono, JobId)>,
    work: u64,
}

/// Jobs that have not begun, by class and by latest start.
#[derive(Debug, Default)]
pub struct ClassQueues {
    jobs: BTreeMap<JobId, QueuedJob>,
    classes: BTreeMap<ClassId, ClassQueue>,
    by_latest_start: BTreeSet<(Mono, JobId)>,
}

impl ClassQueues {
    /// Adds a job.
    pub fn insert(&mut self, id: JobId, job: QueuedJob) {
        self.remove(id);
        let queue = self.classes.entry(job.class.clone()).or_default();
        queue.jobs.insert((job.arrived_at, id));
        queue.work += job.work;
        self.by_latest_start.insert((job.latest_start, id));
        self.jobs.insert(id, job);
    }

    /// Removes a job that begins or ends, and returns it.
    pub fn remove(&mut self, id: JobId) -> Option<QueuedJob> {
        let job = self.jobs.remove(&id)?;
        self.by_latest_start.remove(&(job.latest_start, id));
        if let Some(queue) = self.classes.get_mut(&job.class) {
            queue.jobs.remove(&(job.arrived_at, id));
            queue.work -= job.work;
            if queue.jobs.is_empty() {
                self.classes.remove(&job.class);
            }
        }
        Some(job)
    }

    /// Returns a job.
    pub fn get(&self, id: JobId) -> Option<&QueuedJob> {
        self.jobs.get(&id)
    }

    /// Returns whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the classes of the jobs.
    pub fn classes(&self) -> impl Iterator<Item = &ClassId> {
        self.classes.keys()
    }

    /// Returns the jobs of a class in order of arrival.
    pub fn of_class(&self, class: &ClassId) -> impl Iterator<Item = JobId> {
        let queue = self.classes.get(class);
        queue
            .into_iter()
            .flat_map(|queue| queue.jobs.iter().map(|(_, id)| *id))
    }

    /// Returns the work of the jobs of a class, in thousandths of a core times milliseconds.
    pub fn work(&self, class: &ClassId) -> u64 {
        self.classes.get(class).map_or(0, |queue| queue.work)
    }

    /// Returns whether the latest start of a job has not passed.
    pub fn has_on_target(&self, now: Mono) -> bool {
        self.by_latest_start
            .last()
            .is_some_and(|(at, _)| *at >= now)
    }

    /// Returns the next job whose latest start has passed.
    pub fn next_expired(&self, now: Mono) -> Option<JobId> {
        let (at, id) = self.by_latest_start.first()?;
        (*at < now).then_some(*id)
    }
}
