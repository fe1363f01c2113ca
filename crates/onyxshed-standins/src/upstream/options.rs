//! The settings of an executor's behavior: options at its start, a task's payload, and faults that a test
//! sets while it runs.

use onyxshed_core::{ExecutorName, Millis, UpstreamName};
use serde::{Deserialize, Serialize};

/// The options of one executor.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamOptions {
    /// The name of the executor.
    pub name: ExecutorName,
    /// The upstream that the executor belongs to.
    pub upstream: UpstreamName,
    /// The number of tasks that may run at the same time. Default 8.
    pub slots: u32,
    /// The number of tasks that may wait for a slot; further ones are refused. Default 16.
    pub queue_max: u32,
    /// The factor by which service times are divided. Default 1.
    pub speed: f64,
    /// The service time of a task whose payload sets none. Default 0 ms.
    pub service_ms: Millis,
    /// The interval at which the usage report is renewed, and so its greatest age. Default 1 s.
    pub usage_lag_ms: Millis,
    /// Whether every start is also written to standard error as it happens, so that the records are still
    /// available after the process has ended. Default false.
    pub logs_starts: bool,
}

/// The behavior that a task's payload may request, as JSON; any other payload is echoed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Payload {
    /// The service time in milliseconds; the executor's default if not set.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service_ms: Option<u64>,
    /// Whether the task fails at the end of its service time.
    pub fail: bool,
    /// The text that the task returns as its result; the payload itself if not set.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub echo: Option<String>,
    /// The length in bytes to which the result is cut, or filled up with dots.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result_bytes: Option<usize>,
}

/// The faults in force; a `POST /control/faults` replaces all of them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// The factor by which service times are multiplied.
    pub slow_factor: f64,
    /// Whether every task fails immediately, without its service time.
    pub fail_all: bool,
    /// Whether tasks run but no request is ever answered.
    pub silent: bool,
    /// Whether every task is refused.
    pub refuse_all: bool,
    /// Whether the connection is closed within the body of each reply to a start.
    pub close_mid_body: bool,
    /// Whether each reply to a start carries the id and result of another task.
    pub wrong_task_id: bool,
    /// The delay of each reply after the task has ended, in milliseconds.
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
    /// Parses a payload; returns the defaults if it is not JSON of this form.
    pub fn parse(payload: &[u8]) -> Payload {
        serde_json::from_slice(payload).unwrap_or_default()
    }

    /// Returns the result of a task with the payload `payload`, from which `self` was parsed.
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
