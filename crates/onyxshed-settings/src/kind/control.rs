//! Settings of `onyxshed-control`.

use std::net::SocketAddr;

use onyxshed_core::{HostName, Millis, ZoneName};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use super::shared::LogSettings;
use super::{CrossFault, Settings, SettingsKind, expect};

/// Settings of `onyxshed-control`; [`crate::tables::CONTROL`] explains each field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of this entry host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where the entry process waits for this one.
    pub entry_control_address: SocketAddr,
    /// Takes other control processes' messages.
    pub peer_address: SocketAddr,
    /// Told to peers in place of `peer_address`, if any.
    pub peer_advertised_address: Option<SocketAddr>,
    /// Serves operators.
    pub admin_address: SocketAddr,
    /// The platform's service.
    pub platform_address: SocketAddr,
    /// Some other control processes.
    pub peers: Vec<SocketAddr>,
    /// How often peers hear from this process, in milliseconds.
    pub heartbeat_ms: Millis,
    /// Silence after which a peer is suspected, in milliseconds.
    pub suspect_after_ms: Millis,
    /// Silence after which a peer is held to be gone, in milliseconds.
    pub gone_after_ms: Millis,
    /// How long the platform's log keeps records, in milliseconds.
    pub platform_retention_ms: Millis,
    /// The log.
    pub log: LogSettings,
    /// Events kept for the time line.
    pub timeline_events_max: usize,
    /// Longest drain, in milliseconds.
    pub drain_timeout_ms: Millis,
}

impl Settings for ControlSettings {
    const KIND: SettingsKind = SettingsKind::Control;

    fn cross_check(&self) -> Vec<CrossFault> {
        let twice_heartbeat_ms = 2 * self.heartbeat_ms.0;
        let suspect = expect(
            self.suspect_after_ms.0 >= twice_heartbeat_ms,
            "suspect_after_ms",
            || format_smolstr!("at least twice heartbeat_ms ({twice_heartbeat_ms})"),
        );
        let gone = expect(
            self.gone_after_ms > self.suspect_after_ms,
            "gone_after_ms",
            || format_smolstr!("more than suspect_after_ms ({})", self.suspect_after_ms.0),
        );
        [suspect, gone].into_iter().flatten().collect()
    }
}
