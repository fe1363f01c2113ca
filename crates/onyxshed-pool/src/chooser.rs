//! Which pool an entry host hands a job to.
//!
//! The pool of its own zone, unless another can start the job clearly earlier: a job in another
//! zone costs bytes between zones and two more milliseconds, waiting costs the caller's objective.

use std::collections::BTreeMap;

use onyxshed_core::Millis;
use smol_str::SmolStr;

use crate::room::Room;

/// What an owner tells about its pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolDigest {
    /// Processor room of all usable executors, in thousandths of a core.
    pub capacity_cpu_millis: u64,
    /// What of it is free.
    pub free_cpu_millis: u64,
    /// Work of the tasks that wait, in thousandths of a core times milliseconds.
    pub waiting_work: u64,
    /// The pool takes no new jobs, because its owner is stopping.
    pub is_closing: bool,
}

/// Advantage in waiting time that makes another zone worth while; ten times the way there and
/// back, so that small differences between reports half a heartbeat old move nothing.
const AWAY_MARGIN: Millis = Millis(20);

/// Loads of the pools as the entry host believes them.
#[derive(Debug, Default)]
pub struct Chooser {
    digests: BTreeMap<SmolStr, PoolDigest>,
}

impl Chooser {
    /// Takes in what an owner tells of its pool.
    pub fn told(&mut self, pool: &SmolStr, digest: PoolDigest) {
        self.digests.insert(pool.clone(), digest);
    }

    /// Forgets a pool whose owner is lost.
    pub fn lost(&mut self, pool: &SmolStr) {
        self.digests.remove(pool);
    }

    /// Notes that a job was handed to a pool, ahead of the owner's next word.
    pub fn handed(&mut self, pool: &SmolStr, demand: Room, tasks: u16, estimate: Millis) {
        let Some(digest) = self.digests.get_mut(pool) else {
            return;
        };
        let one = u64::from(demand.cpu_millis.max(1));
        let fits = (digest.free_cpu_millis / one).min(u64::from(tasks));
        digest.free_cpu_millis -= fits * one;
        digest.waiting_work += (u64::from(tasks) - fits) * one * estimate.0;
    }

    /// Gets the pools in the order in which they should be asked.
    pub fn order(&self, home: &SmolStr, demand: Room, tasks: u16) -> Vec<SmolStr> {
        let mut pools: Vec<(u64, bool, &SmolStr)> = self
            .digests
            .iter()
            .filter(|(_, digest)| !digest.is_closing && digest.capacity_cpu_millis > 0)
            .map(|(pool, digest)| {
                let is_away = pool != home;
                let margin_ms = if is_away { AWAY_MARGIN.0 } else { 0 };
                (wait_ms(digest, demand, tasks) + margin_ms, is_away, pool)
            })
            .collect();
        pools.sort();
        pools.into_iter().map(|(_, _, pool)| pool.clone()).collect()
    }
}

/// Gets how long the last task of a job would wait, in milliseconds.
///
/// What waits is worked off by the whole pool; of the job itself, what does not fit into the free
/// room counts as if each task lay in the way for as long as a short one takes.
fn wait_ms(digest: &PoolDigest, demand: Room, tasks: u16) -> u64 {
    const SHORT_TASK_MS: u64 = 60;
    let one = u64::from(demand.cpu_millis.max(1));
    let fits = (digest.free_cpu_millis / one).min(u64::from(tasks));
    let unplaced = (u64::from(tasks) - fits) * one * SHORT_TASK_MS;
    (digest.waiting_work + unplaced) / digest.capacity_cpu_millis.max(1)
}
