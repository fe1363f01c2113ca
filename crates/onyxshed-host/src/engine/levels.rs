//! Levels of admission at this host, which is an entry host and may own a pool.

use onyxshed_core::Mono;
use onyxshed_pool::{ClassId, EntryDecision, JobId, OverloadMode, Pool, PoolId, PoolLoad};

use super::Engine;
use crate::boot_clock;

impl Engine {
    /// Records the load report of another host's pool.
    pub fn record_report(&self, pool: &PoolId, load: &PoolLoad) {
        if self.applies_levels() {
            let now = boot_clock::now();
            self.levels.borrow_mut().update(now, pool, load);
        }
    }

    /// Forgets the report of a pool whose owner has changed or can't be reached.
    pub fn forget_report(&self, pool: &PoolId) {
        self.levels.borrow_mut().remove_pool(pool);
    }

    /// Decides whether a request that has just arrived is submitted to a pool. A request for a job that the
    /// owned pool has is a copy, and is always submitted.
    pub fn decide_arrival(&self, class: &ClassId, job: JobId) -> EntryDecision {
        if !self.applies_levels() {
            return EntryDecision::Submit;
        }
        let evacuations = self.evacuations.known();
        let levels = self.levels.borrow();
        let decision = levels.decide(boot_clock::now(), class, &evacuations, rand::random());
        let has_job = || {
            let pool = self.pool.borrow();
            pool.as_ref().is_some_and(|pool| pool.has_job(job))
        };
        match decision {
            EntryDecision::Refuse { .. } if has_job() => EntryDecision::Submit,
            decision => decision,
        }
    }

    /// Records the report of the owned pool as that of any other, and passes to the pool which share of each
    /// class entry hosts let through.
    pub(super) fn update_levels(&self) {
        if !self.applies_levels() {
            return;
        }
        let now = boot_clock::now();
        let served = self.owned_pool().filter(|pool| self.serves(pool));
        let mut pool = self.pool.borrow_mut();
        self.levels.borrow_mut().set_own_pool(served.clone());
        if let (Some(served), Some(pool)) = (served, pool.as_mut()) {
            let load = pool.load(now);
            self.levels.borrow_mut().update(now, &served, &load);
            self.pass_let_through(now, pool);
        }
    }

    fn pass_let_through(&self, now: Mono, pool: &mut Pool) {
        let evacuations = self.evacuations.known();
        let levels = self.levels.borrow();
        pool.set_let_through(|class| levels.let_through(now, class, &evacuations));
    }

    fn applies_levels(&self) -> bool {
        self.options.overload == OverloadMode::On
    }
}
