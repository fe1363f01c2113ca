//! How the executors of a zone are divided into pools.
//!
//! Answers size: the owner of a pool starts every run of it, and one host's processor bears a pool
//! of a few hundred executors at most.
//! A zone has one pool as long as that suffices, since a larger pool waits less.

use std::fmt;
use std::str::FromStr;

use smol_str::{SmolStr, format_smolstr};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::Error;
use crate::id::{ExecutorId, FencingToken, SUCCESSOR_BITS};

/// Most executors that one pool is left with.
const POOL_EXECUTORS_MAX: usize = 180;

/// Executors of each pool where a zone has several.
const POOL_EXECUTORS: usize = 128;

/// Most pools of a zone; the store takes 100 topics in all, one a pool.
const POOLS_MAX: usize = 16;

/// Bits of a token that hold the pool's index, below the group's generation.
const INDEX_BITS: u32 = 4;

/// Bits of a token that hold the generation and what lies below it; above them stands the division's
/// version. The platform's numbers are exact up to 53 bits: 17 for versions, 28 for generations.
const GENERATION_BITS: u32 = 36;

/// One pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId {
    /// Its zone.
    pub zone: SmolStr,
    /// Its place among the zone's pools.
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
        let read = parts.and_then(|(zone, index)| {
            Some(PoolId {
                zone: zone.into(),
                index: index.parse().ok()?,
            })
        });
        read.ok_or_else(|| Error::Id {
            kind: "pool",
            text: text.into(),
            allowed: "a zone, a slash and a number",
        })
    }
}

/// How many pools a zone has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardLayout {
    /// Rises with each change; 0 before the first.
    pub version: u32,
    /// The number of pools.
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
    /// Gets the division for a number of executors; none if the present one still does.
    ///
    /// It changes only when pools have grown by two fifths or shrunk to a third, since a change
    /// gives up every job of the zone.
    pub fn resharded(self, executors: usize) -> Option<ShardLayout> {
        let wanted = match executors {
            0..=POOL_EXECUTORS_MAX => 1,
            more => more.div_ceil(POOL_EXECUTORS).min(POOLS_MAX),
        };
        let pools = usize::try_from(self.pools.max(1)).unwrap_or(usize::MAX);
        let each = executors / pools;
        let is_crowded = each > POOL_EXECUTORS_MAX;
        let is_sparse = pools > 1 && each < POOL_EXECUTORS / 3;
        let pools = u32::try_from(wanted).unwrap_or(1);
        ((is_crowded || is_sparse) && pools != self.pools).then_some(ShardLayout {
            version: self.version + 1,
            pools,
        })
    }

    /// Gets the index of the pool that an executor is in.
    pub fn index_of(self, executor: &ExecutorId) -> u32 {
        let hash = xxh3_64(executor.0.as_bytes()) % u64::from(self.pools.max(1));
        u32::try_from(hash).unwrap_or_default()
    }

    /// Gets the index of the pool that a host hands its jobs to first.
    pub fn preferred_index(self, host: &str) -> u32 {
        self.index_of(&ExecutorId(host.into()))
    }

    /// Makes the token of an owner from the generation of its group.
    ///
    /// Generations of two pools' groups can't be compared. An executor that comes into another
    /// pool does so by a new division, whose version makes every token higher than before. No two
    /// pools have a token in common, so that of two owners which both hold an executor one is
    /// refused.
    pub fn token(self, pool: &PoolId, generation: u64) -> FencingToken {
        let index = u64::from(pool.index) & ((1 << INDEX_BITS) - 1);
        let low = ((generation << INDEX_BITS) | index) << SUCCESSOR_BITS;
        FencingToken((u64::from(self.version) << GENERATION_BITS) | low)
    }

    /// Writes the division as the store holds it.
    pub fn to_text(self) -> SmolStr {
        format_smolstr!("{} {}", self.version, self.pools)
    }

    /// Reads the division as the store holds it.
    pub fn from_text(text: &str) -> Option<ShardLayout> {
        let (version, pools) = text.split_once(' ')?;
        Some(ShardLayout {
            version: version.parse().ok()?,
            pools: pools.parse().ok().filter(|pools| *pools > 0)?,
        })
    }
}
