//! What an entry process tells its control process.

use std::net::SocketAddr;

use onyxshed_core::{Hlc, HostName, Incarnation, Revision, UnixMs};
use onyxshed_state::LoadDigest;

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
    /// How busy it is.
    pub load: LoadDigest,
    /// Whether it is on its way out.
    pub is_draining: bool,
    /// When this life began, on its own wall clock.
    pub started_at_ms: UnixMs,
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
    builder.set_running_tasks(from.load.running_tasks);
    builder.set_queued_tasks(from.load.queued_tasks);
    builder.set_started_at_ms(from.started_at_ms.0);
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
        load: LoadDigest {
            running_tasks: reader.get_running_tasks(),
            queued_tasks: reader.get_queued_tasks(),
        },
        started_at_ms: UnixMs(reader.get_started_at_ms()),
        is_draining: reader.get_is_draining(),
        hlc: parse("hlc", reader.get_hlc())?,
    })
}
