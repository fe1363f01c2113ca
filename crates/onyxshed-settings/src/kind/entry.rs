//! Settings of `onyxshed-entry`.

use std::net::SocketAddr;

use onyxshed_core::{Bytes, HostName, Millis, RatePerS, ZoneName};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use super::shared::LogSettings;
use super::{CrossFault, Settings, SettingsKind, require};

/// The rule by which executors are selected for tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// The executor on which the task is expected to finish first.
    #[default]
    LeastExpectedFinish,
    /// Executors in turn; for comparison in experiments.
    RoundRobin,
    /// The executor with the fewest tasks of this host in flight; for comparison in experiments.
    LeastOutstanding,
}

/// Whether the share of a class is divided among its callers, and what identifies them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerShareMode {
    /// Callers are not told apart.
    #[default]
    Off,
    /// By the address of the caller's connection.
    Address,
}

/// Whether refused callers are told a time at which there will be room for them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReturnPlanMode {
    /// The time follows from the deadline that would be missed.
    #[default]
    Off,
    /// The time is planned.
    On,
}

/// Settings of `onyxshed-entry`; [`crate::tables::ENTRY`] describes each field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this entry host.
    pub host: HostName,
    /// Availability zone of this entry host.
    pub zone: ZoneName,
    /// Address on which callers send requests.
    pub caller_address: SocketAddr,
    /// Address on which other entry hosts forward requests.
    pub peer_address: SocketAddr,
    /// Address sent to peers in place of `peer_address`, if set.
    pub peer_advertised_address: Option<SocketAddr>,
    /// Address on which this host's control process connects.
    pub control_address: SocketAddr,
    /// Address of the HTTP service for operators.
    pub admin_address: SocketAddr,
    /// Address of the platform's service: log and list of hosts.
    pub platform_address: SocketAddr,
    /// Format and level of the log.
    pub log: LogSettings,
    /// Longest time that a drain may take, in milliseconds.
    pub drain_timeout_ms: Millis,
    /// Largest age of a submission id that is accepted, in milliseconds.
    pub horizon_ms: Millis,
    /// Largest difference between the wall clocks of two hosts or callers, in milliseconds.
    pub skew_ms: Millis,
    /// How long the platform's log keeps records, in milliseconds; must equal the platform's own
    /// setting.
    pub platform_retention_ms: Millis,
    /// Appends per second that all entry hosts together may make for claims.
    pub log_appends_per_s: RatePerS,
    /// How long a submission waits for its claim to be read back from the log before it is
    /// abandoned, in milliseconds.
    pub claim_patience_ms: Millis,
    /// How long a task's lease extends past its job's deadline, in milliseconds.
    pub lease_slack_ms: Millis,
    /// Largest number of open caller connections.
    pub connections_max: usize,
    /// Largest request body of a caller.
    pub body_max_bytes: Bytes,
    /// Largest number of jobs kept, running and answered together.
    pub jobs_max: usize,
    /// Memory for the results of answered jobs; the oldest results are dropped first.
    pub answers_max_bytes: Bytes,
    /// Largest result of one task; a larger result fails its job.
    pub result_max_bytes: Bytes,
    /// Largest number of connections that this entry host keeps open to one executor.
    pub connections_per_executor: usize,
    /// Largest number of events kept in the time line.
    pub timeline_events_max: usize,
    /// The rule by which executors are selected for tasks.
    pub placement: Placement,
    /// Whether the share of a class is divided among its callers.
    pub caller_shares: CallerShareMode,
    /// Whether the returns of refused callers are planned.
    pub return_plan: ReturnPlanMode,
    /// Time limit for a request's head, from its first byte, in milliseconds.
    pub head_timeout_ms: Millis,
    /// Time limit for a request's body, in milliseconds.
    pub body_timeout_ms: Millis,
    /// How long a caller's connection may be idle, in milliseconds.
    pub idle_timeout_ms: Millis,
}

impl Settings for EntrySettings {
    const KIND: SettingsKind = SettingsKind::Entry;

    fn cross_check(&self) -> Vec<CrossFault> {
        let half_retention_ms = self.platform_retention_ms.0 / 2;
        let horizon = require(
            self.horizon_ms.0.saturating_add(self.skew_ms.0) < half_retention_ms,
            "horizon_ms",
            || {
                format_smolstr!(
                    "with skew_ms, less than half of platform_retention_ms ({half_retention_ms})"
                )
            },
        );
        let skew = require(self.skew_ms < self.horizon_ms, "skew_ms", || {
            format_smolstr!("less than horizon_ms ({})", self.horizon_ms.0)
        });
        let result = require(
            self.result_max_bytes <= self.answers_max_bytes,
            "result_max_bytes",
            || format_smolstr!("at most answers_max_bytes ({})", self.answers_max_bytes.0),
        );
        [horizon, skew, result].into_iter().flatten().collect()
    }
}
