//! Encoding and decoding of the state that a host sends to a host that starts while the store is
//! unreachable.

use std::net::SocketAddr;

use onyxshed_pool::{EvacuationRecord, PoolId, ShardLayout};
use smol_str::{SmolStr, format_smolstr};

use super::{address, length, read_evacuations, text, write_evacuations};
use crate::pool_capnp::peer_state;

/// State of the deployment as a host knows it, for a host that has just started.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerState {
    /// The operators' manifest as stored; empty if unknown.
    pub manifest: Vec<u8>,
    /// Pools, and the addresses on which their owners accept connections of other hosts.
    pub owners: Vec<(PoolId, SocketAddr)>,
    /// Shard layouts of availability zones, by the zone's name.
    pub shard_layouts: Vec<(SmolStr, ShardLayout)>,
    /// Newest evacuation record that the host knows of each availability zone.
    pub evacuations: Vec<EvacuationRecord>,
}

/// Writes the state to a message. Returns an error if a list is too long for a message.
pub fn write_peer_state(state: &PeerState, mut to: peer_state::Builder<'_>) -> capnp::Result<()> {
    to.set_manifest(&state.manifest);
    let mut owners = to.reborrow().init_owners(length(&state.owners)?);
    for (index, (pool, address)) in (0..).zip(&state.owners) {
        let mut owner = owners.reborrow().get(index);
        owner.set_pool(format_smolstr!("{pool}").as_str());
        owner.set_address(format_smolstr!("{address}").as_str());
    }
    let mut layouts = to.reborrow().init_divisions(length(&state.shard_layouts)?);
    for (index, (zone, layout)) in (0..).zip(&state.shard_layouts) {
        let mut entry = layouts.reborrow().get(index);
        entry.set_zone(zone.as_str());
        entry.set_division(layout.to_text().as_str());
    }
    let evacuations = to.init_evacuations(length(&state.evacuations)?);
    write_evacuations(&state.evacuations, evacuations);
    Ok(())
}

/// Reads the state from a message. Returns an error if a pool, an address or a shard layout in it
/// is malformed.
pub fn read_peer_state(from: peer_state::Reader<'_>) -> capnp::Result<PeerState> {
    let malformed = |kind: &str| capnp::Error::failed(format!("a {kind} can't be read"));
    let owners = from.get_owners()?;
    let layouts = from.get_divisions()?;
    Ok(PeerState {
        manifest: from.get_manifest()?.to_vec(),
        owners: owners
            .iter()
            .map(|owner| {
                let pool = text(owner.get_pool()?)?.parse();
                let pool = pool.map_err(|_| malformed("pool"))?;
                Ok((pool, address(&text(owner.get_address()?)?)?))
            })
            .collect::<capnp::Result<_>>()?,
        shard_layouts: layouts
            .iter()
            .map(|entry| {
                let layout = ShardLayout::from_text(&text(entry.get_division()?)?);
                let layout = layout.ok_or_else(|| malformed("division"))?;
                Ok((text(entry.get_zone()?)?, layout))
            })
            .collect::<capnp::Result<_>>()?,
        evacuations: read_evacuations(from.get_evacuations()?)?,
    })
}
