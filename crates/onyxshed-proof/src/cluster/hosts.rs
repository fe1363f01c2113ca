//! Entry hosts of a cluster: an entry process and a control process each.

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

/// One of an entry host's processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// `onyxshed-entry`.
    Entry,
    /// `onyxshed-control`.
    Control,
}

impl Part {
    /// Gets the part's word.
    pub fn as_str(self) -> &'static str {
        match self {
            Part::Entry => "entry",
            Part::Control => "control",
        }
    }
}

/// One entry host.
#[derive(Debug)]
pub struct EntryHostUnit {
    /// Its name.
    pub name: SmolStr,
    /// Its zone.
    pub zone: SmolStr,
    /// Its entry process, none after a kill.
    pub entry: Option<Process>,
    /// Its control process, none after a kill.
    pub control: Option<Process>,
    /// Whether the host list names it.
    pub is_listed: bool,
    /// Where its control process is reached by peers, through the proxy.
    peer_route: Option<SocketAddr>,
}

impl EntryHostUnit {
    /// Gets one of its processes.
    pub fn part(&mut self, part: Part) -> Result<&mut Process> {
        let name = format_smolstr!("{} {}", part.as_str(), self.name);
        let slot = match part {
            Part::Entry => &mut self.entry,
            Part::Control => &mut self.control,
        };
        slot.as_mut().ok_or(Error::NotReady {
            process: name,
            reason: SmolStr::new_static("it was killed"),
        })
    }

    /// Gets where callers reach it.
    pub fn caller_address(&self) -> Result<SocketAddr> {
        self.address(&self.entry, "caller")
    }

    /// Gets where one of its processes serves operators.
    pub fn admin_address(&self, part: Part) -> Result<SocketAddr> {
        match part {
            Part::Entry => self.address(&self.entry, "admin"),
            Part::Control => self.address(&self.control, "admin"),
        }
    }

    /// Gets its processes that have not been killed.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        self.entry.iter().chain(&self.control)
    }

    /// Gets what the host list says of it, none if it is left out.
    pub(super) fn listed(&self) -> Option<EntryHost> {
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
        self.restart(Part::Entry, &names).await?;
        self.restart(Part::Control, &names).await
    }

    /// Starts a part of each host, killing the one before, and waits until all serve.
    pub async fn restart(&mut self, part: Part, hosts: &[SmolStr]) -> Result<()> {
        for host in hosts {
            let process = self.start_part(part, host).await?;
            let unit = self.host(host)?;
            match part {
                Part::Entry => unit.entry = Some(process),
                Part::Control => unit.control = Some(process),
            }
        }
        for host in hosts {
            self.host(host)?.part(part)?.wait_ready()?;
            self.lead_routes(part, host).await?;
        }
        Ok(())
    }

    /// Leads the routes of others to a part that has new addresses.
    async fn lead_routes(&mut self, part: Part, host: &SmolStr) -> Result<()> {
        let process = self.host(host)?.part(part)?;
        let peer = process.address("peer")?;
        let control = match part {
            Part::Entry => Some(process.address("control")?),
            Part::Control => None,
        };
        let peer_route = self.open_route(peer_route(part, host), peer).await?;
        if let Some(control) = control {
            let route = format_smolstr!("control.{host}");
            self.open_route(route, control).await?;
        } else {
            self.host(host)?.peer_route = Some(peer_route);
        }
        Ok(())
    }

    async fn start_part(&mut self, part: Part, host: &SmolStr) -> Result<Process> {
        let settings = self.settings(part, host).await?;
        let label = format!("{}-{host}", part.as_str());
        let file = self.folder().join(format!("{label}.jsonc"));
        std::fs::write(&file, format!("{settings:#}")).context(SystemSnafu {
            what: "write settings",
        })?;
        let binary = format!("onyxshed-{}", part.as_str());
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        Process::start(&binary, &label, &arguments, self.folder())
    }

    async fn settings(&mut self, part: Part, host: &SmolStr) -> Result<Value> {
        let platform = self.platform_address()?;
        let route = format_smolstr!("platform.{}.{host}", part.as_str());
        let platform = self.open_route(route, platform).await?;
        let advertised = self.open_route(peer_route(part, host), NOWHERE).await?;
        let unit = self.host(host)?;
        let free = "127.0.0.1:0";
        let mut settings = json!({
            "host": unit.name,
            "zone": unit.zone,
            "peer_address": free,
            "peer_advertised_address": advertised,
            "admin_address": free,
            "platform_address": platform,
            "log": {"level": "debug"},
        });
        let own = match part {
            Part::Entry => json!({"caller_address": free, "control_address": free}),
            Part::Control => {
                let entry = unit.part(Part::Entry)?.address("control")?;
                let route = format_smolstr!("control.{host}");
                json!({
                    "entry_control_address": self.open_route(route, entry).await?,
                    "peers": self.seeds(host),
                })
            }
        };
        let given = match part {
            Part::Entry => &self.given.entry_settings,
            Part::Control => &self.given.control_settings,
        };
        merge(&mut settings, own.as_object().unwrap_or(&Map::new()));
        merge(&mut settings, given);
        Ok(settings)
    }

    /// Gets the peers that a control process is told of: all that run, past the proxy's faults or
    /// not, as an operator would list them.
    fn seeds(&self, host: &SmolStr) -> Vec<SocketAddr> {
        let others = self.hosts.iter().filter(|(name, _)| *name != host);
        others.filter_map(|(_, unit)| unit.peer_route).collect()
    }

    /// Kills a part of a host.
    pub fn kill_part(&mut self, part: Part, host: &str) -> Result<()> {
        let unit = self.host(host)?;
        unit.part(part)?.kill()?;
        match part {
            Part::Entry => unit.entry = None,
            Part::Control => unit.control = None,
        }
        Ok(())
    }
}

/// Where a route leads until its process has an address.
const NOWHERE: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));

fn peer_route(part: Part, host: &str) -> SmolStr {
    format_smolstr!("peer.{}.{host}", part.as_str())
}

fn merge(settings: &mut Value, more: &Map<String, Value>) {
    if let Some(fields) = settings.as_object_mut() {
        fields.extend(more.clone());
    }
}
