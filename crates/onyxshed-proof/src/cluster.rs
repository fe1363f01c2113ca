//! A set of entry hosts, executors and a stand-in for the platform, connected through the
//! fault-injecting proxy.

pub mod executors;
pub mod faults;
pub mod hosts;
pub mod operator;
pub mod topology;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use http_types::Method;
use onyxshed_standins::platform::{Faults, HostSet};
use onyxshed_wire::platform::HOSTS_PATH;
use smol_str::SmolStr;
use snafu::ResultExt;
use tempfile::TempDir;

use crate::error::{Error, Result, SystemSnafu};
use crate::process::Process;
use crate::remote::send;

pub use executors::ExecutorUnit;
pub use faults::Edge;
pub use hosts::{EntryHostUnit, ProcessKind};
pub use topology::{ClusterOptions, Topology};

/// The processes of one test, and the folder of their settings and logs. Dropping the value kills
/// the processes and removes the folder.
#[derive(Debug)]
pub struct Cluster {
    pub(crate) options: ClusterOptions,
    pub(crate) platform: Process,
    pub(crate) proxy: Process,
    pub(crate) executors: BTreeMap<SmolStr, ExecutorUnit>,
    pub(crate) hosts: BTreeMap<SmolStr, EntryHostUnit>,
    folder: TempDir,
}

impl Cluster {
    /// Starts all processes, waits until each is ready, and publishes the host list.
    pub async fn start(topology: &Topology, options: ClusterOptions) -> Result<Self> {
        let folder = tempfile::tempdir().context(SystemSnafu {
            operation: "create a temporary folder",
        })?;
        let path = folder.path();
        let mut platform =
            Process::start("standin-platform", "platform", &options.platform(), path)?;
        let mut proxy = Process::start("standin-faults", "faults", &[], path)?;
        platform.wait_ready()?;
        proxy.wait_ready()?;
        let mut cluster = Cluster {
            options,
            platform,
            proxy,
            executors: BTreeMap::new(),
            hosts: BTreeMap::new(),
            folder,
        };
        cluster.start_executors(topology).await?;
        cluster.start_hosts(topology).await?;
        cluster.publish_hosts().await?;
        Ok(cluster)
    }

    /// Replaces the platform's host list with the entry hosts and executors whose `is_listed` is
    /// set.
    pub async fn publish_hosts(&self) -> Result<()> {
        let hosts = HostSet {
            executors: self
                .executors
                .values()
                .filter_map(ExecutorUnit::host_list_entry)
                .collect(),
            entries: self
                .hosts
                .values()
                .filter_map(EntryHostUnit::host_list_entry)
                .collect(),
        };
        send(self.platform_address()?, Method::Put, HOSTS_PATH, &hosts).await?;
        Ok(())
    }

    /// Replaces the faults that the platform's stand-in injects.
    pub async fn set_platform_faults(&self, faults: &Faults) -> Result<()> {
        let address = self.platform_address()?;
        send(address, Method::Post, "/control/faults", faults).await?;
        Ok(())
    }

    /// Returns the address at which the platform's stand-in listens; calls to it bypass the proxy.
    pub fn platform_address(&self) -> Result<SocketAddr> {
        self.platform.address("http")
    }

    /// Returns the executor with this name. Fails if there is none; the error lists the known
    /// names.
    pub fn executor(&mut self, name: &str) -> Result<&mut ExecutorUnit> {
        let allowed = names(&self.executors);
        self.executors
            .get_mut(name)
            .ok_or_else(|| unknown_name("executor", name, allowed))
    }

    /// Returns the entry host with this name. Fails if there is none; the error lists the known
    /// names.
    pub fn host(&mut self, name: &str) -> Result<&mut EntryHostUnit> {
        let allowed = names(&self.hosts);
        self.hosts
            .get_mut(name)
            .ok_or_else(|| unknown_name("entry host", name, allowed))
    }

    /// Returns the names of all entry hosts.
    pub fn host_names(&self) -> Vec<SmolStr> {
        self.hosts.keys().cloned().collect()
    }

    /// Returns the folder that contains the settings and logs of the processes.
    pub(crate) fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the last lines of every process's log, to be shown when a test fails.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        let host_processes = self.hosts.values().flat_map(EntryHostUnit::processes);
        let executor_processes = self.executors.values().map(|unit| &unit.process);
        for process in host_processes
            .chain(executor_processes)
            .chain([&self.platform, &self.proxy])
        {
            let tail = process.log_tail();
            if !tail.is_empty() {
                text += &format!("--- {}\n{tail}\n", process.name());
            }
        }
        text
    }
}

fn names<T>(items: &BTreeMap<SmolStr, T>) -> SmolStr {
    let names: Vec<&str> = items.keys().map(SmolStr::as_str).collect();
    names.join(", ").into()
}

pub(crate) fn unknown_name(kind: &'static str, found: &str, allowed: SmolStr) -> Error {
    Error::NoSuch {
        kind,
        found: found.into(),
        allowed,
    }
}
