//! How often a host asks the store who owns a pool.
//!
//! Answers size: every host looks at every pool, so that the calls of all hosts together grow with
//! hosts times pools. Owners tell of their end over their links and write down their beginning; a
//! look only finds what neither tells, and comes the later the more pools there are.

use onyxshed_core::Millis;

/// Time between two looks at a pool of the host's own zone whose owner does not answer or is stopping:
/// the sooner a new one is found, the fewer callers are refused.
const UNSETTLED_LOCAL_INTERVAL: Millis = Millis(100);

/// The same for a pool of another zone, whose new owner writes itself down.
const UNSETTLED_REMOTE_INTERVAL: Millis = Millis(500);

/// Time between two looks at a pool of the host's own zone whose owner answers and means to stay. Only
/// that a living owner is out of the store's books is found by it.
const SETTLED_LOCAL_INTERVAL: Millis = Millis(2_000);

/// The same for a pool of another zone, which this host never comes to own.
const SETTLED_REMOTE_INTERVAL: Millis = Millis(20_000);

/// Pools that a host looks at so often.
const POOLS_AT_FULL_RATE: usize = 4;

/// Longest time without a look at any pool.
pub const LOOKUP_INTERVAL_MAX: Millis = SETTLED_LOCAL_INTERVAL;

/// What a host knows of the owner of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerStatus {
    /// It owns the pool.
    Owned,
    /// The pool is in its zone; the owner answers and means to stay.
    SettledLocal,
    /// The pool is in another zone; the owner answers and means to stay.
    SettledRemote,
    /// The pool is in its zone; the owner is unknown, does not answer or is stopping.
    UnsettledLocal,
    /// The pool is in another zone; the owner is unknown, does not answer or is stopping.
    UnsettledRemote,
}

impl OwnerStatus {
    /// Gets the time between two looks, with so many pools in all; none where no look is needed.
    pub fn lookup_interval(self, pools: usize) -> Option<Millis> {
        let period = match self {
            OwnerStatus::Owned => return None,
            OwnerStatus::SettledLocal => SETTLED_LOCAL_INTERVAL,
            OwnerStatus::SettledRemote => SETTLED_REMOTE_INTERVAL,
            OwnerStatus::UnsettledLocal => UNSETTLED_LOCAL_INTERVAL,
            OwnerStatus::UnsettledRemote => UNSETTLED_REMOTE_INTERVAL,
        };
        let crowd = u64::try_from(pools.div_ceil(POOLS_AT_FULL_RATE)).unwrap_or(1);
        Some(Millis(period.0 * crowd.max(1)))
    }
}
