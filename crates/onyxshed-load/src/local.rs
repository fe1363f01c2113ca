//! A set of real processes on this machine: the platform's stand-in, executors and entry hosts.
//!
//! Experiments start a set, measure it and drop it, which ends all its processes.

mod child;
mod options;
mod settings;

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use http_types::Method;
use onyxshed_core::{ChangeId, ClassTarget, Revision};
use onyxshed_http::Reply;
use onyxshed_http::client::call_once;
use onyxshed_wire::admin::READY_PATH;
use onyxshed_wire::platform::{
    CONFIG_STREAM, EntryHost, ExecutorHost, HOSTS_PATH, HostState, records_path,
};
use onyxshed_wire::record::{ChangeBody, ConfigChange, ConfigRecord};
use serde::Serialize;
use smol_str::format_smolstr;
use ulid::Ulid;

pub use child::Child;
pub use options::{BENCH_CLASS, LocalOptions};

use crate::error::{Error, Result};
use settings::EntryPorts;

/// A set of running processes.
pub struct LocalSet {
    /// The entry hosts. They end first, so that they do not report the end of the other processes.
    pub entries: Vec<LocalEntry>,
    /// The executor processes. The host list may contain several executors with the address of the
    /// same process.
    pub executors: Vec<Child>,
    /// The platform's stand-in.
    pub platform: Child,
    folder: tempfile::TempDir,
}

/// The two processes of an entry host, and their addresses.
pub struct LocalEntry {
    /// Address at which the entry process accepts jobs of callers.
    pub callers: SocketAddr,
    /// Admin address of the entry process.
    pub admin: SocketAddr,
    /// Admin address of the control process.
    pub control_admin: SocketAddr,
    /// Address on which the control process accepts connections of the control processes of other
    /// hosts.
    pub control_peer: SocketAddr,
    /// The entry process.
    pub entry: Child,
    /// The control process.
    pub control: Child,
    started_at: Instant,
    /// Time from the start of the entry process to its first ready answer.
    pub time_to_ready: Duration,
}

/// Body of `PUT /v1/hosts`, which replaces the host list of the platform's stand-in.
#[derive(Serialize)]
struct Hosts {
    executors: Vec<ExecutorHost>,
    entries: Vec<EntryHost>,
}

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const READY_POLL: Duration = Duration::from_millis(2);

impl LocalSet {
    /// Starts all processes and waits until every entry host is ready.
    pub async fn start(options: &LocalOptions) -> Result<Self> {
        let folder = tempfile::tempdir().map_err(Error::start)?;
        let appends = options.appends_per_s.to_string();
        let platform = Child::start_standin(
            &options.binaries.join("standin-platform"),
            &["--appends-per-s", &appends],
        )?;
        let executors: Result<Vec<_>> = (0..options.executors)
            .map(|index| start_executor(options, index))
            .collect();
        let mut set = LocalSet {
            platform,
            executors: executors?,
            entries: Vec::new(),
            folder,
        };
        let ports: Result<Vec<_>> = (0..options.entries)
            .map(|_| EntryPorts::find_free())
            .collect();
        let ports = ports?;
        set.publish_hosts(options, &ports).await?;
        set.publish_classes(Revision(0), &options.classes).await?;
        for (index, ports) in ports.iter().enumerate() {
            let entry = set.start_entry(options, index, ports).await?;
            set.entries.push(entry);
        }
        // An entry host is ready only after contact with the others, so all are started before any
        // is waited for.
        for entry in &mut set.entries {
            wait_ready(entry.admin, entry.started_at).await?;
            entry.time_to_ready = entry.started_at.elapsed();
        }
        Ok(set)
    }

    /// Returns the folder of the processes' settings, which is removed when the set is dropped.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the addresses at which the entry hosts accept jobs, in the order of `entries`.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }

    /// Publishes the host list: the entry hosts at `ports`, and the executors of this set.
    pub async fn publish_hosts(&self, options: &LocalOptions, ports: &[EntryPorts]) -> Result<()> {
        let entries = ports.iter().enumerate().map(|(index, ports)| EntryHost {
            name: parse_name(&format!("e{index}")),
            zone: parse_name(settings::ZONE),
            peer_address: ports.control_peer,
            state: HostState::Live,
        });
        let hosts = Hosts {
            executors: (0..options.listed_executors())
                .map(|index| self.executor_host(options, index))
                .collect(),
            entries: entries.collect(),
        };
        let body = serde_json::to_vec(&hosts).expect("hosts are serializable as JSON");
        self.call_platform(Method::Put, HOSTS_PATH, body).await
    }

    fn executor_host(&self, options: &LocalOptions, index: usize) -> ExecutorHost {
        let process = &self.executors[index % self.executors.len()];
        ExecutorHost {
            name: parse_name(&format!("x{index:05}")),
            upstream: options.upstream.clone(),
            zone: parse_name(settings::ZONE),
            rack: format_smolstr!("rack-{}", index / 8),
            address: process.address,
            slots: options.slots,
            state: HostState::Live,
        }
    }

    /// Publishes classes, one change each, where every change is based on the revision before it
    /// and the first one on `base`.
    pub async fn publish_classes(&self, base: Revision, classes: &[ClassTarget]) -> Result<()> {
        for (revision, target) in (base.0..).zip(classes) {
            let record = ConfigRecord::ChangeV1(ConfigChange {
                change_id: ChangeId(Ulid::from_parts(0, rand::random())),
                based_on: Revision(revision),
                body: ChangeBody::Put(target.clone()),
            });
            let body = record.encode().into_bytes();
            self.call_platform(Method::Post, &records_path(CONFIG_STREAM), body)
                .await?;
        }
        Ok(())
    }

    async fn call_platform(&self, method: Method, path: &str, body: Vec<u8>) -> Result<()> {
        call(self.platform.address, method, path, body)
            .await
            .map(|_| ())
    }

    async fn start_entry(
        &self,
        options: &LocalOptions,
        index: usize,
        ports: &EntryPorts,
    ) -> Result<LocalEntry> {
        let folder = self.folder.path();
        let files = settings::write(folder, index, ports, self.platform.address, options)?;
        let control =
            Child::start_service(&options.binaries.join("onyxshed-control"), &files.control)?;
        let started_at = Instant::now();
        let entry = Child::start_service(&options.binaries.join("onyxshed-entry"), &files.entry)?;
        Ok(LocalEntry {
            callers: ports.callers,
            admin: ports.entry_admin,
            control_admin: ports.control_admin,
            control_peer: ports.control_peer,
            entry,
            control,
            started_at,
            time_to_ready: Duration::ZERO,
        })
    }
}

fn start_executor(options: &LocalOptions, index: usize) -> Result<Child> {
    let speed = options.speeds[index % options.speeds.len()].to_string();
    let name = format!("x{index:05}");
    Child::start_standin(
        &options.binaries.join("standin-upstream"),
        &[
            "--name",
            &name,
            "--upstream",
            options.upstream.as_str(),
            "--slots",
            &(options.slots * options.listed_per_process).to_string(),
            "--queue",
            &options.executor_queue.to_string(),
            "--speed",
            &speed,
        ],
    )
}

async fn wait_ready(admin: SocketAddr, started_at: Instant) -> Result<()> {
    loop {
        let reply = call(admin, Method::Get, READY_PATH, Vec::new()).await;
        match reply {
            Ok(reply) if reply.status == 200 => return Ok(()),
            _ if started_at.elapsed() < READY_TIMEOUT => {}
            Ok(reply) => {
                let reason = String::from_utf8_lossy(&reply.body).into_owned();
                return Err(Error::unreachable(admin, reason));
            }
            Err(error) => return Err(error),
        }
        async_io::Timer::after(READY_POLL).await;
    }
}

/// Sends one request on a new connection and returns the reply. Fails if no reply is received.
pub async fn call(address: SocketAddr, method: Method, path: &str, body: Vec<u8>) -> Result<Reply> {
    call_once(address, method, path, body, CALL_TIMEOUT)
        .await
        .map_err(|error| Error::unreachable(address, error.reason))
}

/// Parses a name. Panics if it is not valid.
fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(_) => unreachable!("{text} is not a valid name"),
    }
}
