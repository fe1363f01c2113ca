//! Takeover of a pool by the successor that its last owner has selected, without the store.
//!
//! The successor serves immediately. When the store answers again, the successor removes the
//! memberships of the previous owners and joins the pool's group itself.

use std::time::Duration;

use onyxshed_pool::{OwnershipTransfer, PoolId};
use smol_str::SmolStr;

use super::contender::{Contender, OwnershipStep};
use crate::executors::InitialExecutors;

/// Interval at which a successor tries to register in the store. It is short because other hosts
/// find the pool vacant soon after the store answers again.
pub(super) const REGISTER_PERIOD: Duration = Duration::from_millis(100);

impl Contender {
    /// Takes over a pool whose last owner has made this host its successor.
    pub(super) fn succeed(&mut self, pool: PoolId, transfer: OwnershipTransfer) -> OwnershipStep {
        let token = transfer.token;
        let last_owner = self.links.link_to(&pool);
        self.acquire_pool(token, &pool, last_owner);
        let layout = self.shard_layouts.layout_of(&pool.zone);
        let initial = InitialExecutors::FromPredecessor(transfer.executors);
        self.follow_executors(token, &pool, layout, initial);
        self.engine.set_past_members(transfer.past_members);
        OwnershipStep::Renew(pool)
    }

    /// Joins the group of the pool, and removes the membership of a previous owner that the store
    /// still lists.
    pub(super) async fn register(
        &mut self,
        pool: PoolId,
        past_members: &[SmolStr],
    ) -> OwnershipStep {
        // While the store is unavailable the successor serves unregistered.
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

    /// Hands the pool over to another owner if the store has appointed another owner in the
    /// meantime. Otherwise the store is about to assign the pool to this successor.
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
