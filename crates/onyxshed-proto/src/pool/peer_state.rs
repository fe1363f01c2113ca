//! What a host tells one that has just started while the store is away.

use std::net::SocketAddr;

use onyxshed_pool::{EvacuationRecord, PoolId, ShardLayout};
use smol_str::{SmolStr, format_smolstr};

use super::{address, length, read_evacuations, text, write_evacuations};
use crate::pool_capnp::peer_state;

/// What a host knows of the deployment that one which has just started needs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerState {
    /// The operators' manifest as the store holds it; empty where it is not known.
    pub manifest: Vec<u8>,
    /// Pools, and where their owners are asked.
    pub owners: Vec<(PoolId, SocketAddr)>,
    /// How zones are divided.
    pub shard_layouts: Vec<(SmolStr, ShardLayout)>,
    /// Evacuations of zones.
    pub evacuations: Vec<EvacuationRecord>,
}

/// Writes what a host knows.
pub fn write_peer_state(known: &PeerState, mut to: peer_state::Builder<'_>) -> capnp::Result<()> {
    to.set_manifest(&known.manifest);
    let mut owners = to.reborrow().init_owners(length(&known.owners)?);
    for (index, (pool, address)) in (0..).zip(&known.owners) {
        let mut owner = owners.reborrow().get(index);
        owner.set_pool(format_smolstr!("{pool}").as_str());
        owner.set_address(format_smolstr!("{address}").as_str());
    }
    let mut divisions = to.reborrow().init_divisions(length(&known.shard_layouts)?);
    for (index, (zone, division)) in (0..).zip(&known.shard_layouts) {
        let mut entry = divisions.reborrow().get(index);
        entry.set_zone(zone.as_str());
        entry.set_division(division.to_text().as_str());
    }
    let evacuations = to.init_evacuations(length(&known.evacuations)?);
    write_evacuations(&known.evacuations, evacuations);
    Ok(())
}

/// Tries to read what a host knows.
pub fn read_peer_state(from: peer_state::Reader<'_>) -> capnp::Result<PeerState> {
    let unreadable = |what: &str| capnp::Error::failed(format!("a {what} can't be read"));
    let owners = from.get_owners()?;
    let divisions = from.get_divisions()?;
    Ok(PeerState {
        manifest: from.get_manifest()?.to_vec(),
        owners: owners
            .iter()
            .map(|owner| {
                let pool = text(owner.get_pool()?)?.parse();
                let pool = pool.map_err(|_| unreadable("pool"))?;
                Ok((pool, address(&text(owner.get_address()?)?)?))
            })
            .collect::<capnp::Result<_>>()?,
        shard_layouts: divisions
            .iter()
            .map(|entry| {
                let division = ShardLayout::from_text(&text(entry.get_division()?)?);
                let division = division.ok_or_else(|| unreadable("division"))?;
                Ok((text(entry.get_zone()?)?, division))
            })
            .collect::<capnp::Result<_>>()?,
        evacuations: read_evacuations(from.get_evacuations()?)?,
    })
}
