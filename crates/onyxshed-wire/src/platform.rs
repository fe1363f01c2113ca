//! The interface to the platform: an append-only log with streams, and a list of hosts.
//!
//! `POST /v1/streams/{stream}/records` appends the body as one record and answers with an
//! [`AppendReply`] once the record is synced to disk.
//! `GET /v1/streams/{stream}/records?from=N&wait_ms=M` answers with a [`Page`] and waits up to `M` ms
//! for a record at or after offset `N`. `GET /v1/hosts` answers with a [`HostList`].

use std::net::SocketAddr;

use onyxshed_core::{ExecutorName, HostName, Millis, Offset, UnixMs, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{Error, Result};

/// Stream of configuration changes and of snapshots of the configuration.
pub const CONFIG_STREAM: &str = "config";

/// Stream of claims on submissions and of releases of such claims.
pub const CLAIMS_STREAM: &str = "claims";

/// Path of the list of hosts; a `GET` of it is answered with a [`HostList`].
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Maximum size of a record that the log accepts, in bytes.
pub const RECORD_MAX_BYTES: usize = 65_536;

/// Returns the path of a stream's records.
pub fn records_path(stream: &str) -> String {
    format!("/v1/streams/{stream}/records")
}

/// Answer to an append, sent once the record is synced to disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the appended record in its stream.
    pub offset: Offset,
}

/// A record as read from the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Offset of the record in its stream.
    pub offset: Offset,
    /// Time of the append, on the platform's clock.
    pub at_ms: UnixMs,
    /// Content of the record; all records that onyxshed appends are UTF-8.
    pub data: String,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest record that the log still keeps.
    pub oldest: Offset,
    /// Offset that the next append will receive.
    pub next: Offset,
    /// Records in order of offset, without gaps.
    pub records: Vec<Record>,
}

/// State of a host according to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in service: it is not draining.
    Live,
    /// The host is draining and receives no new work.
    Leaving,
}

/// An executor in the list of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorHost {
    /// Name of the executor, by which entry hosts recognize it in later lists.
    pub name: ExecutorName,
    /// Upstream whose tasks the executor runs.
    pub upstream: UpstreamName,
    /// Availability zone of the executor; only entry hosts in this zone use the executor.
    pub zone: ZoneName,
    /// The platform's name of the executor's rack; empty if not stated.
    #[serde(default)]
    pub rack: SmolStr,
    /// Address on which the executor accepts tasks.
    pub address: SocketAddr,
    /// Maximum number of tasks that the executor runs at the same time.
    pub slots: u32,
    /// Whether the executor is in service or draining.
    pub state: HostState,
}

/// An entry host in the list of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHost {
    /// Name of the host, which its heartbeats state as well.
    pub name: HostName,
    /// Availability zone of the host, used for gossip while no heartbeat of it is known.
    pub zone: ZoneName,
    /// Address on which the host's control process accepts connections of its peers.
    pub peer_address: SocketAddr,
    /// Whether the host is in service or draining.
    pub state: HostState,
}

/// Answer to `GET /v1/hosts`. The list lags behind the platform's state and states its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Age of the list, in milliseconds.
    pub age_ms: Millis,
    /// All executors known to the platform.
    pub executors: Vec<ExecutorHost>,
    /// All entry hosts known to the platform.
    #[serde(default)]
    pub entries: Vec<EntryHost>,
}

impl AppendReply {
    /// Decodes the answer to an append.
    pub fn decode(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).map_err(Error::body)
    }
}

impl Page {
    /// Decodes the answer to a read. Returns an error if the records' offsets are not consecutive.
    pub fn decode(body: &[u8]) -> Result<Self> {
        let page: Page = serde_json::from_slice(body).map_err(Error::body)?;
        let is_in_order = page
            .records
            .windows(2)
            .all(|pair| pair[1].offset == pair[0].offset.next());
        if is_in_order {
            Ok(page)
        } else {
            Err(Error::body("offsets of records are not consecutive"))
        }
    }
}

impl HostList {
    /// Decodes the JSON answer to `GET /v1/hosts`; `entries` may be absent.
    pub fn decode(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).map_err(Error::body)
    }
}
