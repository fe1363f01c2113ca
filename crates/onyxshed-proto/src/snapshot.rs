//! Encoding and decoding of the snapshots that a control process sends to its entry process.

use std::net::SocketAddr;

use onyxshed_core::{Hlc, Incarnation};
use onyxshed_policy::ExecutorInfo;
use onyxshed_state::{Config, Member, MemberState};

use crate::config;
use crate::error::Result;
use crate::onyxshed_capnp::{self as schema, executor, member, snapshot};
use crate::text::{check_length, parse};

/// An executor in the zone of the entry host, and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorEntry {
    /// Description of the executor for placement.
    pub info: ExecutorInfo,
    /// Address on which the executor accepts tasks.
    pub address: SocketAddr,
}

/// State that a control process sends to the entry process of its host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Configuration in force; `None` until one is known.
    pub config: Option<Config>,
    /// Executors; `None` until the platform's list of hosts has been read once.
    pub executors: Option<Vec<ExecutorEntry>>,
    /// All entry hosts except the receiver.
    pub members: Vec<Member>,
    /// Incarnations of entry hosts that have been declared permanently gone.
    pub gone: Vec<Incarnation>,
    /// Number of entry hosts in the receiver's availability zone that are live and not draining,
    /// including the receiver.
    pub zone_hosts: u32,
    /// Number of known entry hosts in all availability zones, including the receiver, suspected
    /// hosts and hosts that only the platform's list contains.
    pub live_hosts: u32,
    /// Stamp of the sender's hybrid logical clock.
    pub hlc: Hlc,
}

/// Writes a snapshot to a message.
pub fn write(from: &Snapshot, mut builder: snapshot::Builder<'_>) {
    if let Some(config) = &from.config {
        config::write(config, builder.reborrow().init_config());
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

/// Reads a snapshot from a message. Returns an error if any value in it is invalid.
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
    check_length("members", list.len())?;
    let members = list.iter().map(read_member).collect::<Result<_>>()?;
    let list = reader.get_gone()?;
    check_length("gone", list.len())?;
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
    check_length("executors", list.len())?;
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
    builder.set_state(encode_state(entry.state));
}

fn read_member(reader: member::Reader<'_>) -> Result<Member> {
    Ok(Member {
        host: parse("host", reader.get_host())?,
        zone: parse("zone", reader.get_zone())?,
        incarnation: Incarnation(reader.get_incarnation()),
        peer_address: parse("peerAddress", reader.get_peer_address())?,
        state: decode_state(reader.get_state().map_err(capnp::Error::from)?),
    })
}

/// Converts a member's state to the enum of the schema.
pub fn encode_state(state: MemberState) -> schema::MemberState {
    match state {
        MemberState::Live => schema::MemberState::Live,
        MemberState::Suspect => schema::MemberState::Suspect,
        MemberState::Gone => schema::MemberState::Gone,
    }
}

/// Converts a member's state from the enum of the schema.
pub fn decode_state(state: schema::MemberState) -> MemberState {
    match state {
        schema::MemberState::Live => MemberState::Live,
        schema::MemberState::Suspect => MemberState::Suspect,
        schema::MemberState::Gone => MemberState::Gone,
    }
}
