//! Successors of pools, as this host hears of them or becomes one.

use std::net::SocketAddr;
use std::rc::Rc;

use onyxshed_core::Millis;
use onyxshed_kernel::Change;
use onyxshed_pool::{OwnershipTransfer, PoolId, SuccessorOffer};

use super::Links;
use crate::boot_clock;

/// How long a transfer holds: the successor hears it with each heartbeat as long as it is meant.
const TRANSFER_VALIDITY: Millis = Millis(1_000);

impl Links {
    /// Gets what this host tells the owner of a pool in its zone that it could own.
    pub(super) fn successor_offer(&self, pool: &PoolId) -> Option<SuccessorOffer> {
        let could_own = pool.zone == self.options.zone
            && self.engine.owned_pool().is_none()
            && !self.kernel.readiness().is_draining();
        could_own.then_some(SuccessorOffer {
            address: self.options.advertised,
            cpu_millis: self.options.cpu_millis,
        })
    }

    /// Takes in that this host was made the successor of a pool.
    pub(super) fn record_transfer(&self, pool: PoolId, transfer: OwnershipTransfer) {
        *self.pending_transfer.borrow_mut() = Some((boot_clock::now(), pool, transfer));
        self.transfer_received.notify();
    }

    /// Gets what is told when this host is made a successor.
    pub fn transfer_received(&self) -> &Change {
        &self.transfer_received
    }

    /// Takes what this host was made the successor of, if it was told so a moment ago.
    pub fn take_transfer(&self) -> Option<(PoolId, OwnershipTransfer)> {
        let (told_at, pool, transfer) = self.pending_transfer.take()?;
        let age = boot_clock::now().since(told_at);
        (age < TRANSFER_VALIDITY.into()).then_some((pool, transfer))
    }

    /// Hands jobs to the successor that takes a pool over.
    pub(super) fn follow_successor(self: &Rc<Self>, pool: &PoolId, successor: SocketAddr) {
        if successor == self.options.advertised {
            return;
        }
        let last = self.remote.borrow().get(pool).map(|link| link.address());
        let last = match self.engine.owned_pool().as_ref() == Some(pool) {
            true => Some(self.options.advertised),
            false => last,
        };
        self.set_owner(pool, Some(successor));
        if let Some(last) = last.filter(|last| *last != successor) {
            self.superseded.borrow_mut().insert(pool.clone(), last);
        }
    }

    /// Tells whether a host was a pool's owner, and a successor that answers has taken over from it.
    pub fn is_superseded(&self, pool: &PoolId, owner: Option<SocketAddr>) -> bool {
        let last = self.superseded.borrow().get(pool).copied();
        last.is_some() && last == owner && self.is_up(pool)
    }
}
