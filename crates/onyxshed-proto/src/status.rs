//! What an entry process tells its control process.

use std::net::SocketAddr;

use onyxshed_core::{Hlc, HostName, Incarnation, Revision};

use crate::error::Result;
use crate::onyxshed_capnp::entry_status;
use crate::text::parse;

/// One entry process's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryStatus {
    /// The host.
    pub host: HostName,
    /// Its current life.
    pub incarnation: Incarnation,
    /// Where it takes requests passed on by peers.
    pub peer_address: SocketAddr,
    /// The configuration in force, none until one came.
    pub config_revision: Option<Revision>,
    /// Jobs that have not ended.
    pub live_jobs: u32,
    /// Whether it is on its way out.
    pub is_draining: bool,
    /// Its clock stamp.
    pub hlc: Hlc,
}

/// Writes a status.
pub fn write(from: &EntryStatus, mut builder: entry_status::Builder<'_>) {
    builder.set_host(from.host.as_str());
    builder.set_incarnation(from.incarnation.0);
    builder.set_peer_address(from.peer_address.to_string().as_str());
    builder.set_has_config(from.config_revision.is_some());
    builder.set_config_revision(from.config_revision.unwrap_or_default().0);
    builder.set_live_jobs(from.live_jobs);
    builder.set_is_draining(from.is_draining);
    builder.set_hlc(from.hlc.to_string().as_str());
}

/// Reads a status.
pub fn read(reader: entry_status::Reader<'_>) -> Result<EntryStatus> {
    let revision = Revision(reader.get_config_revision());
    Ok(EntryStatus {
        host: parse("host", reader.get_host())?,
        incarnation: Incarnation(reader.get_incarnation()),
        peer_address: parse("peerAddress", reader.get_peer_address())?,
        config_revision: reader.get_has_config().then_some(revision),
        live_jobs: reader.get_live_jobs(),
        is_draining: reader.get_is_draining(),
        hlc: parse("hlc", reader.get_hlc())?,
    })
}
