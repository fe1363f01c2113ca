//! Successors of owners: this host's offer to become a successor, the transfer by which it becomes
//! the successor, and the links to the successors of other owners.

use std::net::SocketAddr;
use std::rc::Rc;

use onyxshed_core::Millis;
use onyxshed_kernel::Notifier;
use onyxshed_pool::{OwnershipTransfer, PoolId, SuccessorOffer};

use super::Links;
use crate::boot_clock;

/// How long a transfer is valid: the owner repeats it in each heartbeat reply while it is in
/// effect.
const TRANSFER_VALIDITY: Millis = Millis(1_000);

impl Links {
    /// Returns the offer to become the successor of a pool's owner, or `None` if this host could
    /// not own the pool.
    pub(super) fn successor_offer(&self, pool: &PoolId) -> Option<SuccessorOffer> {
        let could_own = pool.zone == self.options.zone
            && self.engine.owned_pool().is_none()
            && !self.kernel.readiness().is_draining();
        could_own.then_some(SuccessorOffer {
            address: self.options.advertised,
            cpu_millis: self.options.cpu_millis,
        })
    }

    /// Records that this host was made the successor of a pool's owner.
    pub(super) fn record_transfer(&self, pool: PoolId, transfer: OwnershipTransfer) {
        *self.pending_transfer.borrow_mut() = Some((boot_clock::now(), pool, transfer));
        self.transfer_received.notify();
    }

    /// Returns the notifier for transfers that make this host a successor.
    pub fn transfer_received(&self) -> &Notifier {
        &self.transfer_received
    }

    /// Removes and returns the pending transfer. Returns `None` if there is none or it is older
    /// than `TRANSFER_VALIDITY`.
    pub fn take_transfer(&self) -> Option<(PoolId, OwnershipTransfer)> {
        let (received_at, pool, transfer) = self.pending_transfer.take()?;
        let age = boot_clock::now().since(received_at);
        (age < TRANSFER_VALIDITY.into()).then_some((pool, transfer))
    }

    /// Directs jobs for a pool to the successor that takes it over.
    pub(super) fn follow_successor(self: &Rc<Self>, pool: &PoolId, successor: SocketAddr) {
        if successor == self.options.advertised {
            return;
        }
        let previous = self.remote.borrow().get(pool).map(|link| link.address());
        let previous = match self.engine.owned_pool().as_ref() == Some(pool) {
            true => Some(self.options.advertised),
            false => previous,
        };
        self.set_owner(pool, Some(successor));
        if let Some(previous) = previous.filter(|previous| *previous != successor) {
            self.superseded.borrow_mut().insert(pool.clone(), previous);
        }
    }

    /// Returns whether `owner` is a previous owner of a pool that a successor, which answers, has
    /// replaced.
    pub fn is_superseded(&self, pool: &PoolId, owner: Option<SocketAddr>) -> bool {
        let previous = self.superseded.borrow().get(pool).copied();
        previous.is_some() && previous == owner && self.is_up(pool)
    }
}
