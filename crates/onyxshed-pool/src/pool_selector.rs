//! Which pool an entry host hands a job to.
//!
//! The pool of its own zone, unless another can start the job clearly earlier: a job in another
//! zone costs bytes between zones and two more milliseconds, waiting costs the caller's objective.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::evacuation::Evacuations;
use crate::resources::Resources;
use crate::shard_layout::PoolId;
use onyxshed_core::Millis;

/// What an owner tells about its pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Processor room of all usable executors, in thousandths of a core.
    pub capacity_cpu_millis: u64,
    /// What of it is free.
    pub free_cpu_millis: u64,
    /// Work of the tasks that wait, in thousandths of a core times milliseconds.
    pub waiting_work: u64,
    /// The owner wants to be replaced, or is being replaced.
    pub needs_replacement: bool,
    /// It takes no new jobs any more.
    pub is_closed: bool,
    /// The host that takes the pool over by its owner's word.
    pub successor: Option<SocketAddr>,
}

/// Advantage in waiting time that makes another zone worth while; ten times the way there and
/// back, so that small differences between reports half a heartbeat old move nothing.
const AWAY_MARGIN: Millis = Millis(20);

/// The same for another pool of the host's own zone, whose owner it hears seldom while it hands it
/// no jobs.
const NEIGHBOUR_MARGIN: Millis = Millis(10);

/// Loads of the pools as the entry host believes them.
#[derive(Debug, Default)]
pub struct PoolSelector {
    loads: BTreeMap<PoolId, PoolLoad>,
}

impl PoolSelector {
    /// Takes in what an owner tells of its pool.
    pub fn update_load(&mut self, pool: &PoolId, load: PoolLoad) {
        self.loads.insert(pool.clone(), load);
    }

    /// Forgets a pool whose owner is lost.
    pub fn remove_pool(&mut self, pool: &PoolId) {
        self.loads.remove(pool);
    }

    /// Tells whether any pool has executors that take work.
    pub fn has_capacity(&self) -> bool {
        let mut loads = self.loads.values();
        loads.any(|load| load.capacity_cpu_millis > 0)
    }

    /// Tells whether the owner of a pool answers and wants to be replaced, or is being replaced.
    pub fn needs_replacement(&self, pool: &PoolId) -> bool {
        let load = self.loads.get(pool);
        load.is_some_and(|load| load.needs_replacement)
    }

    /// Notes that a job was handed to a pool, ahead of the owner's next word.
    pub fn record_dispatch(
        &mut self,
        pool: &PoolId,
        demand: Resources,
        tasks: u16,
        estimate: Millis,
    ) {
        let Some(load) = self.loads.get_mut(pool) else {
            return;
        };
        let one = u64::from(demand.cpu_millis.max(1));
        let fits = (load.free_cpu_millis / one).min(u64::from(tasks));
        load.free_cpu_millis -= fits * one;
        load.waiting_work += (u64::from(tasks) - fits) * one * estimate.0;
    }

    /// Gets the pools in the order in which they should be asked. Among pools with the same wait the one
    /// with the most free room comes first: the callers of an evacuated zone spread over the others.
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

/// Gets the advantage in waiting time that makes a pool worth while.
fn margin(home: &PoolId, pool: &PoolId) -> Millis {
    match (pool == home, pool.zone == home.zone) {
        (true, _) => Millis(0),
        (false, true) => NEIGHBOUR_MARGIN,
        (false, false) => AWAY_MARGIN,
    }
}

/// Gets how long the last task of a job would wait, in milliseconds.
///
/// A pool that shows no capacity is asked last, and asked all the same: its owner may have told its
/// sum a moment before it took its first executor over, and callers would hear "not run" until its
/// next heartbeat.
///
/// What waits is worked off by the whole pool; of the job itself, what does not fit into the free
/// room counts as if each task lay in the way for as long as a short one takes.
fn wait_ms(load: &PoolLoad, demand: Resources, tasks: u16) -> u64 {
    const SHORT_TASK_MS: u64 = 60;
    if load.capacity_cpu_millis == 0 {
        return u64::MAX;
    }
    let one = u64::from(demand.cpu_millis.max(1));
    let fits = (load.free_cpu_millis / one).min(u64::from(tasks));
    let unplaced = (u64::from(tasks) - fits) * one * SHORT_TASK_MS;
    (load.waiting_work + unplaced) / load.capacity_cpu_millis
}
