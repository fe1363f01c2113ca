//! Settings of `onyxshed-control`.

use std::net::SocketAddr;

use onyxshed_core::{HostName, Millis, ZoneName};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use super::shared::LogSettings;
use super::{CrossFault, Settings, SettingsKind, require};

/// Settings of `onyxshed-control`; [`crate::tables::CONTROL`] describes each field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of this entry host.
    pub host: HostName,
    /// Availability zone of this entry host.
    pub zone: ZoneName,
    /// Address on which this host's entry process accepts the connection of this process.
    pub entry_control_address: SocketAddr,
    /// Address on which other control processes connect.
    pub peer_address: SocketAddr,
    /// Address sent to peers in place of `peer_address`, if set.
    pub peer_advertised_address: Option<SocketAddr>,
    /// Address of the HTTP service for operators.
    pub admin_address: SocketAddr,
    /// Address of the platform's service: log and list of hosts.
    pub platform_address: SocketAddr,
    /// Peer addresses of some other control processes, used to find the rest while the platform
    /// can't be reached.
    pub peers: Vec<SocketAddr>,
    /// Interval between heartbeats to peers, in milliseconds.
    pub heartbeat_ms: Millis,
    /// Time without contact after which a peer is suspected, in milliseconds; at least twice
    /// `heartbeat_ms`.
    pub suspect_after_ms: Millis,
    /// Time without contact after which a peer's incarnation is declared gone, in milliseconds;
    /// more than `suspect_after_ms`.
    pub gone_after_ms: Millis,
    /// How long the platform's log keeps records, in milliseconds; must equal the platform's own
    /// setting.
    pub platform_retention_ms: Millis,
    /// Format and level of the log.
    pub log: LogSettings,
    /// Largest number of events kept in the time line.
    pub timeline_events_max: usize,
    /// Longest time that a drain may take, in milliseconds.
    pub drain_timeout_ms: Millis,
}

impl Settings for ControlSettings {
    const KIND: SettingsKind = SettingsKind::Control;

    fn cross_check(&self) -> Vec<CrossFault> {
        let twice_heartbeat_ms = 2 * self.heartbeat_ms.0;
        let suspect = require(
            self.suspect_after_ms.0 >= twice_heartbeat_ms,
            "suspect_after_ms",
            || format_smolstr!("at least twice heartbeat_ms ({twice_heartbeat_ms})"),
        );
        let gone = require(
            self.gone_after_ms > self.suspect_after_ms,
            "gone_after_ms",
            || format_smolstr!("more than suspect_after_ms ({})", self.suspect_after_ms.0),
        );
        [suspect, gone].into_iter().flatten().collect()
    }
}
