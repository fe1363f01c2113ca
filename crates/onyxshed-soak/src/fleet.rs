//! The processes of one soak: the store, the proxy, the hosts and the executors.

mod commands;
pub(crate) mod executors;

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

use crate::checks::OwnersByZone;

/// The timeout of a call to a stand-in or of a readiness check, long enough for a busy machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The time within which all hosts have to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The time after which a host that was asked to stop is killed, as the platform does.
pub const STOP_GRACE: Duration = Duration::from_secs(6);

/// The host header of the only route in the manifest.
pub const ROUTE_HOST: &str = "desk.example";

/// The path prefix of the only route in the manifest.
pub const ROUTE_PREFIX: &str = "/jobs/";

/// The size of a fleet and the clocks of its executors.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// The number of availability zones, which are named `z0`, `z1` and so on.
    pub zones: usize,
    /// The number of hosts in each zone.
    pub hosts: usize,
    /// The number of executors in each zone.
    pub executors: usize,
    /// The number of tasks that an executor can run at the same time.
    pub places: u32,
    /// Whether the executors' clocks are accurate.
    pub clocks: ExecutorClocks,
    /// Arguments that every host gets in addition to its settings and its address.
    pub host_arguments: Vec<String>,
    /// The limits of each host's machine.
    pub limits: MachineLimits,
}

/// The limits of the machine of a host, which its settings state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// The memory of a process, in megabytes.
    pub memory_mb: u64,
    /// The number of descriptors of a process.
    pub max_fds: u64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits {
            memory_mb: 260,
            max_fds: 4_100,
        }
    }
}

/// The accuracy of the executors' clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutorClocks {
    /// Every clock shows the true time since the executor's start.
    Accurate,
    /// Clocks are up to 90 s ahead and up to 2% slow, which is the most that the platform allows.
    Skewed,
}

impl ExecutorClocks {
    /// Returns the time by which the clock of the executor with this index is ahead, in milliseconds, and the
    /// rate by which it is slow, in thousandths.
    fn skew_of(self, index: usize) -> (u64, u64) {
        match self {
            ExecutorClocks::Accurate => (0, 0),
            ExecutorClocks::Skewed => [(90_000, 20), (0, 11), (4_000, 0)][index % 3],
        }
    }
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            zones: 2,
            hosts: 2,
            executors: 3,
            places: 2,
            clocks: ExecutorClocks::Accurate,
            host_arguments: Vec::new(),
            limits: MachineLimits::default(),
        }
    }
}

/// One host: its process, the arguments to start it again, and its addresses for callers and for readiness
/// checks.
struct Host {
    process: Option<Process>,
    arguments: Vec<String>,
    /// The address of the proxy's route to the address for callers.
    caller_address: SocketAddr,
    direct_caller_address: SocketAddr,
    ready_address: SocketAddr,
}

/// One executor: its process, the arguments to start it again, and the address that it listens on while it
/// runs.
struct Executor {
    process: Option<Process>,
    arguments: Vec<String>,
    address: Option<SocketAddr>,
}

/// All processes of one soak, and the folder of their settings and logs.
pub struct Fleet {
    store: Process,
    proxy: Process,
    hosts: BTreeMap<SmolStr, Host>,
    executors: BTreeMap<SmolStr, Executor>,
    /// The records read from executors since the last call of [`Fleet::take_records`], which
    /// include those of executors killed since then.
    collected_records: Vec<(SmolStr, RunRecord)>,
    folder: TempDir,
}

/// A host that is to be added to the fleet.
struct NewHost {
    name: SmolStr,
    zone: usize,
    ip: Ipv4Addr,
    /// The address at which other hosts reach the host, a route of the proxy.
    advertised: SocketAddr,
}

/// The port on which hosts accept connections of other hosts.
const PEER_PORT: u16 = 8_166;

/// The port on which hosts serve their metrics.
const ADMIN_PORT: u16 = 9_464;

/// The greatest number of hosts that the settings of a host name as peers to contact first; the
/// platform also names only a few.
const CONFIGURED_PEERS_MAX: usize = 3;

impl Fleet {
    /// Starts all processes and waits until every host is ready.
    pub async fn start(options: &FleetOptions) -> Result<Self> {
        let folder = tempfile::tempdir()
            .map_err(|error| unmet("a temporary folder is created", &error.to_string()))?;
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
            collected_records: Vec::new(),
            folder,
        };
        fleet.put_manifest(1, 60).await?;
        // Each run has its own addresses in the loopback network, so that parallel runs do not share a port.
        let network = [
            127,
            rand::random_range(16..=250),
            rand::random_range(1..=250),
        ];
        for zone in 0..options.zones {
            for index in 0..options.executors {
                fleet.add_executor(zone, index, options).await?;
            }
        }
        let mut number = 0;
        let mut planned_hosts = Vec::new();
        for zone in 0..options.zones {
            for index in 0..options.hosts {
                number += 1;
                let ip = Ipv4Addr::new(network[0], network[1], network[2], number);
                let name = format_smolstr!("h-{zone}-{index}");
                let peer_address = SocketAddr::new(ip.into(), PEER_PORT);
                let advertised = fleet
                    .open_route(&format!("peer-{name}"), peer_address)
                    .await?;
                planned_hosts.push((zone, name, ip, advertised));
            }
        }
        // The platform names a few hosts of the whole deployment to each host.
        let advertised_addresses = planned_hosts.iter().map(|(.., advertised)| *advertised);
        let configured_peers: Vec<SocketAddr> =
            advertised_addresses.take(CONFIGURED_PEERS_MAX).collect();
        for (zone, name, ip, advertised) in planned_hosts {
            let host = NewHost {
                name,
                zone,
                ip,
                advertised,
            };
            fleet.add_host(host, options, &configured_peers).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn add_host(
        &mut self,
        host: NewHost,
        options: &FleetOptions,
        configured_peers: &[SocketAddr],
    ) -> Result<()> {
        let NewHost {
            name,
            zone,
            ip,
            advertised,
        } = host;
        let address_at = |port| SocketAddr::new(IpAddr::V4(ip), port);
        let store = self.store.address("store")?;
        let store = self.open_route(&format!("store-{name}"), store).await?;
        let caller_address = self
            .open_route(&format!("callers-{name}"), address_at(8_161))
            .await?;
        let zones: BTreeMap<String, &str> = (0..options.zones)
            .map(|zone| (format!("z{zone}"), "r"))
            .collect();
        let settings = json!({
            "node_name": name, "ip": ip, "zone": format!("z{zone}"), "zones": zones,
            "listen_addrs": {"front": address_at(8_161), "ready": address_at(8_167),
                "control": address_at(PEER_PORT)},
            "port_range": [7_720, 7_735], "seeds": configured_peers,
            "limits": {"cpu_share": 0.25, "cpu_cores": 1,
                "memory_mb": options.limits.memory_mb, "max_fds": options.limits.max_fds},
            "heartbeat_ms": 500,
            "bounds": {"config_apply_ms": 2000, "hold_max_ms": 1000, "grace_s": STOP_GRACE.as_secs(),
                "resend_ms": 1300},
            "platform": {"address": store, "ttl_min_ms": 1000},
        });
        let path = self.folder.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())
            .map_err(|error| unmet("settings", &error.to_string()))?;
        let mut arguments = vec![
            format!("--settings={}", path.display()),
            format!("--advertise={advertised}"),
        ];
        arguments.extend(options.host_arguments.iter().cloned());
        let host = Host {
            process: None,
            arguments,
            caller_address,
            direct_caller_address: address_at(8_161),
            ready_address: address_at(8_167),
        };
        self.hosts.insert(name.clone(), host);
        self.start_host(&name)
    }

    /// Starts a host unless its process is running.
    pub fn start_host(&mut self, name: &SmolStr) -> Result<()> {
        let folder = self.folder.path().to_owned();
        let Some(host) = self.hosts.get_mut(name) else {
            return Ok(());
        };
        if let Some(process) = &mut host.process
            && process.exit_status()?.is_none()
        {
            return Ok(());
        }
        let process = Process::start_logging("onyxshed-host", name, &host.arguments, &folder)?;
        host.process = Some(process);
        Ok(())
    }

    /// Applies an action, such as a signal, to the process of a host if it is running.
    pub fn signal_host(
        &mut self,
        name: &SmolStr,
        action: impl FnOnce(&mut Process) -> Result<()>,
    ) -> Result<()> {
        let host = self.hosts.get_mut(name);
        let Some(process) = host.and_then(|host| host.process.as_mut()) else {
            return Ok(());
        };
        if process.exit_status()?.is_some() {
            return Ok(());
        }
        action(process)
    }

    /// Returns the names of all hosts, in alphabetical order.
    pub fn host_names(&self) -> Vec<SmolStr> {
        self.hosts.keys().cloned().collect()
    }

    /// Returns the ids of all executors, in alphabetical order.
    pub fn executor_ids(&self) -> Vec<SmolStr> {
        self.executors.keys().cloned().collect()
    }

    /// Returns the address for callers of each host, in the order of the hosts' names. It belongs to the proxy,
    /// which accepts connections for hosts that have ended as well.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.hosts
            .values()
            .map(|host| host.caller_address)
            .collect()
    }

    /// Returns each host's own address for callers, in the order of the hosts' names. Connections to it do not pass
    /// through the proxy, and are refused while the host does not listen.
    pub fn direct_caller_addresses(&self) -> Vec<SocketAddr> {
        self.hosts
            .values()
            .map(|host| host.direct_caller_address)
            .collect()
    }

    /// Returns the address at which a host serves its readiness check; `None` if the host is unknown.
    pub fn ready_address(&self, name: &SmolStr) -> Option<SocketAddr> {
        self.hosts.get(name).map(|host| host.ready_address)
    }

    /// Returns the address at which a host serves its metrics; `None` if the host is unknown.
    pub fn admin_address(&self, name: &SmolStr) -> Option<SocketAddr> {
        let mut address = self.ready_address(name)?;
        address.set_port(ADMIN_PORT);
        Some(address)
    }

    /// Returns the id of a host's process; `None` if the host was not started.
    pub fn process_id(&self, name: &SmolStr) -> Option<u32> {
        let host = self.hosts.get(name)?;
        host.process.as_ref().map(Process::id)
    }

    /// Returns the status of a host's readiness check; `None` if the host is unknown or does not answer.
    pub async fn readiness_status(&self, name: &SmolStr) -> Option<u16> {
        let ready_address = self.hosts.get(name)?.ready_address;
        let request = call_once(
            ready_address,
            Method::Get,
            "readyz",
            Vec::new(),
            CALL_TIMEOUT,
        );
        request.await.ok().map(|reply| reply.status)
    }

    /// Returns how often a host has called the store for a purpose, by its metrics; `None` if the host is
    /// unknown or does not answer.
    pub async fn store_call_count(&self, name: &SmolStr, purpose: &str) -> Option<u64> {
        let series = format!("onyxshed_store_calls_total{{purpose=\"{purpose}\"}}");
        self.counter(name, &series).await
    }

    /// Returns the value of a counter of a host, which its metrics show with its labels; `None` if the host
    /// is unknown, does not answer or has no such counter.
    pub async fn counter(&self, name: &SmolStr, series: &str) -> Option<u64> {
        let address = self.admin_address(name)?;
        let request = call_once(address, Method::Get, "metrics", Vec::new(), CALL_TIMEOUT);
        let metrics = String::from_utf8(request.await.ok()?.body).ok()?;
        metrics.lines().find_map(|line| {
            let value = line.strip_prefix(series)?;
            value.trim_start().parse().ok()
        })
    }

    /// Waits until every host is ready. Fails after 60 s with the log of a host that is not.
    pub async fn wait_ready(&self) -> Result<()> {
        let started_at = std::time::Instant::now();
        for name in self.host_names() {
            while self.readiness_status(&name).await != Some(200) {
                if started_at.elapsed() > READY_TIMEOUT {
                    return Err(unmet("every host is ready", &self.log_tail(&name)));
                }
                Timer::after(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns the tail of a host's log; empty if the host was not started.
    pub fn log_tail(&self, name: &SmolStr) -> String {
        let process = self.hosts.get(name).and_then(|host| host.process.as_ref());
        process.map(Process::log_tail).unwrap_or_default()
    }

    /// Returns the lines of all hosts' logs that contain a text, each with the name of its host.
    pub fn log_lines_with(&self, text: &str) -> Vec<String> {
        let logs = self.hosts.iter().filter_map(|(name, host)| {
            let log = host.process.as_ref()?.log();
            let lines = log.lines().filter(|line| line.contains(text));
            Some(
                lines
                    .map(|line| format!("{name} {line}"))
                    .collect::<Vec<_>>(),
            )
        });
        logs.flatten().collect()
    }

    /// Returns the hosts that have owned pools, by the lines in their logs.
    pub fn owners(&self) -> OwnersByZone {
        let mut owners = OwnersByZone::default();
        for (host, process) in &self.hosts {
            let Some(process) = &process.process else {
                continue;
            };
            for line in process.log().lines() {
                if let Some((zone, token)) = parse_owned_pool(line) {
                    owners.insert(zone, token, host.clone());
                }
            }
        }
        owners
    }

    /// Returns the folder of settings and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps the folder of settings and logs after the end of the soak, for the analysis of a failure;
    /// returns its path.
    pub fn keep_folder(&mut self) -> String {
        self.folder.disable_cleanup(true);
        self.folder.path().display().to_string()
    }
}

/// Returns the zone and the fencing token of the pool that a host took over, if a line of its log tells so.
fn parse_owned_pool(line: &str) -> Option<(SmolStr, u64)> {
    let (_, detail) = line.split_once("PoolOwned")?;
    let (_, detail) = detail.split_once("pool ")?;
    let (pool, detail) = detail.split_once(", token ")?;
    let (zone, _) = pool.split_once('/')?;
    let digits = detail
        .split(|letter: char| !letter.is_ascii_digit())
        .next()?;
    Some((zone.into(), digits.parse().ok()?))
}

/// Returns the error for an expectation that is not met, with what was found instead.
pub fn unmet(expectation: &str, found: &str) -> Error {
    Error::ExpectationNotMet {
        detail: format_smolstr!("{expectation}: {found}"),
    }
}

/// Returns the availability zone in the name of a host or an executor; `None` if the name has another form.
pub fn zone_of(name: &str) -> Option<SmolStr> {
    let number = name.split('-').nth(1)?;
    Some(format_smolstr!("z{number}"))
}
