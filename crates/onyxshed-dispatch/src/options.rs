//! Limits and time spans of the state machine, with their defaults.

use onyxshed_core::{Bytes, Millis};
use onyxshed_policy::PolicyOptions;
use onyxshed_state::ClaimOptions;

/// Limits and time spans of one entry host's [`Dispatch`](crate::Dispatch).
#[derive(Debug, Clone)]
pub struct DispatchOptions {
    /// Maximum number of submissions that are remembered, running or ended. Default 200,000.
    ///
    /// Ended submissions are remembered until they are too old to be accepted again.
    pub jobs_max: usize,
    /// Maximum total size of the payloads of jobs that have not ended. Default 256 MiB.
    pub running_max_bytes: Bytes,
    /// Maximum total size of the results kept for repeated requests. Default 64 MiB.
    pub answers_max_bytes: Bytes,
    /// Maximum size of the result of one task. Default 1 MiB.
    pub result_max_bytes: Bytes,
    /// Maximum number of requests that wait for one job; further requests are answered immediately
    /// that the job is running. Default 64.
    pub waiters_max: usize,
    /// Time by which a lease outlasts the job's final deadline. Default 50 ms.
    ///
    /// Because of the slack, clock differences and transit time do not cut a task short.
    pub lease_slack_ms: Millis,
    /// Retry delay sent with an answer when no better estimate is known. Default 1 s.
    pub retry_after_ms: Millis,
    /// Options of the claim book, which decides which host may start a submission.
    pub claims: ClaimOptions,
    /// Options of the dispatch policy, which admits jobs and selects executors.
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
