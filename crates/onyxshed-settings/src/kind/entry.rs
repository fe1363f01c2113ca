//! Settings of `onyxshed-entry`.

use std::net::SocketAddr;

use onyxshed_core::{Bytes, HostName, Millis, RatePerS, ZoneName};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use super::shared::LogSettings;
use super::{CrossFault, Settings, SettingsKind, expect};

/// How executors are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// Where the task is expected to finish first.
    #[default]
    LeastExpectedFinish,
    /// In turn; for comparison.
    RoundRobin,
    /// Where this host has the fewest tasks in flight; for comparison.
    LeastOutstanding,
}

/// Settings of `onyxshed-entry`; [`crate::tables::ENTRY`] explains each field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this entry host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Takes callers' requests.
    pub caller_address: SocketAddr,
    /// Takes requests that other entry hosts pass on.
    pub peer_address: SocketAddr,
    /// Told to peers in place of `peer_address`, if any.
    pub peer_advertised_address: Option<SocketAddr>,
    /// Takes the connection of the control process.
    pub control_address: SocketAddr,
    /// Serves operators.
    pub admin_address: SocketAddr,
    /// The platform's service.
    pub platform_address: SocketAddr,
    /// The log.
    pub log: LogSettings,
    /// Longest drain, in milliseconds.
    pub drain_timeout_ms: Millis,
    /// Oldest submission id taken, in milliseconds.
    pub horizon_ms: Millis,
    /// Most that wall clocks differ, in milliseconds.
    pub skew_ms: Millis,
    /// How long the platform's log keeps records, in milliseconds.
    pub platform_retention_ms: Millis,
    /// Appends a second by all entry hosts together.
    pub log_appends_per_s: RatePerS,
    /// Longest wait for a claim, in milliseconds.
    pub claim_patience_ms: Millis,
    /// How long leases outlast deadlines, in milliseconds.
    pub lease_slack_ms: Millis,
    /// Most connections of callers.
    pub connections_max: usize,
    /// Largest body of a caller.
    pub body_max_bytes: Bytes,
    /// Most jobs remembered.
    pub jobs_max: usize,
    /// Memory for the results of answered jobs.
    pub answers_max_bytes: Bytes,
    /// Largest result of one task.
    pub result_max_bytes: Bytes,
    /// Most connections to one executor.
    pub connections_per_executor: usize,
    /// Events kept for the time line.
    pub timeline_events_max: usize,
    /// How executors are chosen.
    pub placement: Placement,
    /// Longest wait for a request's head, in milliseconds.
    pub head_timeout_ms: Millis,
    /// Longest wait for a request's body, in milliseconds.
    pub body_timeout_ms: Millis,
    /// Longest idle time of a caller's connection, in milliseconds.
    pub idle_timeout_ms: Millis,
}

impl Settings for EntrySettings {
    const KIND: SettingsKind = SettingsKind::Entry;

    fn cross_check(&self) -> Vec<CrossFault> {
        let half_retention_ms = self.platform_retention_ms.0 / 2;
        let horizon = expect(
            self.horizon_ms.0.saturating_add(self.skew_ms.0) < half_retention_ms,
            "horizon_ms",
            || {
                format_smolstr!(
                    "with skew_ms, less than half of platform_retention_ms ({half_retention_ms})"
                )
            },
        );
        let skew = expect(self.skew_ms < self.horizon_ms, "skew_ms", || {
            format_smolstr!("less than horizon_ms ({})", self.horizon_ms.0)
        });
        let result = expect(
            self.result_max_bytes <= self.answers_max_bytes,
            "result_max_bytes",
            || format_smolstr!("at most answers_max_bytes ({})", self.answers_max_bytes.0),
        );
        [horizon, skew, result].into_iter().flatten().collect()
    }
}
