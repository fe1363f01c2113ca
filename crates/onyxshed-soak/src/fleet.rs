//! The processes of one soak.

mod commands;
mod executors;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use async_io::Timer;
use http_types::Method;
use onyxshed_http::client::call_once;
use onyxshed_proof::process::Process;
use onyxshed_proof::{Error, Result};
use onyxshed_standins::fleet::executor::RunRecord;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tempfile::TempDir;

/// How long a call to a stand-in may take, on a machine that is busy.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long everything may take to come up.
const READY_CEILING: Duration = Duration::from_secs(60);

/// How long the platform waits before it kills a host that was asked to stop.
pub const GRACE: Duration = Duration::from_secs(6);

/// The host header of the one route.
pub const ROUTE_HOST: &str = "desk.example";

/// The path prefix of the one route.
pub const ROUTE_PREFIX: &str = "/jobs/";

/// What runs.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Zones.
    pub zones: usize,
    /// Hosts in each zone.
    pub hosts: usize,
    /// Executors in each zone.
    pub executors: usize,
    /// What the executors' clocks show.
    pub clocks: ExecutorClocks,
}

/// What the executors' clocks show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutorClocks {
    /// The time since their start.
    True,
    /// Up to 90 s more, and up to 2% slow, which is the most that the platform allows.
    Off,
}

impl ExecutorClocks {
    /// Gets how far an executor's clock is ahead, in milliseconds, and by how many thousandths it is
    /// slow.
    fn of(self, index: usize) -> (u64, u64) {
        match self {
            ExecutorClocks::True => (0, 0),
            ExecutorClocks::Off => [(90_000, 20), (0, 11), (4_000, 0)][index % 3],
        }
    }
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            zones: 2,
            hosts: 2,
            executors: 3,
            clocks: ExecutorClocks::True,
        }
    }
}

/// One host: its process, and what is needed to start it again.
struct Host {
    process: Option<Process>,
    arguments: Vec<String>,
    callers: SocketAddr,
    ready: SocketAddr,
}

/// One executor.
struct Executor {
    process: Option<Process>,
    arguments: Vec<String>,
    address: Option<SocketAddr>,
}

/// Everything that one soak runs.
pub struct Fleet {
    store: Process,
    proxy: Process,
    hosts: BTreeMap<SmolStr, Host>,
    executors: BTreeMap<SmolStr, Executor>,
    /// What executors recorded that were killed since.
    past: Vec<(SmolStr, RunRecord)>,
    folder: TempDir,
}

/// A host that is to be added.
struct NewHost {
    name: SmolStr,
    zone: usize,
    ip: Ipv4Addr,
    /// Where the others reach it.
    advertised: SocketAddr,
}

/// Port on which hosts serve one another.
const PEER_PORT: u16 = 8_166;

/// Hosts that each host is told of, as on the platform.
const SEEDS_MAX: usize = 3;

impl Fleet {
    /// Tries to start all processes and waits until every host is ready.
    pub async fn start(options: &FleetOptions) -> Result<Self> {
        let folder = tempfile::tempdir().map_err(|error| unmet("a folder", &error.to_string()))?;
        let path = folder.path();
        let mut store = Process::start("standin-fleet-store", "store", &[], path)?;
        let mut proxy = Process::start("standin-faults", "faults", &[], path)?;
        store.wait_ready()?;
        proxy.wait_ready()?;
        let mut fleet = Fleet {
            store,
            proxy,
            hosts: BTreeMap::new(),
            executors: BTreeMap::new(),
            past: Vec::new(),
            folder,
        };
        fleet.put_manifest(1, 60).await?;
        // Addresses of this run alone on the loopback network, so that runs side by side share no
        // port.
        let network = [
            127,
            rand::random_range(16..=250),
            rand::random_range(1..=250),
        ];
        for zone in 0..options.zones {
            for index in 0..options.executors {
                fleet.add_executor(zone, index, options.clocks).await?;
            }
        }
        let mut number = 0;
        let mut places = Vec::new();
        for zone in 0..options.zones {
            for index in 0..options.hosts {
                number += 1;
                let ip = Ipv4Addr::new(network[0], network[1], network[2], number);
                let name = format_smolstr!("h-{zone}-{index}");
                let peer_at = SocketAddr::new(ip.into(), PEER_PORT);
                let advertised = fleet.route(&format!("peer-{name}"), peer_at).await?;
                places.push((zone, name, ip, advertised));
            }
        }
        // The platform names some hosts of the whole deployment to each.
        let others = places.iter().map(|(.., advertised)| *advertised);
        let seeds: Vec<SocketAddr> = others.take(SEEDS_MAX).collect();
        for (zone, name, ip, advertised) in places {
            let host = NewHost {
                name,
                zone,
                ip,
                advertised,
            };
            fleet.add_host(host, options.zones, &seeds).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn add_host(&mut self, host: NewHost, zones: usize, seeds: &[SocketAddr]) -> Result<()> {
        let NewHost {
            name,
            zone,
            ip,
            advertised,
        } = host;
        let at = |port| SocketAddr::new(IpAddr::V4(ip), port);
        let store = self.store.address("store")?;
        let store = self.route(&format!("store-{name}"), store).await?;
        let callers = self.route(&format!("callers-{name}"), at(8_161)).await?;
        let zones: BTreeMap<String, &str> =
            (0..zones).map(|zone| (format!("z{zone}"), "r")).collect();
        let settings = json!({
            "node_name": name, "ip": ip, "zone": format!("z{zone}"), "zones": zones,
            "listen_addrs": {"front": at(8_161), "ready": at(8_167), "control": at(PEER_PORT)},
            "port_range": [7_720, 7_735], "seeds": seeds,
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260},
            "heartbeat_ms": 500,
            "bounds": {"hold_max_ms": 1000, "grace_s": GRACE.as_secs(), "resend_ms": 1300},
            "platform": {"address": store, "ttl_min_ms": 1000},
        });
        let path = self.folder.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())
            .map_err(|error| unmet("settings", &error.to_string()))?;
        let host = Host {
            process: None,
            arguments: vec![
                format!("--settings={}", path.display()),
                format!("--advertise={advertised}"),
            ],
            callers,
            ready: at(8_167),
        };
        self.hosts.insert(name.clone(), host);
        self.start_host(&name)
    }

    /// Starts a host that does not run.
    pub fn start_host(&mut self, name: &SmolStr) -> Result<()> {
        let folder = self.folder.path().to_owned();
        let Some(host) = self.hosts.get_mut(name) else {
            return Ok(());
        };
        if let Some(process) = &mut host.process
            && process.ended()?.is_none()
        {
            return Ok(());
        }
        let process = Process::start_logging("onyxshed-host", name, &host.arguments, &folder)?;
        host.process = Some(process);
        Ok(())
    }

    /// Does something to a host's process, if it runs.
    pub fn signal_host(
        &mut self,
        name: &SmolStr,
        act: impl FnOnce(&mut Process) -> Result<()>,
    ) -> Result<()> {
        let host = self.hosts.get_mut(name);
        let Some(process) = host.and_then(|host| host.process.as_mut()) else {
            return Ok(());
        };
        if process.ended()?.is_some() {
            return Ok(());
        }
        act(process)
    }

    /// Gets the hosts' names.
    pub fn host_names(&self) -> Vec<SmolStr> {
        self.hosts.keys().cloned().collect()
    }

    /// Gets the executors' ids.
    pub fn executor_ids(&self) -> Vec<SmolStr> {
        self.executors.keys().cloned().collect()
    }

    /// Gets where callers reach each host.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.values().map(|host| host.callers).collect()
    }

    /// Asks a host's readiness; its status, none without an answer.
    pub async fn readiness(&self, name: &SmolStr) -> Option<u16> {
        let ready = self.hosts.get(name)?.ready;
        let asked = call_once(ready, Method::Get, "readyz", Vec::new(), CALL_TIMEOUT);
        asked.await.ok().map(|reply| reply.status)
    }

    /// Waits until every host is ready.
    pub async fn wait_ready(&self) -> Result<()> {
        let begun = std::time::Instant::now();
        for name in self.host_names() {
            while self.readiness(&name).await != Some(200) {
                if begun.elapsed() > READY_CEILING {
                    return Err(unmet("every host is ready", &self.log_of(&name)));
                }
                Timer::after(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Gets the end of a process's log.
    pub fn log_of(&self, name: &SmolStr) -> String {
        let process = self.hosts.get(name).and_then(|host| host.process.as_ref());
        process.map(Process::log_tail).unwrap_or_default()
    }

    /// Gets the lines of all hosts' logs that name a job.
    pub fn lines_about(&self, word: &str) -> Vec<String> {
        let logs = self.hosts.iter().filter_map(|(name, host)| {
            let log = host.process.as_ref()?.log();
            let lines = log.lines().filter(|line| line.contains(word));
            Some(
                lines
                    .map(|line| format!("{name} {line}"))
                    .collect::<Vec<_>>(),
            )
        });
        logs.flatten().collect()
    }

    /// Gets the folder of settings and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps the folder after the end, for a failure to be looked into; gets where it is.
    pub fn keep_folder(&mut self) -> String {
        self.folder.disable_cleanup(true);
        self.folder.path().display().to_string()
    }
}

/// Makes the error of an expectation that does not hold.
pub fn unmet(what: &str, found: &str) -> Error {
    Error::Unmet {
        what: format_smolstr!("{what}: {found}"),
    }
}

/// Gets the zone of a host or an executor by its name.
pub fn zone_of(name: &str) -> Option<SmolStr> {
    let number = name.split('-').nth(1)?;
    Some(format_smolstr!("z{number}"))
}
