//! The executors of a cluster, the faults that they inject, and the task starts that they recorded.

use std::net::SocketAddr;

use http_types::Method;
use onyxshed_core::{ExecutorName, UpstreamName, ZoneName};
use onyxshed_standins::upstream::{StartRecord, UpstreamFaults};
use onyxshed_wire::platform::{ExecutorHost, HostState};
use smol_str::{SmolStr, format_smolstr};

use crate::error::{Error, Result};
use crate::process::Process;
use crate::remote::{call, send};

use super::Cluster;
use super::topology::{Topology, UPSTREAM};

/// One executor of a cluster.
#[derive(Debug)]
pub struct ExecutorUnit {
    /// The process of the stand-in.
    pub process: Process,
    /// The entry of the host list that describes the executor.
    pub host: ExecutorHost,
    /// Whether the host list contains the executor.
    pub is_listed: bool,
    /// Number of task starts when the scenario last executed `note the starts`.
    pub noted_start_count: usize,
}

impl ExecutorUnit {
    /// Returns the executor's entry of the host list, `None` if it is not listed.
    pub(super) fn host_list_entry(&self) -> Option<ExecutorHost> {
        self.is_listed.then(|| self.host.clone())
    }

    /// Returns all task starts that the executor recorded, in order. They are read from the
    /// executor's log, which can still be read after the process was killed.
    pub fn starts(&self) -> Vec<StartRecord> {
        let log = self.process.log();
        let records = log.lines().map(serde_json::from_str);
        records.filter_map(std::result::Result::ok).collect()
    }

    /// Replaces the faults that the executor injects.
    pub async fn set_faults(&self, faults: &UpstreamFaults) -> Result<()> {
        let address = self.process.address("http")?;
        send(address, Method::Post, "/control/faults", faults).await?;
        Ok(())
    }

    /// Makes the executor report in its replies that it is leaving.
    pub async fn drain(&self) -> Result<()> {
        let address = self.process.address("http")?;
        call(address, Method::Post, "/control/drain", Vec::new()).await?;
        Ok(())
    }
}

impl Cluster {
    pub(super) async fn start_executors(&mut self, topology: &Topology) -> Result<()> {
        let mut started = Vec::new();
        for zone in &topology.zones {
            for number in 1..=topology.executors {
                let name = format_smolstr!("x{zone}{number}");
                let arguments = self.options.executor(&name);
                let folder = self.folder();
                let process = Process::start("standin-upstream", &name, &arguments, folder)?;
                started.push((zone.clone(), name, process));
            }
        }
        for (zone, name, mut process) in started {
            process.wait_ready()?;
            let route = format_smolstr!("executor.{name}");
            let address = self.open_route(route, process.address("http")?).await?;
            let unit = ExecutorUnit {
                process,
                host: self.new_host_list_entry(&zone, &name, address)?,
                is_listed: true,
                noted_start_count: 0,
            };
            self.executors.insert(name, unit);
        }
        Ok(())
    }

    fn new_host_list_entry(
        &self,
        zone: &str,
        name: &str,
        address: SocketAddr,
    ) -> Result<ExecutorHost> {
        let to_unmet = |error: onyxshed_core::Error| Error::unmet(format_smolstr!("{error}"));
        Ok(ExecutorHost {
            name: name.parse::<ExecutorName>().map_err(to_unmet)?,
            upstream: UPSTREAM.parse::<UpstreamName>().map_err(to_unmet)?,
            zone: zone.parse::<ZoneName>().map_err(to_unmet)?,
            rack: SmolStr::default(),
            address,
            slots: self.options.slots,
            state: HostState::Live,
        })
    }

    /// Returns the task starts that all executors recorded, in the order of the executors' names.
    pub fn starts(&self) -> Vec<StartRecord> {
        let units = self.executors.values();
        units.flat_map(ExecutorUnit::starts).collect()
    }
}
