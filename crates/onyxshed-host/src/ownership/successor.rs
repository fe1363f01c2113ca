//! A pool that comes to this host by its last owner's word, without the store.
//!
//! The successor serves at once; the store's books catch up when the store answers again: the memberships of
//! the owners before it are ended, and it joins in its own name.

use std::time::Duration;

use onyxshed_pool::{OwnershipTransfer, PoolId};
use smol_str::SmolStr;

use super::contender::{Contender, OwnershipStep};
use crate::executors::InitialExecutors;

/// Time between two tries of a successor to be written into the store's books: soon after the store
/// answers, others find the pool vacant there.
pub(super) const REGISTER_PERIOD: Duration = Duration::from_millis(100);

impl Contender {
    /// Takes a pool over by its last owner's word, without the store.
    pub(super) fn succeed(&mut self, pool: PoolId, transfer: OwnershipTransfer) -> OwnershipStep {
        let token = transfer.token;
        let last_owner = self.links.link_to(&pool);
        self.acquire_pool(token, &pool, last_owner);
        let division = self.shard_layouts.layout_of(&pool.zone);
        let known = InitialExecutors::FromPredecessor(transfer.executors);
        self.follow_executors(token, &pool, division, known);
        self.engine.set_past_members(transfer.past_members);
        OwnershipStep::Renew(pool)
    }

    /// Joins the pool's group as the successor of owners that the store may still list.
    pub(super) async fn register(
        &mut self,
        pool: PoolId,
        past_members: &[SmolStr],
    ) -> OwnershipStep {
        // While the store is away the successor serves without it.
        let Some(holder) = self.read_holder(&pool).await else {
            return OwnershipStep::Renew(pool);
        };
        self.write_owner_record(&pool).await;
        if let Some(holder) = holder.filter(|holder| past_members.contains(holder)) {
            self.end_membership(&pool, &holder).await;
        }
        match self.send_join(&pool).await {
            Some(true) => {
                self.engine.set_past_members(Vec::new());
                OwnershipStep::Renew(pool)
            }
            Some(false) => self.yield_to_holder(pool, past_members).await,
            None => OwnershipStep::Renew(pool),
        }
    }

    /// Makes way for another owner that the store has made meanwhile, if there is one; else the pool
    /// is about to be this successor's.
    async fn yield_to_holder(&mut self, pool: PoolId, past_members: &[SmolStr]) -> OwnershipStep {
        match self.read_holder(&pool).await {
            Some(Some(holder)) if holder != self.member && !past_members.contains(&holder) => {
                self.engine.set_past_members(Vec::new());
                self.hand_over(pool).await
            }
            _ => OwnershipStep::Renew(pool),
        }
    }
}
