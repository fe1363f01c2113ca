//! Selection of the pools to whose owners a host keeps links.
//!
//! If every host had a link to every owner, an owner's links would grow with the hosts and a host's
//! links with the pools. A host needs a way to executors of its own zone, and to some of other zones
//! when its own is lost or full; the executors of a zone are spread over its pools by a hash, so that
//! any pool of a zone stands for the others.
//!
//! Each host draws its pools by rendezvous hashing: the draw spreads the hosts evenly over the pools,
//! and a pool that is added or removed changes no other choice.

use std::collections::BTreeMap;

use smol_str::{SmolStr, format_smolstr};
use xxhash_rust::xxh3::xxh3_64;

use crate::shard_layout::PoolId;

/// Maximum number of links of a host to pools of its own zone.
const LOCAL_LINKS_MAX: usize = 6;

/// Maximum number of links of a host to pools of other zones. With the local ones, 2,000 hosts have
/// 500 links to each of 48 owners.
const REMOTE_LINKS_MAX: usize = 6;

/// Returns the pools of `pools` to whose owners a host in `zone` keeps links, in their order. `home` is
/// always among them if it exists.
pub fn linked_pools(host: &str, zone: &str, home: &PoolId, pools: &[PoolId]) -> Vec<PoolId> {
    let (local, remote): (Vec<&PoolId>, Vec<&PoolId>) =
        pools.iter().partition(|pool| pool.zone == zone);
    let mut drawn = local;
    drawn.sort_by_key(|pool| (*pool != home, rank(host, pool)));
    drawn.truncate(LOCAL_LINKS_MAX);
    drawn.extend(draw_of_each_zone(host, &remote));
    drawn.sort();
    drawn.into_iter().cloned().collect()
}

/// Draws pools of other zones: one of each zone, then a second one of each, up to the maximum.
fn draw_of_each_zone<'a>(host: &str, pools: &[&'a PoolId]) -> Vec<&'a PoolId> {
    let mut by_zone: BTreeMap<&SmolStr, Vec<&'a PoolId>> = BTreeMap::new();
    for pool in pools {
        by_zone.entry(&pool.zone).or_default().push(pool);
    }
    let mut ranked = Vec::new();
    for zone_pools in by_zone.values_mut() {
        zone_pools.sort_by_key(|pool| rank(host, pool));
        let in_turn = zone_pools.iter().enumerate();
        ranked.extend(in_turn.map(|(turn, pool)| (turn, rank(host, pool), *pool)));
    }
    ranked.sort();
    ranked.truncate(REMOTE_LINKS_MAX);
    ranked.into_iter().map(|(.., pool)| pool).collect()
}

fn rank(host: &str, pool: &PoolId) -> u64 {
    xxh3_64(format_smolstr!("{host} {pool}").as_bytes())
}
