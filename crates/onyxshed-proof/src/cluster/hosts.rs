//! Entry hosts of a cluster. Each consists of an entry process and a control process.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use onyxshed_core::{HostName, ZoneName};
use onyxshed_wire::platform::{EntryHost, HostState};
use serde_json::{Map, Value, json};
use smol_str::{SmolStr, format_smolstr};
use snafu::ResultExt;

use crate::error::{Error, Result, SystemSnafu};
use crate::process::Process;

use super::Cluster;
use super::topology::Topology;

/// The kinds of processes of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessKind {
    /// `onyxshed-entry`, to which callers submit jobs.
    Entry,
    /// `onyxshed-control`.
    Control,
}

impl ProcessKind {
    /// Returns the kind as it appears in the names of routes, logs and binaries.
    pub fn as_str(self) -> &'static str {
        match self {
            ProcessKind::Entry => "entry",
            ProcessKind::Control => "control",
        }
    }
}

/// One entry host of a cluster and its two processes.
#[derive(Debug)]
pub struct EntryHostUnit {
    /// Name of the host, such as `a1`.
    pub name: SmolStr,
    /// Name of the host's zone.
    pub zone: SmolStr,
    /// The entry process, `None` after it was killed.
    pub entry: Option<Process>,
    /// The control process, `None` after it was killed.
    pub control: Option<Process>,
    /// Whether the host list contains the host.
    pub is_listed: bool,
    /// Address of the proxy through which peers reach the control process, `None` until the control
    /// process is ready for the first time.
    peer_route: Option<SocketAddr>,
}

impl EntryHostUnit {
    /// Returns one of the host's processes.
    ///
    /// # Errors
    ///
    /// Fails if the process was killed and not restarted.
    pub fn process(&mut self, process_kind: ProcessKind) -> Result<&mut Process> {
        let name = format_smolstr!("{} {}", process_kind.as_str(), self.name);
        let slot = match process_kind {
            ProcessKind::Entry => &mut self.entry,
            ProcessKind::Control => &mut self.control,
        };
        slot.as_mut().ok_or(Error::NotReady {
            process: name,
            reason: SmolStr::new_static("it was killed"),
        })
    }

    /// Returns the address where the entry process serves callers.
    pub fn caller_address(&self) -> Result<SocketAddr> {
        self.address(&self.entry, "caller")
    }

    /// Returns the address where a process serves operators.
    pub fn admin_address(&self, process_kind: ProcessKind) -> Result<SocketAddr> {
        match process_kind {
            ProcessKind::Entry => self.address(&self.entry, "admin"),
            ProcessKind::Control => self.address(&self.control, "admin"),
        }
    }

    /// Returns the processes that have not been killed.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        self.entry.iter().chain(&self.control)
    }

    /// Returns the host's entry of the host list, `None` if the host is not listed or its control
    /// process has not been ready yet.
    pub(super) fn host_list_entry(&self) -> Option<EntryHost> {
        self.is_listed.then_some(())?;
        Some(EntryHost {
            name: self.name.parse::<HostName>().ok()?,
            zone: self.zone.parse::<ZoneName>().ok()?,
            peer_address: self.peer_route?,
            state: HostState::Live,
        })
    }

    fn address(&self, process: &Option<Process>, purpose: &str) -> Result<SocketAddr> {
        let process = process.as_ref().ok_or_else(|| Error::NotReady {
            process: self.name.clone(),
            reason: SmolStr::new_static("it was killed"),
        })?;
        process.address(purpose)
    }
}

impl Cluster {
    pub(super) async fn start_hosts(&mut self, topology: &Topology) -> Result<()> {
        for zone in &topology.zones {
            for number in 1..=topology.entry_hosts {
                let name = format_smolstr!("{zone}{number}");
                let unit = EntryHostUnit {
                    name: name.clone(),
                    zone: zone.clone(),
                    entry: None,
                    control: None,
                    is_listed: true,
                    peer_route: None,
                };
                self.hosts.insert(name, unit);
            }
        }
        let names = self.host_names();
        self.restart(ProcessKind::Entry, &names).await?;
        self.restart(ProcessKind::Control, &names).await
    }

    /// Starts a process of this kind on each host and waits until all are ready. A process that it
    /// replaces is killed.
    pub async fn restart(&mut self, process_kind: ProcessKind, hosts: &[SmolStr]) -> Result<()> {
        for host in hosts {
            let process = self.start_process(process_kind, host).await?;
            let unit = self.host(host)?;
            match process_kind {
                ProcessKind::Entry => unit.entry = Some(process),
                ProcessKind::Control => unit.control = Some(process),
            }
        }
        for host in hosts {
            self.host(host)?.process(process_kind)?.wait_ready()?;
            self.update_routes(process_kind, host).await?;
        }
        Ok(())
    }

    /// Redirects the proxy's routes to the new addresses of a process that was started.
    async fn update_routes(&mut self, process_kind: ProcessKind, host: &SmolStr) -> Result<()> {
        let process = self.host(host)?.process(process_kind)?;
        let peer = process.address("peer")?;
        let control = match process_kind {
            ProcessKind::Entry => Some(process.address("control")?),
            ProcessKind::Control => None,
        };
        let peer_route = self
            .open_route(peer_route(process_kind, host), peer)
            .await?;
        if let Some(control) = control {
            let route = format_smolstr!("control.{host}");
            self.open_route(route, control).await?;
        } else {
            self.host(host)?.peer_route = Some(peer_route);
        }
        Ok(())
    }

    async fn start_process(
        &mut self,
        process_kind: ProcessKind,
        host: &SmolStr,
    ) -> Result<Process> {
        let settings = self.settings(process_kind, host).await?;
        let label = format!("{}-{host}", process_kind.as_str());
        let file = self.folder().join(format!("{label}.jsonc"));
        std::fs::write(&file, format!("{settings:#}")).context(SystemSnafu {
            operation: "write settings",
        })?;
        let binary = format!("onyxshed-{}", process_kind.as_str());
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        Process::start(&binary, &label, &arguments, self.folder())
    }

    async fn settings(&mut self, process_kind: ProcessKind, host: &SmolStr) -> Result<Value> {
        let platform = self.platform_address()?;
        let route = format_smolstr!("platform.{}.{host}", process_kind.as_str());
        let platform = self.open_route(route, platform).await?;
        let advertised = self
            .open_route(peer_route(process_kind, host), UNASSIGNED_ADDRESS)
            .await?;
        let unit = self.host(host)?;
        let any_port = "127.0.0.1:0";
        let mut settings = json!({
            "host": unit.name,
            "zone": unit.zone,
            "peer_address": any_port,
            "peer_advertised_address": advertised,
            "admin_address": any_port,
            "platform_address": platform,
            "log": {"level": "debug"},
        });
        let own = match process_kind {
            ProcessKind::Entry => json!({"caller_address": any_port, "control_address": any_port}),
            ProcessKind::Control => {
                let entry = unit.process(ProcessKind::Entry)?.address("control")?;
                let route = format_smolstr!("control.{host}");
                json!({
                    "entry_control_address": self.open_route(route, entry).await?,
                    "peers": self.peer_addresses(host),
                })
            }
        };
        let options = match process_kind {
            ProcessKind::Entry => &self.options.entry_settings,
            ProcessKind::Control => &self.options.control_settings,
        };
        merge(&mut settings, own.as_object().unwrap_or(&Map::new()));
        merge(&mut settings, options);
        Ok(settings)
    }

    /// Returns the peers for a control process's settings: the addresses at the proxy of all other
    /// hosts whose control process has been ready, whatever faults are set on these routes.
    fn peer_addresses(&self, host: &SmolStr) -> Vec<SocketAddr> {
        let others = self.hosts.iter().filter(|(name, _)| *name != host);
        others.filter_map(|(_, unit)| unit.peer_route).collect()
    }

    /// Kills a process of a host with SIGKILL. [`Cluster::restart`] starts another one in its
    /// place.
    pub fn kill_process(&mut self, process_kind: ProcessKind, host: &str) -> Result<()> {
        let unit = self.host(host)?;
        unit.process(process_kind)?.kill()?;
        match process_kind {
            ProcessKind::Entry => unit.entry = None,
            ProcessKind::Control => unit.control = None,
        }
        Ok(())
    }
}

/// Target of a route until its process has an address.
const UNASSIGNED_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));

fn peer_route(process_kind: ProcessKind, host: &str) -> SmolStr {
    format_smolstr!("peer.{}.{host}", process_kind.as_str())
}

fn merge(settings: &mut Value, overrides: &Map<String, Value>) {
    if let Some(fields) = settings.as_object_mut() {
        fields.extend(overrides.clone());
    }
}
