//! How an executor behaves: by its options, by a task's payload, and by faults on command.

use onyxshed_core::{ExecutorName, Millis, UpstreamName};
use serde::{Deserialize, Serialize};

/// Options of one executor.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamOptions {
    /// Its name.
    pub name: ExecutorName,
    /// The upstream it serves.
    pub upstream: UpstreamName,
    /// Tasks that run at the same time. Default 8.
    pub slots: u32,
    /// Tasks that may wait for a slot; more are refused. Default 16.
    pub queue_max: u32,
    /// How many times faster than a task's service time it runs. Default 1.
    pub speed: f64,
    /// Service time of a task whose payload names none. Default 0 ms.
    pub service_ms: Millis,
    /// How far the usage report lags. Default 1 s.
    pub usage_lag_ms: Millis,
    /// Whether every start is written to standard error as it happens, so that the record outlives
    /// the process. Default false.
    pub logs_starts: bool,
}

/// What a payload may ask of the executor; any other payload is echoed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Payload {
    /// Service time in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service_ms: Option<u64>,
    /// Whether the task fails.
    pub fail: bool,
    /// Result in place of the payload.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub echo: Option<String>,
    /// Length that the result is filled up to with dots, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result_bytes: Option<usize>,
}

/// Faults in force; a `POST /control/faults` replaces them all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Times slower than usual.
    pub slow_factor: f64,
    /// Whether every task fails at once.
    pub fail_all: bool,
    /// Whether tasks run but nothing is ever answered.
    pub silent: bool,
    /// Whether every task is refused.
    pub refuse_all: bool,
    /// Whether answers to tasks are cut off in the body.
    pub close_mid_body: bool,
    /// Whether answers to tasks carry another task's id and result.
    pub wrong_task_id: bool,
    /// Added to every answer after the task has ended, in milliseconds.
    pub late_ms: u64,
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        UpstreamFaults {
            slow_factor: 1.0,
            fail_all: false,
            silent: false,
            refuse_all: false,
            close_mid_body: false,
            wrong_task_id: false,
            late_ms: 0,
        }
    }
}

impl Payload {
    /// Reads a payload; one that is no such JSON asks for nothing.
    pub fn read(payload: &[u8]) -> Payload {
        serde_json::from_slice(payload).unwrap_or_default()
    }

    /// Gets the result for a payload that asked for this.
    pub fn result(&self, payload: Vec<u8>) -> Vec<u8> {
        let mut result = match &self.echo {
            Some(echo) => echo.clone().into_bytes(),
            None => payload,
        };
        if let Some(len) = self.result_bytes {
            result.resize(len, b'.');
        }
        result
    }
}
