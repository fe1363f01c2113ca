//! The interface to operators, served by every process on its admin address.
//!
//! `GET /healthz` and `GET /readyz` answer in plain text, `GET /metrics` in the Prometheus text format,
//! `GET /v1/status` with a [`Status`] and `GET /v1/timeline` with a [`TimelinePage`]. `POST /v1/drain`
//! has the same effect as SIGTERM.

use onyxshed_core::{Event, Incarnation, Millis, ResultCode, Revision, UnixMs};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{Error, Result};

/// Path of the liveness check, which is answered with 200 as long as the process serves requests.
pub const HEALTH_PATH: &str = "/healthz";

/// Path of the readiness check, which is answered with 200 if the process is ready, and otherwise
/// with 503 and the reason.
pub const READY_PATH: &str = "/readyz";

/// Path of the metrics in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";

/// Path of the status, which is answered with a [`Status`].
pub const STATUS_PATH: &str = "/v1/status";

/// Path of the timeline. Its query accepts `submission`, `class`, `party`, `since_ms` and `limit`.
pub const TIMELINE_PATH: &str = "/v1/timeline";

/// Path that drains the process when it is called with `POST`.
pub const DRAIN_PATH: &str = "/v1/drain";

/// Maximum size of an answer that the command line accepts, in bytes. A full timeline page of
/// events with long texts is smaller.
pub const ANSWER_MAX_BYTES: u64 = 32 << 20;

/// Answer to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the process's binary.
    pub process: SmolStr,
    /// Version of the package from which the binary was built, from `CARGO_PKG_VERSION`.
    pub version: SmolStr,
    /// Host on which the process runs.
    pub host: SmolStr,
    /// Incarnation of the process, drawn at random at each start.
    pub boot: Incarnation,
    /// Time since the process started, in milliseconds.
    pub uptime_ms: Millis,
    /// Whether the process is ready to receive work.
    pub is_ready: bool,
    /// Reason why the process is not ready; absent if it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why_not_ready: Option<SmolStr>,
    /// Revision of the configuration in force in the process; absent in a process that has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config_revision: Option<Revision>,
    /// Further details, which depend on the kind of process.
    #[serde(default)]
    pub details: serde_json::Value,
}

/// Answer to `GET /v1/timeline`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelinePage {
    /// Name of the process's binary.
    pub process: SmolStr,
    /// Host on which the process runs.
    pub host: SmolStr,
    /// Incarnation of the process, drawn at random at each start.
    pub boot: Incarnation,
    /// Start time of this incarnation, which has no earlier events.
    pub started_ms: UnixMs,
    /// Number of events that were dropped to make room for newer ones.
    pub dropped: u64,
    /// Maximum number of events that the process keeps.
    pub events_max: usize,
    /// Memory that the kept events use, in bytes.
    pub memory_bytes: u64,
    /// Events that match the query, from the oldest to the newest.
    pub events: Vec<Event>,
    /// Whether older events that match were omitted because of the limit.
    pub is_cut: bool,
}

/// Answer to a request that could not be served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Numbered code of the reason why the request was not served.
    pub code: ResultCode,
    /// Description of the code, with details of this case.
    pub text: SmolStr,
}

impl Status {
    /// Decodes a status from the body of an answer.
    pub fn decode(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).map_err(Error::body)
    }
}

impl TimelinePage {
    /// Decodes a page from the body of an answer.
    pub fn decode(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).map_err(Error::body)
    }
}
