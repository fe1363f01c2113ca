//! The jobs of a pool, with totals and indexes that are kept up to date.
//!
//! The place of a job in the queue changes with time, since a late job's work counts several
//! times. The indexes contain only what changes with the job itself: its waiting work, which is a
//! lower bound of the weighted work, and the time from which it may be late or may have timed out.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};

use onyxshed_core::{Bytes, Micros, Mono};
use smol_str::SmolStr;

use crate::id::JobId;
use crate::job::{Job, JobRequest};
use crate::options::PoolOptions;
use crate::resources::Resources;
use crate::work_sum::WorkSum;

/// Position of a job among those with waiting tasks: waiting work in thousandths of a core times
/// milliseconds, arrival, id.
pub(crate) type QueuePosition = (u64, Mono, JobId);

/// What the totals and indexes contain of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Key {
    position: QueuePosition,
    cpu_millis: u32,
    is_waiting: bool,
    has_started: bool,
    /// Time up to which the job can meet its target and its caller waits.
    on_target_until: Mono,
}

/// Totals and indexes over the jobs.
#[derive(Debug, Default)]
struct Indexes {
    /// Waiting work of the jobs with waiting tasks.
    work: WorkSum,
    /// Waiting work of those that have started.
    started_work: WorkSum,
    /// Jobs with waiting tasks by [`queue_of`] and waiting work, with the processor that a task
    /// needs, in thousandths of a core.
    queues: BTreeMap<u32, BTreeMap<QueuePosition, u32>>,
    /// Jobs with waiting tasks by the processor that a task needs, in thousandths of a core.
    by_cpu: BTreeSet<(u32, JobId)>,
    /// All jobs by the time up to which they are on target.
    by_time: BTreeSet<(Mono, JobId)>,
}

impl Indexes {
    /// Replaces what the indexes contain of a job; `None` if they contain or should contain nothing.
    /// Entries that stay the same are not touched.
    fn replace(&mut self, old: Option<Key>, new: Option<Key>) {
        let time = |key: Key| (key.on_target_until, key.position.2);
        let (old_time, new_time) = (old.map(time), new.map(time));
        if old_time != new_time {
            old_time.map(|time| self.by_time.remove(&time));
            self.by_time.extend(new_time);
        }
        let old = old.filter(|key| key.is_waiting);
        let new = new.filter(|key| key.is_waiting);
        let cpu = |key: Key| (key.cpu_millis, key.position.2);
        let (old_cpu, new_cpu) = (old.map(cpu), new.map(cpu));
        if old_cpu != new_cpu {
            old_cpu.map(|cpu| self.by_cpu.remove(&cpu));
            self.by_cpu.extend(new_cpu);
        }
        if let Some(old) = old {
            self.dequeue(old);
        }
        if let Some(new) = new {
            self.enqueue(new);
        }
    }

    fn enqueue(&mut self, key: Key) {
        let work = key.position.0;
        self.work.add(work);
        if key.has_started {
            self.started_work.add(work);
        }
        let queue = self.queues.entry(queue_of(key.cpu_millis)).or_default();
        queue.insert(key.position, key.cpu_millis);
    }

    fn dequeue(&mut self, key: Key) {
        let work = key.position.0;
        self.work.remove(work);
        if key.has_started {
            self.started_work.remove(work);
        }
        if let Some(queue) = self.queues.get_mut(&queue_of(key.cpu_millis)) {
            queue.remove(&key.position);
        }
    }
}

/// Upstream and required label of jobs.
type PlacementGroup = (SmolStr, Option<SmolStr>);

/// Jobs that need executors of the same kind.
#[derive(Debug, Default)]
struct Group {
    jobs: usize,
    /// Upper bound of each resource that a task needs.
    demand_bound: Resources,
}

/// The jobs of a pool by id.
#[derive(Debug)]
pub(crate) struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    indexes: Indexes,
    groups: BTreeMap<PlacementGroup, Group>,
    /// Memory that the jobs use at most.
    memory: Bytes,
    late_factor: u64,
    transit: Micros,
}

impl JobTable {
    pub fn new(options: &PoolOptions) -> Self {
        JobTable {
            jobs: BTreeMap::new(),
            indexes: Indexes::default(),
            groups: BTreeMap::new(),
            memory: Bytes(0),
            late_factor: options.late_factor,
            transit: options.transit_ms.into(),
        }
    }

    /// Returns the memory that the jobs use at most.
    pub fn memory(&self) -> Bytes {
        self.memory
    }

    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn contains_key(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns a job for changes, which reach the totals and indexes when the value is dropped.
    pub fn get_mut(&mut self, id: &JobId) -> Option<JobMut<'_>> {
        let job = self.jobs.get_mut(id)?;
        Some(JobMut {
            key: key_of(job, self.late_factor, self.transit),
            job,
            indexes: &mut self.indexes,
            late_factor: self.late_factor,
            transit: self.transit,
        })
    }

    pub fn keys(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    pub fn values(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    pub fn insert(&mut self, id: JobId, job: Job) {
        self.remove(&id);
        let key = key_of(&job, self.late_factor, self.transit);
        self.indexes.replace(None, Some(key));
        self.memory.0 += job.request.memory().0;
        let group = self.groups.entry(group_of(&job.request)).or_default();
        group.jobs += 1;
        group.demand_bound = max_of(group.demand_bound, job.request.demand);
        self.jobs.insert(id, job);
    }

    pub fn remove(&mut self, id: &JobId) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        let key = key_of(&job, self.late_factor, self.transit);
        self.indexes.replace(Some(key), None);
        self.memory.0 -= job.request.memory().0;
        let group = group_of(&job.request);
        if let Some(jobs) = self.groups.get_mut(&group) {
            jobs.jobs -= 1;
            if jobs.jobs == 0 {
                self.groups.remove(&group);
            }
        }
        Some(job)
    }

    /// Returns the work of all waiting tasks, in thousandths of a core times milliseconds.
    pub fn waiting_work(&self) -> u64 {
        self.indexes.work.total()
    }

    /// Returns the waiting work of the jobs with at most as much waiting work as `limit`, in
    /// thousandths of a core times milliseconds.
    pub fn waiting_work_up_to(&self, limit: u64) -> u64 {
        self.indexes.work.up_to(limit)
    }

    /// Returns the waiting work of the jobs that have started or have at most as much waiting work
    /// as `limit`, in thousandths of a core times milliseconds.
    pub fn work_ahead_of(&self, limit: u64) -> u64 {
        let started = &self.indexes.started_work;
        self.indexes.work.up_to(limit) + started.total() - started.up_to(limit)
    }

    /// Returns the least processor that a waiting task needs, in thousandths of a core.
    pub fn min_cpu_millis(&self) -> Option<u32> {
        self.indexes
            .by_cpu
            .first()
            .map(|(cpu_millis, _)| *cpu_millis)
    }

    /// Returns whether at most `count` jobs with waiting tasks need at most `cpu_millis` thousandths
    /// of a core.
    pub fn has_few_up_to_cpu(&self, cpu_millis: u32, count: usize) -> bool {
        let fitting = &self.indexes.by_cpu;
        let mut fitting = fitting.range(..=(cpu_millis, JobId(u64::MAX)));
        fitting.nth(count).is_none()
    }

    /// Returns the jobs with waiting tasks that need at most `cpu_millis` thousandths of a core.
    pub fn waiting_up_to_cpu(&self, cpu_millis: u32) -> impl Iterator<Item = (JobId, &Job)> {
        let fitting = self.indexes.by_cpu.range(..=(cpu_millis, JobId(u64::MAX)));
        fitting.filter_map(|(_, id)| self.jobs.get(id).map(|job| (*id, job)))
    }

    /// Returns the jobs with waiting tasks that need at most `cpu_millis` thousandths of a core, in
    /// several queues that are each ordered by waiting work.
    pub fn queues(
        &self,
        cpu_millis: u32,
    ) -> impl Iterator<Item = impl Iterator<Item = (QueuePosition, &Job)>> {
        let queues = self.indexes.queues.range(..=queue_of(cpu_millis));
        queues.map(move |(_, queue)| {
            let fitting = queue.iter().filter(move |(_, cpu)| **cpu <= cpu_millis);
            fitting.filter_map(|(position, _)| {
                let job = self.jobs.get(&position.2)?;
                Some((*position, job))
            })
        })
    }

    /// Returns the jobs, in no particular order, that may be late or have timed out at `now`. The others can
    /// meet their targets, and their callers wait.
    pub fn maybe_late(&self, now: Mono) -> impl Iterator<Item = (JobId, &Job)> {
        let late = self.indexes.by_time.range(..=(now, JobId(u64::MAX)));
        late.filter_map(|(_, id)| self.jobs.get(id).map(|job| (*id, job)))
    }

    /// Returns the jobs for which `can_run` is not true. It must be monotonic: true for each request
    /// whose demand is at most that of another request for which it is true.
    pub fn unplaceable(
        &mut self,
        can_run: impl Fn(&SmolStr, Option<&SmolStr>, Resources) -> bool,
    ) -> Vec<JobId> {
        let mut unplaceable = Vec::new();
        for ((upstream, label), group) in &mut self.groups {
            if can_run(upstream, label.as_ref(), group.demand_bound) {
                continue;
            }
            group.demand_bound = Resources::default();
            for (id, job) in &self.jobs {
                if job.request.upstream != *upstream || job.request.label != *label {
                    continue;
                }
                let demand = job.request.demand;
                group.demand_bound = max_of(group.demand_bound, demand);
                if !can_run(upstream, label.as_ref(), demand) {
                    unplaceable.push(*id);
                }
            }
        }
        unplaceable.sort_unstable();
        unplaceable
    }

    /// Describes the first difference between the totals and indexes and a walk over all jobs.
    pub fn difference(&self) -> Option<String> {
        let mut walked = JobTable {
            jobs: BTreeMap::new(),
            indexes: Indexes::default(),
            groups: BTreeMap::new(),
            memory: Bytes(0),
            ..*self
        };
        for (id, job) in &self.jobs {
            walked.insert(*id, job.clone());
        }
        let waiting = || self.jobs.values().filter(|job| job.waiting > 0);
        let (known, walked_indexes) = (&self.indexes, &walked.indexes);
        let queues = |indexes: &Indexes| -> Vec<_> {
            let queues = indexes.queues.values().flatten();
            queues.map(|(position, cpu)| (*position, *cpu)).collect()
        };
        if queues(known) != queues(walked_indexes) {
            return Some(format!("queues {:?}", known.queues));
        }
        if known.by_cpu != walked_indexes.by_cpu || known.by_time != walked_indexes.by_time {
            return Some(format!("{:?}, {:?}", known.by_cpu, known.by_time));
        }
        for limit in waiting().map(Job::waiting_work).chain([0, u64::MAX]) {
            let up_to = waiting().filter(|job| job.waiting_work() <= limit);
            let up_to: u64 = up_to.map(Job::waiting_work).sum();
            let ahead = waiting().filter(|job| job.has_started || job.waiting_work() <= limit);
            let ahead: u64 = ahead.map(Job::waiting_work).sum();
            if (up_to, ahead) != (self.waiting_work_up_to(limit), self.work_ahead_of(limit)) {
                return Some(format!("work up to {limit} is not {up_to} and {ahead}"));
            }
        }
        if self.memory != walked.memory {
            return Some(format!("memory {} is not {}", self.memory, walked.memory));
        }
        let groups = |table: &JobTable| -> Vec<_> {
            let groups = table.groups.iter();
            groups
                .map(|(group, members)| (group.clone(), members.jobs))
                .collect()
        };
        (groups(self) != groups(&walked)).then(|| format!("groups {:?}", self.groups))
    }
}

/// A job that is being changed.
#[derive(Debug)]
pub(crate) struct JobMut<'a> {
    job: &'a mut Job,
    /// What the indexes contain of the job.
    key: Key,
    indexes: &'a mut Indexes,
    late_factor: u64,
    transit: Micros,
}

impl Deref for JobMut<'_> {
    type Target = Job;

    fn deref(&self) -> &Job {
        self.job
    }
}

impl DerefMut for JobMut<'_> {
    fn deref_mut(&mut self) -> &mut Job {
        self.job
    }
}

impl Drop for JobMut<'_> {
    fn drop(&mut self) {
        let key = key_of(self.job, self.late_factor, self.transit);
        if key != self.key {
            self.indexes.replace(Some(self.key), Some(key));
        }
    }
}

fn key_of(job: &Job, late_factor: u64, transit: Micros) -> Key {
    let ends_by = job.target_at().min(job.useful_until(late_factor));
    let run_time_us = job.estimate().0 + transit.0;
    let starts_by = Mono(ends_by.0.saturating_sub(run_time_us));
    Key {
        position: (job.waiting_work(), job.arrived_at, job.request.job),
        cpu_millis: job.request.demand.cpu_millis,
        is_waiting: job.waiting > 0,
        has_started: job.has_started,
        on_target_until: starts_by.min(job.caller_deadline),
    }
}

/// Returns the number of the queue for tasks that need `cpu_millis` thousandths of a core. Tasks that need
/// more have no smaller numbers, and those of a queue differ by less than a thirty-second.
fn queue_of(cpu_millis: u32) -> u32 {
    let shift = (u32::BITS - cpu_millis.leading_zeros()).saturating_sub(6);
    (shift << 5) + (cpu_millis >> shift)
}

fn group_of(request: &JobRequest) -> PlacementGroup {
    (request.upstream.clone(), request.label.clone())
}

fn max_of(one: Resources, other: Resources) -> Resources {
    Resources {
        cpu_millis: one.cpu_millis.max(other.cpu_millis),
        memory_mb: one.memory_mb.max(other.memory_mb),
        accelerators: one.accelerators.max(other.accelerators),
    }
}
