//! What a cluster consists of.

use onyxshed_core::Millis;
use serde_json::{Map, Value};
use smol_str::SmolStr;

/// Zones with the same number of entry hosts and executors each.
///
/// Zone `a` has the entry hosts `a1`, `a2` … and the executors `xa1`, `xa2` ….
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    /// The zones' names.
    pub zones: Vec<SmolStr>,
    /// Entry hosts in each zone.
    pub entry_hosts: u32,
    /// Executors in each zone.
    pub executors: u32,
}

/// The upstream that all executors serve.
pub const UPSTREAM: &str = "desk";

/// How the parts are set up where the defaults don't suit a scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterOptions {
    /// Slots of each executor. Default 8.
    pub slots: u32,
    /// Tasks that may wait on each executor. Default 16.
    pub queue_max: u32,
    /// How long the log keeps records. Default one hour.
    pub retention_ms: Millis,
    /// How far the host list lags. Default 0.
    pub host_list_lag_ms: Millis,
    /// Settings of every entry process besides names and addresses.
    pub entry_settings: Map<String, Value>,
    /// Settings of every control process besides names and addresses.
    pub control_settings: Map<String, Value>,
}

/// Heartbeats faster than the default, so that peers know each other soon after a start.
const HEARTBEAT_MS: u64 = 100;

impl Default for ClusterOptions {
    fn default() -> Self {
        let heartbeat = ("heartbeat_ms".to_owned(), HEARTBEAT_MS.into());
        ClusterOptions {
            slots: 8,
            queue_max: 16,
            retention_ms: Millis(3_600_000),
            host_list_lag_ms: Millis(0),
            entry_settings: Map::new(),
            control_settings: Map::from_iter([heartbeat]),
        }
    }
}

impl ClusterOptions {
    /// Sets how long the log keeps records, and tells the processes.
    pub fn set_retention(&mut self, retention: Millis) {
        self.retention_ms = retention;
        let settings = [&mut self.entry_settings, &mut self.control_settings];
        for settings in settings {
            settings.insert("platform_retention_ms".into(), retention.0.into());
        }
    }

    /// Sets the silence after which a peer is held to be gone, and what goes with it.
    pub fn set_gone_after(&mut self, silence: Millis) {
        const HEARTBEATS: u64 = 10;
        let settings = &mut self.control_settings;
        settings.insert("gone_after_ms".into(), silence.0.into());
        settings.insert("suspect_after_ms".into(), (silence.0 / 2).into());
        settings.insert(
            "heartbeat_ms".into(),
            (silence.0 / HEARTBEATS).max(10).into(),
        );
    }

    /// Gets the platform's command line.
    pub(super) fn platform(&self) -> Vec<String> {
        vec![
            format!("--retention-ms={}", self.retention_ms.0),
            format!("--host-list-lag-ms={}", self.host_list_lag_ms.0),
        ]
    }

    /// Gets an executor's command line.
    pub(super) fn executor(&self, name: &str) -> Vec<String> {
        vec![
            format!("--name={name}"),
            format!("--upstream={UPSTREAM}"),
            format!("--slots={}", self.slots),
            format!("--queue={}", self.queue_max),
            "--usage-lag-ms=200".to_owned(),
            "--log-starts".to_owned(),
        ]
    }
}
