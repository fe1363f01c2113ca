//! The executors of a pool, with totals and indexes that are kept up to date.
//!
//! Whether an executor is usable changes with time only if it is unresponsive or unlisted, and
//! whether it accepts tasks only if it is avoided or assumed to be full. The totals therefore cover
//! the other executors; these few are kept in sets of their own and tested when a total is read.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};

use onyxshed_core::Mono;
use smol_str::SmolStr;

use crate::executor::{Executor, Phase, Run, RunState};
use crate::id::{ExecutorId, JobId, TaskId};
use crate::options::PoolOptions;
use crate::resources::Resources;

/// Sums of resources that do not saturate while executors are added.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Total {
    cpu_millis: u64,
    memory_mb: u64,
    accelerators: u64,
}

impl Total {
    fn add(&mut self, other: Resources) {
        self.cpu_millis += u64::from(other.cpu_millis);
        self.memory_mb += u64::from(other.memory_mb);
        self.accelerators += u64::from(other.accelerators);
    }

    fn subtract(&mut self, other: Resources) {
        self.cpu_millis -= u64::from(other.cpu_millis);
        self.memory_mb -= u64::from(other.memory_mb);
        self.accelerators -= u64::from(other.accelerators);
    }

    fn resources(self) -> Resources {
        let clamped = |amount: u64| u32::try_from(amount).unwrap_or(u32::MAX);
        Resources {
            cpu_millis: clamped(self.cpu_millis),
            memory_mb: clamped(self.memory_mb),
            accelerators: clamped(self.accelerators),
        }
    }
}

/// Processor of the executors that accept tasks, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct AcceptingTotal {
    pub capacity_cpu_millis: u64,
    pub free_cpu_millis: u64,
}

/// What the totals and indexes contain of an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Key {
    capacity: Resources,
    free: Resources,
    /// Whether the executor is usable at any time.
    is_steady: bool,
    /// Whether the executor accepts tasks at any time from now on.
    is_accepting: bool,
}

impl Key {
    fn of(executor: &Executor, clock: Mono) -> Key {
        let is_steady = !executor.facts.is_draining
            && !executor.is_unresponsive
            && executor.unlisted_at.is_none();
        Key {
            capacity: executor.facts.capacity,
            free: executor.free,
            is_steady,
            is_accepting: is_steady
                && executor.phase == Phase::Acquired
                && executor.has_current_facts()
                && executor.has_clock()
                && executor.health.failures == 0
                && executor.health.avoided_until <= clock
                && executor.full_until <= clock,
        }
    }
}

/// Totals and indexes over the executors.
#[derive(Debug, Default, PartialEq)]
struct Indexes {
    steady_capacity: Total,
    accepting: AcceptingTotal,
    /// Executors that are not steady.
    unsteady: BTreeSet<ExecutorId>,
    /// Executors that accept no tasks, or only at some times.
    unsettled: BTreeSet<ExecutorId>,
    /// All executors by their free processor, in thousandths of a core.
    by_free_cpu: BTreeSet<(u32, ExecutorId)>,
}

impl Indexes {
    fn add(&mut self, id: &ExecutorId, key: Key) {
        match key.is_steady {
            true => self.steady_capacity.add(key.capacity),
            false => {
                self.unsteady.insert(id.clone());
            }
        }
        match key.is_accepting {
            true => {
                self.accepting.capacity_cpu_millis += u64::from(key.capacity.cpu_millis);
                self.accepting.free_cpu_millis += u64::from(key.free.cpu_millis);
            }
            false => {
                self.unsettled.insert(id.clone());
            }
        }
        self.by_free_cpu.insert((key.free.cpu_millis, id.clone()));
    }

    fn remove(&mut self, id: &ExecutorId, key: Key) {
        match key.is_steady {
            true => self.steady_capacity.subtract(key.capacity),
            false => {
                self.unsteady.remove(id);
            }
        }
        match key.is_accepting {
            true => {
                self.accepting.capacity_cpu_millis -= u64::from(key.capacity.cpu_millis);
                self.accepting.free_cpu_millis -= u64::from(key.free.cpu_millis);
            }
            false => {
                self.unsettled.remove(id);
            }
        }
        self.by_free_cpu.remove(&(key.free.cpu_millis, id.clone()));
    }
}

/// An executor and what the indexes contain of it.
#[derive(Debug)]
struct Entry {
    executor: Executor,
    key: Key,
}

/// The executors of a pool by id.
#[derive(Debug, Default)]
pub(crate) struct ExecutorSet {
    entries: BTreeMap<ExecutorId, Entry>,
    indexes: Indexes,
    /// Every tracked run by job, executor and task index.
    runs: BTreeSet<(JobId, ExecutorId, u16)>,
    /// Number of tracked runs whose jobs have ended.
    dropped_runs: usize,
    /// Latest known time, from which on an executor may count as accepting at any time.
    clock: Mono,
}

impl ExecutorSet {
    /// Records that the time is at least `now`.
    pub fn advance_clock(&mut self, now: Mono) {
        self.clock = self.clock.max(now);
    }

    /// Returns the latest time that was passed to [`Self::advance_clock`].
    pub fn clock(&self) -> Mono {
        self.clock
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn contains_key(&self, id: &ExecutorId) -> bool {
        self.entries.contains_key(id)
    }

    pub fn get(&self, id: &ExecutorId) -> Option<&Executor> {
        self.entries.get(id).map(|entry| &entry.executor)
    }

    /// Returns an executor for changes, which reach the totals and indexes when the value is dropped.
    pub fn get_mut(&mut self, id: &ExecutorId) -> Option<ExecutorMut<'_>> {
        let (id, entry) = match self.entries.get_mut(id) {
            Some(entry) => (id.clone(), entry),
            None => return None,
        };
        Some(ExecutorMut {
            id,
            entry,
            indexes: &mut self.indexes,
            clock: self.clock,
        })
    }

    pub fn keys(&self) -> impl Iterator<Item = &ExecutorId> {
        self.entries.keys()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&ExecutorId, &Executor)> {
        self.entries.iter().map(|(id, entry)| (id, &entry.executor))
    }

    pub fn values(&self) -> impl Iterator<Item = &Executor> {
        self.entries.values().map(|entry| &entry.executor)
    }

    /// Returns every executor, for changes of what neither totals nor indexes contain.
    pub fn iter_unindexed_mut(&mut self) -> impl Iterator<Item = &mut Executor> {
        self.entries.values_mut().map(|entry| &mut entry.executor)
    }

    /// Adds an executor on which nothing runs.
    pub fn insert(&mut self, id: ExecutorId, executor: Executor) {
        self.remove(&id);
        let key = Key::of(&executor, self.clock);
        self.indexes.add(&id, key);
        self.entries.insert(id, Entry { executor, key });
    }

    pub fn remove(&mut self, id: &ExecutorId) {
        if let Some(entry) = self.entries.remove(id) {
            self.indexes.remove(id, entry.key);
            for (task, run) in &entry.executor.runs {
                self.remove_from_index(id, *task, run);
            }
        }
    }

    /// Removes the executors on which nothing runs.
    pub fn remove_idle(&mut self) {
        let idle = self.iter().filter(|(_, executor)| executor.runs.is_empty());
        let idle: Vec<ExecutorId> = idle.map(|(id, _)| id.clone()).collect();
        for id in idle {
            self.remove(&id);
        }
    }

    /// Adds a run on an executor and reserves its resources.
    pub fn add_run(&mut self, id: &ExecutorId, task: TaskId, run: Run) {
        let Some(mut executor) = self.get_mut(id) else {
            return;
        };
        executor.add_run(task, run);
        drop(executor);
        self.runs.insert((task.job, id.clone(), task.index));
    }

    /// Removes a run that no longer executes and frees its resources. Returns `None` if there is no
    /// run of the task on the executor.
    pub fn remove_run(&mut self, id: &ExecutorId, task: TaskId) -> Option<Run> {
        let run = self.get_mut(id)?.remove_run(task)?;
        self.remove_from_index(id, task, &run);
        Some(run)
    }

    /// Removes and returns every run of an executor.
    pub fn take_runs(&mut self, id: &ExecutorId) -> Vec<(TaskId, Run)> {
        let runs = self.get_mut(id).map(|mut executor| executor.take_runs());
        let runs = runs.unwrap_or_default();
        for (task, run) in &runs {
            self.remove_from_index(id, *task, run);
        }
        runs
    }

    fn remove_from_index(&mut self, id: &ExecutorId, task: TaskId, run: &Run) {
        self.runs.remove(&(task.job, id.clone(), task.index));
        self.dropped_runs -= usize::from(run.is_dropped);
    }

    /// Marks a run as one of a job that has ended, and returns whether it is still to be stopped.
    pub fn mark_dropped(&mut self, id: &ExecutorId, task: TaskId) -> bool {
        let Some(mut executor) = self.get_mut(id) else {
            return false;
        };
        let Some(run) = executor.runs.get_mut(&task) else {
            return false;
        };
        let was_dropped = std::mem::replace(&mut run.is_dropped, true);
        let is_to_stop = !matches!(run.state, RunState::Stopping { .. });
        drop(executor);
        self.dropped_runs += usize::from(!was_dropped);
        is_to_stop
    }

    /// Returns the number of tracked runs whose jobs have ended.
    pub fn dropped_run_count(&self) -> usize {
        self.dropped_runs
    }

    /// Returns the executor and task of each run of a job, including runs that are being stopped,
    /// by executor.
    pub fn runs_of(&self, job: JobId) -> impl Iterator<Item = (&ExecutorId, TaskId)> {
        let first = (job, ExecutorId(Default::default()), 0);
        let from_job = self.runs.range(first..);
        let of_job = from_job.take_while(move |(other, ..)| *other == job);
        of_job.map(move |(_, id, index)| (id, TaskId { job, index: *index }))
    }

    /// Returns the total capacity of the usable executors.
    pub fn usable_capacity(&self, now: Mono, options: &PoolOptions) -> Resources {
        let mut total = self.indexes.steady_capacity;
        let unsteady = self.indexes.unsteady.iter().filter_map(|id| self.get(id));
        for executor in unsteady.filter(|executor| executor.is_usable(now, options)) {
            total.add(executor.facts.capacity);
        }
        total.resources()
    }

    /// Returns whether a usable executor can run tasks, now or once it has free resources.
    pub fn can_run(
        &self,
        now: Mono,
        options: &PoolOptions,
        upstream: &SmolStr,
        label: Option<&SmolStr>,
        demand: Resources,
    ) -> bool {
        self.values().any(|executor| {
            executor.is_usable(now, options)
                && executor.facts.upstream == *upstream
                && executor.facts.capacity.can_fit(demand)
                && executor.has_label(label)
        })
    }

    /// Returns the processor of the executors that accept tasks.
    pub fn accepting(&self, now: Mono, options: &PoolOptions) -> AcceptingTotal {
        let mut total = self.indexes.accepting;
        let unsettled = self.indexes.unsettled.iter().filter_map(|id| self.get(id));
        for executor in unsettled.filter(|executor| executor.can_accept_tasks(now, options)) {
            total.capacity_cpu_millis += u64::from(executor.facts.capacity.cpu_millis);
            total.free_cpu_millis += u64::from(executor.free.cpu_millis);
        }
        total
    }

    /// Returns the executors with at least `min_cpu_millis` free, by id.
    pub fn with_free_cpu(&self, min_cpu_millis: u32) -> Vec<(&ExecutorId, &Executor)> {
        let first = (min_cpu_millis, ExecutorId(Default::default()));
        let roomy = self.indexes.by_free_cpu.range(first..);
        let mut roomy: Vec<_> = roomy
            .filter_map(|(_, id)| self.get(id).map(|executor| (id, executor)))
            .collect();
        roomy.sort_unstable_by_key(|(id, _)| *id);
        roomy
    }

    /// Describes the first difference between the totals and indexes and a walk over all executors.
    pub fn difference(&self, now: Mono, options: &PoolOptions) -> Option<String> {
        let mut indexes = Indexes::default();
        let mut runs = BTreeSet::new();
        for (id, entry) in &self.entries {
            indexes.add(id, entry.key);
            let tasks = entry.executor.runs.keys();
            runs.extend(tasks.map(|task| (task.job, id.clone(), task.index)));
        }
        let mut capacity = Resources::default();
        let mut accepting = AcceptingTotal::default();
        for executor in self.values() {
            if executor.is_usable(now, options) {
                capacity += executor.facts.capacity;
            }
            if executor.can_accept_tasks(now, options) {
                accepting.capacity_cpu_millis += u64::from(executor.facts.capacity.cpu_millis);
                accepting.free_cpu_millis += u64::from(executor.free.cpu_millis);
            }
        }
        if indexes != self.indexes {
            Some(format!("{:?} in place of {indexes:?}", self.indexes))
        } else if runs != self.runs {
            Some(format!("runs {:?} in place of {runs:?}", self.runs))
        } else if capacity != self.usable_capacity(now, options) {
            Some(format!("usable capacity is not {capacity}"))
        } else if accepting != self.accepting(now, options) {
            Some(format!("accepting executors are not {accepting:?}"))
        } else {
            None
        }
    }
}

/// An executor that is being changed.
#[derive(Debug)]
pub(crate) struct ExecutorMut<'a> {
    id: ExecutorId,
    entry: &'a mut Entry,
    indexes: &'a mut Indexes,
    clock: Mono,
}

impl Deref for ExecutorMut<'_> {
    type Target = Executor;

    fn deref(&self) -> &Executor {
        &self.entry.executor
    }
}

impl DerefMut for ExecutorMut<'_> {
    fn deref_mut(&mut self) -> &mut Executor {
        &mut self.entry.executor
    }
}

impl Drop for ExecutorMut<'_> {
    fn drop(&mut self) {
        let key = Key::of(&self.entry.executor, self.clock);
        if key != self.entry.key {
            self.indexes.remove(&self.id, self.entry.key);
            self.indexes.add(&self.id, key);
            self.entry.key = key;
        }
    }
}
