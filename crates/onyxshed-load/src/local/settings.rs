//! Addresses and settings files of an entry host's two processes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use serde_json::json;

use super::LocalOptions;
use crate::error::{Error, Result};
use crate::report::write_json;

/// The one zone of a local set.
pub(super) const ZONE: &str = "zone-a";

/// Addresses of one entry host, each on a free port.
#[derive(Debug, Clone, Copy)]
pub struct EntryPorts {
    pub(super) callers: SocketAddr,
    pub(super) peer: SocketAddr,
    pub(super) control: SocketAddr,
    pub(super) entry_admin: SocketAddr,
    pub(super) control_peer: SocketAddr,
    pub(super) control_admin: SocketAddr,
}

/// Settings files of one entry host.
pub(super) struct Files {
    pub(super) entry: PathBuf,
    pub(super) control: PathBuf,
}

impl EntryPorts {
    /// Tries to find six free ports. They are all held until the last is found, so they differ.
    pub(super) fn free() -> Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listeners: std::io::Result<Vec<_>> = (0..6).map(|_| TcpListener::bind(any)).collect();
        let listeners = listeners.map_err(Error::start)?;
        let at = |place: usize| listeners[place].local_addr().map_err(Error::start);
        Ok(EntryPorts {
            callers: at(0)?,
            peer: at(1)?,
            control: at(2)?,
            entry_admin: at(3)?,
            control_peer: at(4)?,
            control_admin: at(5)?,
        })
    }
}

/// Tries to write the settings of one entry host.
pub(super) fn write(
    folder: &Path,
    place: usize,
    ports: &EntryPorts,
    platform: SocketAddr,
    options: &LocalOptions,
) -> Result<Files> {
    let host = format!("e{place}");
    let log = json!({ "level": "warn" });
    let entry = json!({
        "host": host,
        "zone": ZONE,
        "caller_address": ports.callers,
        "peer_address": ports.peer,
        "control_address": ports.control,
        "admin_address": ports.entry_admin,
        "platform_address": platform,
        "connections_max": 65_536,
        "connections_per_executor": options.connections_per_executor,
        "log": log,
    });
    let control = json!({
        "host": host,
        "zone": ZONE,
        "entry_control_address": ports.control,
        "peer_address": ports.control_peer,
        "admin_address": ports.control_admin,
        "platform_address": platform,
        "log": log,
    });
    let files = Files {
        entry: folder.join(format!("entry-{place}.json")),
        control: folder.join(format!("control-{place}.json")),
    };
    write_json(&files.entry, &entry)?;
    write_json(&files.control, &control)?;
    Ok(files)
}
