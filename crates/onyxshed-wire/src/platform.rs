//! The interface to the platform: an append-only log with streams, and a list of hosts.
//!
//! `POST /v1/streams/{stream}/records` appends the body as one record and answers [`Appended`] once
//! it is synced. `GET /v1/streams/{stream}/records?from=N&wait_ms=M` answers [`Page`], waiting up
//! to `M` for a record at or after `N`. `GET /v1/hosts` answers [`HostList`].

use std::net::SocketAddr;

use onyxshed_core::{ExecutorName, HostName, Millis, Offset, UnixMs, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{Error, Result};

/// Stream of configuration changes.
pub const CONFIG_STREAM: &str = "config";

/// Stream of claims on submissions.
pub const CLAIMS_STREAM: &str = "claims";

/// Path of the host list.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Largest record that the log takes, in bytes.
pub const RECORD_MAX_BYTES: usize = 65_536;

/// Gets the path of a stream's records.
pub fn records_path(stream: &str) -> String {
    format!("/v1/streams/{stream}/records")
}

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Where the record stands.
    pub offset: Offset,
}

/// One record as read back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Where it stands.
    pub offset: Offset,
    /// When the log took it, on the platform's clock.
    pub at_ms: UnixMs,
    /// Its bytes; every record of ours is UTF-8.
    pub data: String,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The oldest offset that the log still keeps.
    pub oldest: Offset,
    /// The offset that the next append will get.
    pub next: Offset,
    /// Records in order of offset, without gaps from the first on.
    pub records: Vec<Record>,
}

/// Whether the platform holds a host to be in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// On its way out; no new work.
    Leaving,
}

/// An executor in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorHost {
    /// Its name.
    pub name: ExecutorName,
    /// The upstream it serves.
    pub upstream: UpstreamName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its rack, by whatever name the platform gives.
    #[serde(default)]
    pub rack: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Tasks it runs at the same time.
    pub slots: u32,
    /// Whether it is in service.
    pub state: HostState,
}

/// An entry host in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHost {
    /// Its name.
    pub name: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where its control process listens for peers.
    pub peer_address: SocketAddr,
    /// Whether it is in service.
    pub state: HostState,
}

/// Answer to `GET /v1/hosts`: lagging, so it carries its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// How old the list is, in milliseconds.
    pub age_ms: Millis,
    /// Every executor that the platform believes in.
    pub executors: Vec<ExecutorHost>,
    /// Every entry host that the platform believes in.
    #[serde(default)]
    pub entries: Vec<EntryHost>,
}

impl AppendReply {
    /// Reads the answer to an append.
    pub fn decode(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).map_err(Error::body)
    }
}

impl Page {
    /// Reads the answer to a read; records must be in order and without gaps.
    pub fn decode(body: &[u8]) -> Result<Self> {
        let page: Page = serde_json::from_slice(body).map_err(Error::body)?;
        let is_in_order = page
            .records
            .windows(2)
            .all(|pair| pair[1].offset == pair[0].offset.next());
        if is_in_order {
            Ok(page)
        } else {
            Err(Error::body("records out of order"))
        }
    }
}

impl HostList {
    /// Reads the host list.
    pub fn decode(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).map_err(Error::body)
    }
}
