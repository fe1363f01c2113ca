//! Selection of the pool to which an entry host submits a job.
//!
//! A job goes to the home pool of its entry host, unless another pool can start it clearly earlier.
//! Running a job in another zone costs traffic between zones and two more milliseconds; waiting
//! uses up the time that the caller's objective allows.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::evacuation::Evacuations;
use crate::overload::{CallerLimit, ClassAdmission, OverloadState};
use crate::pool_choice::PoolChoices;
use crate::resources::Resources;
use crate::shard_layout::PoolId;
use onyxshed_core::{Millis, Mono};

/// Load report of a pool's owner, sent in each answer to an entry host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Processor capacity of all executors that accept tasks, in thousandths of a core.
    pub capacity_cpu_millis: u64,
    /// Free part of that capacity, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// Work of the waiting tasks, in thousandths of a core times milliseconds.
    pub waiting_work: u64,
    /// Whether the owner needs to be replaced or is being replaced.
    pub needs_replacement: bool,
    /// Whether the owner has stopped admitting jobs.
    pub is_closed: bool,
    /// Address of the successor that the owner has selected, once it is taking the pool over.
    pub successor: Option<SocketAddr>,
    /// Number of the report, counted by its owner from 1; 0 if the owner does not number its reports.
    pub version: u64,
    /// Remaining work of the runs that execute, in thousandths of a core times milliseconds.
    pub running_work: u64,
    /// Mean speed of the usable executors, in thousandths: 1,000 if tasks take as long as estimated. 0 if
    /// it is not known.
    pub speed_millis: u32,
    /// Whether the pool is overloaded.
    pub overload: OverloadState,
    /// What the pool admits of each class, in the order of their names; empty unless its jobs are planned.
    pub admissions: Vec<ClassAdmission>,
    /// What the pool admits of the callers that have used more than their shares; empty unless it is
    /// overloaded.
    pub limited_callers: Vec<CallerLimit>,
}

/// Advantage in waiting time from which another zone's pool is preferred. This is ten times the
/// round trip between zones. Load reports are half a heartbeat old, so smaller differences between
/// them must not move jobs.
const REMOTE_ZONE_MARGIN: Millis = Millis(20);

/// Advantage in waiting time from which another pool of the host's own zone is preferred. The load
/// reports of a pool to which the host submits no jobs are infrequent.
const SAME_ZONE_MARGIN: Millis = Millis(10);

impl PoolLoad {
    /// Subtracts the processor of a job's tasks that fit from the free part, and adds the other tasks to
    /// the waiting work.
    pub(crate) fn record_dispatch(&mut self, demand: Resources, tasks: u16, estimate: Millis) {
        let task_cpu_millis = u64::from(demand.cpu_millis.max(1));
        let fitting_tasks = (self.free_cpu_millis / task_cpu_millis).min(u64::from(tasks));
        self.free_cpu_millis -= fitting_tasks * task_cpu_millis;
        self.waiting_work += (u64::from(tasks) - fitting_tasks) * task_cpu_millis * estimate.0;
    }
}

/// Latest load report of each pool, adjusted for the jobs that this entry host has submitted since.
#[derive(Debug, Default)]
pub struct PoolSelector {
    loads: BTreeMap<PoolId, PoolLoad>,
    /// `None` unless work is transferred.
    choices: Option<PoolChoices>,
}

impl PoolSelector {
    /// Creates a selector without reports. If `transfers_work`, it selects the pool in which a job ends first;
    /// see [`PoolChoices`].
    pub fn new(transfers_work: bool) -> Self {
        PoolSelector {
            loads: BTreeMap::new(),
            choices: transfers_work.then(PoolChoices::default),
        }
    }

    /// Returns the choices by the end of a job, `None` unless work is transferred.
    pub fn choices(&mut self) -> Option<&mut PoolChoices> {
        self.choices.as_mut()
    }

    /// Applies a report that arrived at `now`. A report that its owner sent before the last one is
    /// ignored if overload decisions take effect.
    pub fn record_report(&mut self, now: Mono, pool: &PoolId, load: PoolLoad) {
        if let Some(choices) = &mut self.choices
            && !choices.record_report(now, pool, load.clone())
        {
            return;
        }
        self.update_load(pool, load);
    }

    /// Replaces the load of a pool, including adjustments for submitted jobs, by a new report.
    pub fn update_load(&mut self, pool: &PoolId, load: PoolLoad) {
        self.loads.insert(pool.clone(), load);
    }

    /// Returns whether a pool may admit a job that another pool has refused for want of room: by its last
    /// report, it is not overloaded.
    pub fn may_admit(&self, pool: &PoolId) -> bool {
        let load = self.loads.get(pool);
        load.is_some_and(|load| load.overload == OverloadState::Normal)
    }

    /// Removes the load of a pool whose owner is unreachable, so that no job is submitted to the
    /// pool before its next report.
    pub fn remove_pool(&mut self, pool: &PoolId) {
        self.loads.remove(pool);
        if let Some(choices) = &mut self.choices {
            choices.remove_pool(pool);
        }
    }

    /// Returns whether any pool reports executors that accept tasks.
    pub fn has_capacity(&self) -> bool {
        let mut loads = self.loads.values();
        loads.any(|load| load.capacity_cpu_millis > 0)
    }

    /// Returns whether the owner of a pool reports that it needs to be replaced or is being replaced.
    pub fn needs_replacement(&self, pool: &PoolId) -> bool {
        let load = self.loads.get(pool);
        load.is_some_and(|load| load.needs_replacement)
    }

    /// Adjusts the load of a pool for a submitted job: subtracts the processor of the tasks that
    /// fit from the free part, and adds the other tasks to the waiting work. The owner's next
    /// report replaces these figures.
    pub fn record_dispatch(
        &mut self,
        pool: &PoolId,
        demand: Resources,
        tasks: u16,
        estimate: Millis,
    ) {
        if let Some(load) = self.loads.get_mut(pool) {
            load.record_dispatch(demand, tasks, estimate);
        }
    }

    /// Returns the pools in the order in which a job should be submitted to them. Closed pools and
    /// pools in evacuated zones are left out.
    ///
    /// Among pools with the same wait, the one with the most free processor comes first, so that
    /// the callers of an evacuated zone spread over the other zones.
    pub fn rank_pools(
        &self,
        home: &PoolId,
        demand: Resources,
        tasks: u16,
        evacuations: &Evacuations,
    ) -> Vec<PoolId> {
        let mut pools: Vec<(u64, u64, Reverse<u64>, &PoolId)> = self
            .loads
            .iter()
            .filter(|(_, load)| !load.is_closed)
            .filter(|(pool, _)| !evacuations.contains(&pool.zone))
            .map(|(pool, load)| {
                let margin = margin(home, pool).0;
                let wait_ms = wait_ms(load, demand, tasks).saturating_add(margin);
                (wait_ms, margin, Reverse(load.free_cpu_millis), pool)
            })
            .collect();
        pools.sort();
        pools.into_iter().map(|(.., pool)| pool.clone()).collect()
    }
}

/// Returns the advantage in waiting time from which a pool is preferred to the home pool.
pub(crate) fn margin(home: &PoolId, pool: &PoolId) -> Millis {
    match (pool == home, pool.zone == home.zone) {
        (true, _) => Millis(0),
        (false, true) => SAME_ZONE_MARGIN,
        (false, false) => REMOTE_ZONE_MARGIN,
    }
}

/// Returns the estimated wait of a job's last task, in milliseconds.
///
/// A pool that reports no capacity comes last, but is not left out: its owner may have sent the report
/// a moment before it acquired its first executor, and callers would get "not run" until its next
/// heartbeat.
///
/// The whole pool processes the waiting work. Tasks of the job that don't fit into the free capacity
/// count as if each delayed the job by the run time of a short task.
fn wait_ms(load: &PoolLoad, demand: Resources, tasks: u16) -> u64 {
    const SHORT_TASK_MS: u64 = 60;
    if load.capacity_cpu_millis == 0 {
        return u64::MAX;
    }
    let task_cpu_millis = u64::from(demand.cpu_millis.max(1));
    let fitting_tasks = (load.free_cpu_millis / task_cpu_millis).min(u64::from(tasks));
    let unplaced = (u64::from(tasks) - fitting_tasks) * task_cpu_millis * SHORT_TASK_MS;
    (load.waiting_work + unplaced) / load.capacity_cpu_millis
}
