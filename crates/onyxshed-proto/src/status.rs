//! Encoding and decoding of the status that an entry process sends to its control process.

use std::net::SocketAddr;

use onyxshed_core::{Hlc, HostName, Incarnation, Revision, UnixMs};
use onyxshed_state::LoadDigest;

use crate::error::Result;
use crate::onyxshed_capnp::entry_status;
use crate::text::parse;

/// Status that an entry process returns to its control process in reply to a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryStatus {
    /// Host of the entry process, as named in the settings of that process.
    pub host: HostName,
    /// Incarnation of the entry process; a new one restarts the control process's member table.
    pub incarnation: Incarnation,
    /// Address on which the entry process accepts requests that its peers forward.
    pub peer_address: SocketAddr,
    /// Revision of the configuration in force; `None` until one has been received.
    pub config_revision: Option<Revision>,
    /// Numbers of running and queued tasks of the entry process.
    pub load: LoadDigest,
    /// Whether the entry process is draining, which the heartbeats of its host report to peers.
    pub is_draining: bool,
    /// Start time of this incarnation, on the host's own wall clock.
    pub started_at_ms: UnixMs,
    /// Stamp of the entry process's hybrid logical clock.
    pub hlc: Hlc,
}

/// Writes a status to a message.
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

/// Reads a status from a message. Returns an error if any value in it is invalid.
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
