//! Sharding of a zone's executors into pools.
//!
//! The owner of a pool starts each of its runs, and one host's processor can serve a few hundred
//! executors at most. A zone has a single pool as long as that suffices, since jobs wait less in a
//! larger pool.
//!
//! The hosts that may own a pool form a group in the store. The group's generation is a number that
//! the store increases with each change of the group. A fencing token consists of, from the highest
//! bits, the layout's version, the generation, the pool's index and the number of successors.

use std::fmt;
use std::str::FromStr;

use smol_str::{SmolStr, format_smolstr};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::Error;
use crate::id::{ExecutorId, FencingToken, SUCCESSOR_BITS};

/// Maximum number of executors per pool before the zone is resharded.
const POOL_EXECUTORS_MAX: usize = 180;

/// Target number of executors per pool in a zone with several pools.
const POOL_EXECUTORS_TARGET: usize = 128;

/// Maximum number of pools of a zone. The store permits 100 topics in total, and each pool uses
/// one.
const POOLS_MAX: usize = 16;

/// Number of token bits for the pool's index, between the bits of the generation of the pool's group
/// in the store and the successor bits.
const INDEX_BITS: u32 = 4;

/// Number of token bits for the generation, the pool's index and the number of successors. The bits
/// above contain the layout's version. The platform's numbers are exact up to 53 bits, which leaves
/// 17 for versions and 28 for generations.
const GENERATION_BITS: u32 = 36;

/// Identifier of a pool: a shard of a zone's executors.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId {
    /// Availability zone of the pool's executors; a zone can have several pools.
    pub zone: SmolStr,
    /// Index of the pool among the zone's pools, from 0.
    pub index: u32,
}

impl fmt::Display for PoolId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.zone, self.index)
    }
}

impl FromStr for PoolId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parts = text.rsplit_once('/');
        let parsed = parts.and_then(|(zone, index)| {
            Some(PoolId {
                zone: zone.into(),
                index: index.parse().ok()?,
            })
        });
        parsed.ok_or_else(|| Error::Id {
            kind: "pool",
            text: text.into(),
            allowed: "a zone, a slash and a number",
        })
    }
}

/// Number of pools into which a zone's executors are sharded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardLayout {
    /// Version of the layout: 0 at first, incremented by each change.
    pub version: u32,
    /// Number of pools, at least 1; the hash of an executor's id selects its pool.
    pub pools: u32,
}

impl Default for ShardLayout {
    fn default() -> Self {
        ShardLayout {
            version: 0,
            pools: 1,
        }
    }
}

impl ShardLayout {
    /// Returns the new layout for a number of executors, or `None` if the current layout is kept.
    ///
    /// The layout changes only when pools have grown by two fifths or shrunk to a third, because a
    /// change makes the owners of the zone's pools step down and lose every job.
    pub fn resharded(self, executors: usize) -> Option<ShardLayout> {
        let target_pools = match executors {
            0..=POOL_EXECUTORS_MAX => 1,
            count => count.div_ceil(POOL_EXECUTORS_TARGET).min(POOLS_MAX),
        };
        let pools = usize::try_from(self.pools.max(1)).unwrap_or(usize::MAX);
        let executors_per_pool = executors / pools;
        let is_crowded = executors_per_pool > POOL_EXECUTORS_MAX;
        let is_sparse = pools > 1 && executors_per_pool < POOL_EXECUTORS_TARGET / 3;
        let pools = u32::try_from(target_pools).unwrap_or(1);
        ((is_crowded || is_sparse) && pools != self.pools).then_some(ShardLayout {
            version: self.version + 1,
            pools,
        })
    }

    /// Returns the index of the pool to which an executor belongs.
    pub fn index_of(self, executor: &ExecutorId) -> u32 {
        let hash = xxh3_64(executor.0.as_bytes()) % u64::from(self.pools.max(1));
        u32::try_from(hash).unwrap_or_default()
    }

    /// Returns the index of the home pool of a host, to which the host submits its jobs first.
    pub fn preferred_index(self, host: &str) -> u32 {
        self.index_of(&ExecutorId(host.into()))
    }

    /// Returns the fencing token of an owner that the store elected in `generation` of the group of
    /// `pool`.
    ///
    /// The generations of different groups can't be compared. An executor moves to another pool
    /// only when the layout changes, and the higher version of the new layout makes each of its
    /// tokens higher than all earlier ones. Tokens of different pools are never equal, so if two
    /// owners both use an executor, it fences one of them off.
    pub fn token(self, pool: &PoolId, generation: u64) -> FencingToken {
        let index = u64::from(pool.index) & ((1 << INDEX_BITS) - 1);
        let low = ((generation << INDEX_BITS) | index) << SUCCESSOR_BITS;
        FencingToken((u64::from(self.version) << GENERATION_BITS) | low)
    }

    /// Formats the layout as stored: version and number of pools, separated by a space.
    pub fn to_text(self) -> SmolStr {
        format_smolstr!("{} {}", self.version, self.pools)
    }

    /// Parses a stored layout. Returns `None` if the text is malformed or the number of pools is 0.
    pub fn from_text(text: &str) -> Option<ShardLayout> {
        let (version, pools) = text.split_once(' ')?;
        Some(ShardLayout {
            version: version.parse().ok()?,
            pools: pools.parse().ok().filter(|pools| *pools > 0)?,
        })
    }
}
