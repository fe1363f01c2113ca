//! The size of a cluster and the options of its processes.

use onyxshed_core::Millis;
use serde_json::{Map, Value};
use smol_str::SmolStr;

/// Zones with the same number of entry hosts and executors each.
///
/// Zone `a` has the entry hosts `a1`, `a2` … and the executors `xa1`, `xa2` ….
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    /// The zones' names, from which the names of their hosts and executors are formed.
    pub zones: Vec<SmolStr>,
    /// Number of entry hosts in each zone.
    pub entry_hosts: u32,
    /// Number of executors in each zone.
    pub executors: u32,
}

/// Name of the upstream that all executors serve.
pub const UPSTREAM: &str = "desk";

/// Options of a cluster's processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterOptions {
    /// Slots of each executor. Default 8.
    pub slots: u32,
    /// Length limit of each executor's queue, in tasks. Default 16.
    pub queue_max: u32,
    /// How long the platform's log retains records. Default one hour.
    pub retention_ms: Millis,
    /// Delay until readers see a change of the host list. Default 0.
    pub host_list_lag_ms: Millis,
    /// Settings of every entry process besides its name and addresses.
    pub entry_settings: Map<String, Value>,
    /// Settings of every control process besides its name and addresses.
    pub control_settings: Map<String, Value>,
}

/// Interval of heartbeats, in milliseconds. It is shorter than the default, so that peers discover
/// each other soon after they start.
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
    /// Sets how long the log retains records, for the platform and in the settings of the hosts.
    pub fn set_retention(&mut self, retention: Millis) {
        self.retention_ms = retention;
        let settings = [&mut self.entry_settings, &mut self.control_settings];
        for settings in settings {
            settings.insert("platform_retention_ms".into(), retention.0.into());
        }
    }

    /// Sets the time without heartbeats after which a peer counts as gone. A peer is suspected
    /// after half of that time, and the heartbeat interval is a tenth of it, but at least 10 ms.
    pub fn set_gone_after(&mut self, timeout: Millis) {
        const HEARTBEATS: u64 = 10;
        let settings = &mut self.control_settings;
        settings.insert("gone_after_ms".into(), timeout.0.into());
        settings.insert("suspect_after_ms".into(), (timeout.0 / 2).into());
        settings.insert(
            "heartbeat_ms".into(),
            (timeout.0 / HEARTBEATS).max(10).into(),
        );
    }

    /// Returns the command-line arguments of the platform's stand-in.
    pub(super) fn platform(&self) -> Vec<String> {
        vec![
            format!("--retention-ms={}", self.retention_ms.0),
            format!("--host-list-lag-ms={}", self.host_list_lag_ms.0),
        ]
    }

    /// Returns the command-line arguments of an executor.
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
