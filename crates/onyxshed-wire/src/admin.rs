//! The interface to operators, on every process's admin address.
//!
//! `GET /healthz` and `GET /readyz` answer in words, `GET /metrics` in Prometheus text,
//! `GET /v1/status` with a [`Status`], `GET /v1/timeline` with a [`TimelinePage`]; `POST /v1/drain`
//! does what SIGTERM does.

use onyxshed_core::{Event, Incarnation, Millis, ResultCode, Revision, UnixMs};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{Error, Result};

/// Path of the liveness check.
pub const HEALTH_PATH: &str = "/healthz";

/// Path of the readiness check.
pub const READY_PATH: &str = "/readyz";

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Path of the status.
pub const STATUS_PATH: &str = "/v1/status";

/// Path of the time line; its query takes `submission`, `class`, `party`, `since_ms` and `limit`.
pub const TIMELINE_PATH: &str = "/v1/timeline";

/// Path that drains the process.
pub const DRAIN_PATH: &str = "/v1/drain";

/// Largest answer of a process, in bytes; a full page of a time line of long texts is smaller.
pub const ANSWER_MAX_BYTES: u64 = 32 << 20;

/// Answer to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The binary's name.
    pub process: SmolStr,
    /// Its version.
    pub version: SmolStr,
    /// The host it runs on.
    pub host: SmolStr,
    /// This run of it.
    pub boot: Incarnation,
    /// How long it has run, in milliseconds.
    pub uptime_ms: Millis,
    /// Whether it should be sent work.
    pub is_ready: bool,
    /// Why it should not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why_not_ready: Option<SmolStr>,
    /// The configuration revision in force in it, absent in a process that has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config_revision: Option<Revision>,
    /// What this kind of process tells besides.
    #[serde(default)]
    pub details: serde_json::Value,
}

/// Answer to `GET /v1/timeline`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelinePage {
    /// The binary's name.
    pub process: SmolStr,
    /// The host it runs on.
    pub host: SmolStr,
    /// This run of it.
    pub boot: Incarnation,
    /// When this run started: it knows nothing of what was before.
    pub started_ms: UnixMs,
    /// Events that were dropped because newer ones needed their place.
    pub dropped: u64,
    /// Most events kept.
    pub events_max: usize,
    /// Memory that the events kept take, in bytes.
    pub memory_bytes: u64,
    /// Events that match the query, oldest first.
    pub events: Vec<Event>,
    /// Whether older events match too and were left out because of the limit.
    pub is_cut: bool,
}

/// Answer to a request that can't be served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The numbered code.
    pub code: ResultCode,
    /// The code in words, with particulars.
    pub text: SmolStr,
}

impl Status {
    /// Reads a status from a body.
    pub fn decode(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).map_err(Error::body)
    }
}

impl TimelinePage {
    /// Reads a page from a body.
    pub fn decode(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).map_err(Error::body)
    }
}
