//! Intervals at which a host looks up the owner of a pool in the store.
//!
//! At a fixed interval the number of lookups would grow with the number of hosts times the number of
//! pools. An owner that stops announces this over its links, and a new owner writes a record that
//! every host receives. Lookups only have to find the changes that are announced in neither way, so
//! their interval grows with the number of pools, and each pool is looked up mainly by the hosts whose
//! home pool it is.

use onyxshed_core::Millis;

/// Lookup interval for a pool of the host's own zone whose owner does not answer or is stopping:
/// callers are rejected until a new owner is found.
const UNSETTLED_LOCAL_INTERVAL: Millis = Millis(100);

/// Lookup interval for a pool of another zone whose owner does not answer or is stopping. The new
/// owner announces itself.
const UNSETTLED_REMOTE_INTERVAL: Millis = Millis(500);

/// Lookup interval for the home pool of a host, whose owner answers and is not stopping. Detects a
/// running owner whose membership in the store has expired.
const SETTLED_HOME_INTERVAL: Millis = Millis(2_000);

/// Lookup interval for another pool of the host's own zone whose owner answers and is not stopping. The
/// hosts whose home pool it is look it up more often.
const SETTLED_LOCAL_INTERVAL: Millis = Millis(20_000);

/// Lookup interval for a pool of another zone whose owner answers and is not stopping. This host
/// never owns such a pool.
const SETTLED_REMOTE_INTERVAL: Millis = Millis(20_000);

/// Lookup interval for a pool of the host's own zone to whose owner the host keeps no link. Finds a
/// vacancy that no host with a link can end, because each of them owns another pool.
const UNLINKED_LOCAL_INTERVAL: Millis = Millis(2_000);

/// Number of pools up to which the intervals above apply; with more pools they are multiplied by
/// the number of pools divided by this number, rounded up.
const POOLS_AT_FULL_RATE: usize = 4;

/// Pause of the lookup loop while no pool needs a lookup, for example because this host owns the
/// only pool.
pub const LOOKUP_INTERVAL_MAX: Millis = SETTLED_HOME_INTERVAL;

/// Whether a host owns a pool, and otherwise the zone of the pool and the state of its owner.
/// Determines the lookup interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerStatus {
    /// This host owns the pool, so that the owner is not looked up.
    Owned,
    /// The pool is this host's home pool; its owner answers and is not stopping.
    SettledHome,
    /// The pool is another one of this host's zone; its owner answers and is not stopping.
    SettledLocal,
    /// The pool is in another zone; its owner answers and is not stopping.
    SettledRemote,
    /// The pool is in this host's zone; its owner is unknown, does not answer or is stopping.
    UnsettledLocal,
    /// The pool is in another zone; its owner is unknown, does not answer or is stopping.
    UnsettledRemote,
    /// The pool is in this host's zone, and the host keeps no link to its owner.
    UnlinkedLocal,
    /// The pool is in another zone, and the host keeps no link to its owner.
    UnlinkedRemote,
}

impl OwnerStatus {
    /// Returns whether a pool is looked up as soon as it is known. The owners of other zones' pools are
    /// received as records first.
    pub fn is_looked_up_first(self) -> bool {
        matches!(
            self,
            OwnerStatus::SettledHome | OwnerStatus::SettledLocal | OwnerStatus::UnsettledLocal
        )
    }

    /// Returns the time between two lookups of a pool's owner if the deployment has `pools` pools,
    /// or `None` if the owner is not looked up.
    pub fn lookup_interval(self, pools: usize) -> Option<Millis> {
        let interval = match self {
            OwnerStatus::Owned | OwnerStatus::UnlinkedRemote => return None,
            OwnerStatus::SettledHome => SETTLED_HOME_INTERVAL,
            OwnerStatus::SettledLocal => SETTLED_LOCAL_INTERVAL,
            OwnerStatus::SettledRemote => SETTLED_REMOTE_INTERVAL,
            OwnerStatus::UnsettledLocal => UNSETTLED_LOCAL_INTERVAL,
            OwnerStatus::UnsettledRemote => UNSETTLED_REMOTE_INTERVAL,
            OwnerStatus::UnlinkedLocal => UNLINKED_LOCAL_INTERVAL,
        };
        let scale = u64::try_from(pools.div_ceil(POOLS_AT_FULL_RATE)).unwrap_or(1);
        Some(Millis(interval.0 * scale.max(1)))
    }
}
