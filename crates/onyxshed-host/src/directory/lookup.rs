//! How often a host looks up the owner of a pool in the store.
//!
//! Answers size: every host knows the owner of every pool, so the lookups of all hosts together grow
//! with hosts times pools. Owners announce their end over their links and their beginning in a record
//! that every host follows; a lookup only finds what neither announces, and comes the later the more
//! pools there are.

use onyxshed_core::Millis;

/// Time between two lookups of a pool in the host's own zone whose owner does not answer or is
/// stopping: callers are refused until a new one is found.
const UNSETTLED_LOCAL_INTERVAL: Millis = Millis(100);

/// The same for a pool of another zone, whose new owner announces itself.
const UNSETTLED_REMOTE_INTERVAL: Millis = Millis(500);

/// Time between two lookups of a pool in the host's own zone whose owner answers and means to stay.
/// Finds a living owner whose membership in the store has lapsed.
const SETTLED_LOCAL_INTERVAL: Millis = Millis(2_000);

/// The same for a pool of another zone, which this host never owns.
const SETTLED_REMOTE_INTERVAL: Millis = Millis(20_000);

/// Pools up to which these intervals hold; with more they grow in proportion.
const POOLS_AT_FULL_RATE: usize = 4;

/// Longest time without any lookup.
pub const LOOKUP_INTERVAL_MAX: Millis = SETTLED_LOCAL_INTERVAL;

/// What a host knows of the owner of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerStatus {
    /// This host is the owner.
    Owned,
    /// The pool is in this host's zone; its owner answers and means to stay.
    SettledLocal,
    /// The pool is in another zone; its owner answers and means to stay.
    SettledRemote,
    /// The pool is in this host's zone; its owner is unknown, does not answer or is stopping.
    UnsettledLocal,
    /// The pool is in another zone; its owner is unknown, does not answer or is stopping.
    UnsettledRemote,
}

impl OwnerStatus {
    /// Gets the time between two lookups, given the number of pools; none if no lookup is needed.
    pub fn lookup_interval(self, pools: usize) -> Option<Millis> {
        let interval = match self {
            OwnerStatus::Owned => return None,
            OwnerStatus::SettledLocal => SETTLED_LOCAL_INTERVAL,
            OwnerStatus::SettledRemote => SETTLED_REMOTE_INTERVAL,
            OwnerStatus::UnsettledLocal => UNSETTLED_LOCAL_INTERVAL,
            OwnerStatus::UnsettledRemote => UNSETTLED_REMOTE_INTERVAL,
        };
        let crowd = u64::try_from(pools.div_ceil(POOLS_AT_FULL_RATE)).unwrap_or(1);
        Some(Millis(interval.0 * crowd.max(1)))
    }
}
