//! Everything that an entry process learns from its control process.

use std::net::SocketAddr;

use onyxshed_core::{Hlc, Incarnation};
use onyxshed_policy::ExecutorInfo;
use onyxshed_state::{Config, Member, MemberState};

use crate::config;
use crate::error::Result;
use crate::onyxshed_capnp::{self as schema, executor, member, snapshot};
use crate::text::{bounded, parse};

/// An executor and where it listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorEntry {
    /// What placement needs.
    pub info: ExecutorInfo,
    /// Where it listens.
    pub address: SocketAddr,
}

/// One snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The configuration, none until one is known.
    pub config: Option<Config>,
    /// The executors, none until the platform's list was read once.
    pub executors: Option<Vec<ExecutorEntry>>,
    /// Every member, the receiver left out.
    pub members: Vec<Member>,
    /// Incarnations that are held to be gone for good.
    pub gone: Vec<Incarnation>,
    /// Live entry hosts of this zone, the receiver included.
    pub zone_hosts: u32,
    /// Live entry hosts of all zones, the receiver included.
    pub live_hosts: u32,
    /// The sender's clock stamp.
    pub hlc: Hlc,
}

/// Writes a snapshot.
pub fn write(from: &Snapshot, mut builder: snapshot::Builder<'_>) {
    if let Some(found) = &from.config {
        config::write(found, builder.reborrow().init_config());
    }
    if let Some(executors) = &from.executors {
        builder.set_has_executors(true);
        let count = u32::try_from(executors.len()).unwrap_or(u32::MAX);
        let mut list = builder.reborrow().init_executors(count);
        for (index, entry) in (0..count).zip(executors) {
            write_executor(entry, list.reborrow().get(index));
        }
    }
    let count = u32::try_from(from.members.len()).unwrap_or(u32::MAX);
    let mut list = builder.reborrow().init_members(count);
    for (index, entry) in (0..count).zip(&from.members) {
        write_member(entry, list.reborrow().get(index));
    }
    let count = u32::try_from(from.gone.len()).unwrap_or(u32::MAX);
    let mut list = builder.reborrow().init_gone(count);
    for (index, gone) in (0..count).zip(&from.gone) {
        list.set(index, gone.0);
    }
    builder.set_sharers(from.zone_hosts);
    builder.set_live(from.live_hosts);
    builder.set_hlc(from.hlc.to_string().as_str());
}

/// Reads a snapshot; whatever is out of range spoils the whole.
pub fn read(reader: snapshot::Reader<'_>) -> Result<Snapshot> {
    let config = match reader.has_config() {
        true => Some(config::read(reader.get_config()?)?),
        false => None,
    };
    let executors = match reader.get_has_executors() {
        true => Some(read_executors(reader)?),
        false => None,
    };
    let list = reader.get_members()?;
    bounded("members", list.len())?;
    let members = list.iter().map(read_member).collect::<Result<_>>()?;
    let list = reader.get_gone()?;
    bounded("gone", list.len())?;
    let gone = list.iter().map(Incarnation).collect();
    Ok(Snapshot {
        config,
        gone,
        executors,
        members,
        zone_hosts: reader.get_sharers(),
        live_hosts: reader.get_live(),
        hlc: parse("hlc", reader.get_hlc())?,
    })
}

fn write_executor(entry: &ExecutorEntry, mut builder: executor::Builder<'_>) {
    builder.set_name(entry.info.name.as_str());
    builder.set_upstream(entry.info.upstream.as_str());
    builder.set_zone(entry.info.zone.as_str());
    builder.set_rack(entry.info.rack.as_str());
    builder.set_address(entry.address.to_string().as_str());
    builder.set_slots(entry.info.slots);
    builder.set_is_leaving(entry.info.is_draining);
}

fn read_executors(reader: snapshot::Reader<'_>) -> Result<Vec<ExecutorEntry>> {
    let list = reader.get_executors()?;
    bounded("executors", list.len())?;
    list.iter().map(read_executor).collect()
}

fn read_executor(reader: executor::Reader<'_>) -> Result<ExecutorEntry> {
    let info = ExecutorInfo {
        name: parse("name", reader.get_name())?,
        upstream: parse("upstream", reader.get_upstream())?,
        zone: parse("zone", reader.get_zone())?,
        rack: parse("rack", reader.get_rack())?,
        slots: reader.get_slots(),
        is_draining: reader.get_is_leaving(),
    };
    Ok(ExecutorEntry {
        info,
        address: parse("address", reader.get_address())?,
    })
}

fn write_member(entry: &Member, mut builder: member::Builder<'_>) {
    builder.set_host(entry.host.as_str());
    builder.set_zone(entry.zone.as_str());
    builder.set_incarnation(entry.incarnation.0);
    builder.set_peer_address(entry.peer_address.to_string().as_str());
    builder.set_state(write_state(entry.state));
}

fn read_member(reader: member::Reader<'_>) -> Result<Member> {
    Ok(Member {
        host: parse("host", reader.get_host())?,
        zone: parse("zone", reader.get_zone())?,
        incarnation: Incarnation(reader.get_incarnation()),
        peer_address: parse("peerAddress", reader.get_peer_address())?,
        state: read_state(reader.get_state().map_err(capnp::Error::from)?),
    })
}

/// Gets a member's state as messages write it.
pub fn write_state(state: MemberState) -> schema::MemberState {
    match state {
        MemberState::Live => schema::MemberState::Live,
        MemberState::Suspect => schema::MemberState::Suspect,
        MemberState::Gone => schema::MemberState::Gone,
    }
}

/// Gets a member's state from a message.
pub fn read_state(state: schema::MemberState) -> MemberState {
    match state {
        schema::MemberState::Live => MemberState::Live,
        schema::MemberState::Suspect => MemberState::Suspect,
        schema::MemberState::Gone => MemberState::Gone,
    }
}
