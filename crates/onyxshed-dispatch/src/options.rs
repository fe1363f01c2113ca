//! Limits of the dispatch machine.

use onyxshed_core::{Bytes, Millis};
use onyxshed_policy::PolicyOptions;
use onyxshed_state::ClaimOptions;

/// Limits of one entry host's dispatch.
#[derive(Debug, Clone)]
pub struct DispatchOptions {
    /// Most submissions remembered until the horizon, running or ended. Default 200,000.
    pub jobs_max: usize,
    /// Most bytes of payloads and results held for running jobs. Default 256 MiB.
    pub running_max_bytes: Bytes,
    /// Most bytes of results kept for callers who ask again. Default 64 MiB.
    pub answers_max_bytes: Bytes,
    /// Largest result of one task. Default 1 MiB.
    pub result_max_bytes: Bytes,
    /// Most requests that wait for one job. Default 64.
    pub waiters_max: usize,
    /// What a lease lasts beyond the job's end, so that clocks and transit don't cut a task short.
    /// Default 50 ms.
    pub lease_slack_ms: Millis,
    /// How soon a caller may come back when nothing better is known. Default 1 s.
    pub retry_after_ms: Millis,
    /// Limits of the claim book.
    pub claims: ClaimOptions,
    /// Limits of the policy.
    pub policy: PolicyOptions,
}

impl Default for DispatchOptions {
    fn default() -> Self {
        DispatchOptions {
            jobs_max: 200_000,
            running_max_bytes: Bytes(256 << 20),
            answers_max_bytes: Bytes(64 << 20),
            result_max_bytes: Bytes(1 << 20),
            waiters_max: 64,
            lease_slack_ms: Millis(50),
            retry_after_ms: Millis(1_000),
            claims: ClaimOptions::default(),
            policy: PolicyOptions::default(),
        }
    }
}
