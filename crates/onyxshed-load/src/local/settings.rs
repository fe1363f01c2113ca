//! Addresses and settings files of an entry host's two processes.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use serde_json::json;

use super::LocalOptions;
use crate::error::{Error, Result};
use crate::report::write_json;

/// The zone of all hosts of a local set.
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

/// Paths of the settings files of one entry host.
pub(super) struct SettingsFiles {
    pub(super) entry: PathBuf,
    pub(super) control: PathBuf,
}

impl EntryPorts {
    /// Finds six free ports. All six are held open until the last is found, so they differ.
    ///
    /// The ports are below the range that the system assigns to outgoing connections. From that
    /// range, an outgoing connection could get a port before the process listens on it, and
    /// occasionally a process of a large set would not start.
    pub(super) fn find_free() -> Result<Self> {
        let listeners: Result<Vec<_>> = (0..6).map(|_| listen()).collect();
        let listeners = listeners?;
        let address_of = |index: usize| listeners[index].local_addr().map_err(Error::start);
        Ok(EntryPorts {
            callers: address_of(0)?,
            peer: address_of(1)?,
            control: address_of(2)?,
            entry_admin: address_of(3)?,
            control_peer: address_of(4)?,
            control_admin: address_of(5)?,
        })
    }
}

/// Ports that the system does not assign to outgoing connections.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;
const TRIES_MAX: usize = 1_000;

/// Listens on the next free port. Ports are tried in sequence from a random start, so that no two
/// processes of a set get the same port, and processes of different sets rarely do.
fn listen() -> Result<TcpListener> {
    thread_local! {
        static NEXT_PORT: Cell<u16> = Cell::new(rand::random_range(PORT_RANGE));
    }
    let next = || {
        let port = NEXT_PORT.get();
        NEXT_PORT.set(if port + 1 < PORT_RANGE.end {
            port + 1
        } else {
            PORT_RANGE.start
        });
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    };
    let mut tries = (0..TRIES_MAX).map(|_| TcpListener::bind(next()));
    let found = tries.find_map(std::io::Result::ok);
    found.ok_or_else(|| Error::start("no free port was found"))
}

/// Writes the settings files of one entry host into `folder` and returns their paths.
pub(super) fn write(
    folder: &Path,
    index: usize,
    ports: &EntryPorts,
    platform: SocketAddr,
    options: &LocalOptions,
) -> Result<SettingsFiles> {
    let host = format!("e{index}");
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
    let files = SettingsFiles {
        entry: folder.join(format!("entry-{index}.json")),
        control: folder.join(format!("control-{index}.json")),
    };
    write_json(&files.entry, &entry)?;
    write_json(&files.control, &control)?;
    Ok(files)
}
