//! Receives snapshots from the control process of this host.
//!
//! The control process may crash, hang or restart at any time. The entry process then continues with
//! the last snapshot, emits an event that the control process is lost, and reports the snapshot's age
//! in its status.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use capnp::capability::Rc as ServerRc;
use onyxshed_core::{Event, EventKind, HostName, Incarnation, Millis, Mono, UnixMs};
use onyxshed_dispatch::{Dispatch, Input};
use onyxshed_http::ListenOptions;
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_process::{listen, serve_rpc};
use onyxshed_proto::onyxshed_capnp::entry_port;
use onyxshed_proto::{EntryStatus, Snapshot, rpc, snapshot, status};
use onyxshed_state::{LoadDigest, MemberState};

use crate::engine::Engine;
use crate::names::{CONTROL_PORT, ENGINE, UPSTREAMS};
use crate::upstreams::Upstreams;

/// Time since the last snapshot after which the control process counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(3);

/// Identity of this entry process, and the address at which its control process connects.
#[derive(Debug, Clone)]
pub struct ControlPortOptions {
    /// Name of this host, reported to the control process with each status.
    pub host: HostName,
    /// Incarnation of this host: this run of its entry process.
    pub incarnation: Incarnation,
    /// Address on which the control process connects.
    pub control_address: SocketAddr,
    /// Address sent to peers in place of the address of the peer listener, if any.
    pub peer_advertised_address: Option<SocketAddr>,
}

/// Handle to the connection with the control process.
pub struct ControlPort {
    kernel: Kernel,
    options: ControlPortOptions,
    started_at_ms: UnixMs,
    last_snapshot: Cell<Option<Instant>>,
    first_snapshot: Cell<Option<Mono>>,
    is_connected: Cell<bool>,
}

impl ControlPort {
    /// Returns the age of the last snapshot, `None` before the first.
    pub fn snapshot_age(&self) -> Option<Duration> {
        self.last_snapshot.get().map(|at| at.elapsed())
    }

    fn install(&self, snapshot: Snapshot) -> Result<EntryStatus> {
        self.kernel.clock().observe(snapshot.hlc);
        self.last_snapshot.set(Some(Instant::now()));
        if !self.is_connected.replace(true) {
            self.kernel.emit(Event::new(EventKind::ControlConnected));
        }
        let engine = self.kernel.find::<Engine>(ENGINE)?;
        if let Some(executors) = snapshot.executors {
            self.kernel
                .find::<Upstreams>(UPSTREAMS)?
                .set_executors(&executors);
            let infos = executors.into_iter().map(|entry| entry.info).collect();
            engine.handle_input(Input::Executors(infos));
            self.kernel.readiness().clear_not_ready(NO_EXECUTORS_YET);
            let live_members = snapshot
                .members
                .iter()
                .filter(|member| member.state == MemberState::Live);
            if self.has_learned_of_peers(live_members.count(), snapshot.live_hosts) {
                self.kernel.readiness().clear_not_ready(PEERS_NOT_KNOWN_YET);
            }
        }
        engine.handle_input(Input::Members {
            members: snapshot.members,
            gone: snapshot.gone,
            zone_hosts: snapshot.zone_hosts,
            live_hosts: snapshot.live_hosts,
        });
        if let Some(config) = snapshot.config {
            engine.handle_input(Input::Configured(config));
            self.kernel.readiness().clear_not_ready(NO_CONFIG_YET);
        }
        Ok(self.status(&engine))
    }

    /// Returns whether as many peers are live as the control process knows, from heartbeats or from
    /// the platform's list. Returns true in any case once [`PEERS_WAIT_MAX`] has passed since the
    /// first list of executors.
    ///
    /// Without this check, a new host may receive a repeated submission of a job that another host
    /// holds before it has learned of that host. It would then answer that the holder can't be
    /// reached, although the holder is up. The wait is bounded, so that hosts that are listed and
    /// down do not keep a new host out of service.
    fn has_learned_of_peers(&self, live_peers: usize, listed_hosts: u32) -> bool {
        let listed = usize::try_from(listed_hosts).unwrap_or(usize::MAX);
        let since = self.first_snapshot.get();
        let since = since.unwrap_or_else(|| {
            let now = self.kernel.clock().now().mono;
            self.first_snapshot.set(Some(now));
            now
        });
        let waited = self.kernel.clock().now().mono.since(since);
        let has_all = listed_hosts > 0 && live_peers + 1 >= listed;
        has_all || waited >= PEERS_WAIT_MAX.into()
    }

    fn status(&self, engine: &Engine) -> EntryStatus {
        let addresses = self.kernel.addresses();
        let listener_address = addresses
            .get("peer")
            .copied()
            .unwrap_or(self.options.control_address);
        EntryStatus {
            host: self.options.host.clone(),
            incarnation: self.options.incarnation,
            peer_address: self
                .options
                .peer_advertised_address
                .unwrap_or(listener_address),
            config_revision: engine
                .inspect(|machine| machine.config().map(|config| config.revision)),
            load: LoadDigest {
                running_tasks: saturating_u32(engine.inspect(Dispatch::live_attempts)),
                queued_tasks: saturating_u32(engine.inspect(Dispatch::queued_tasks)),
            },
            started_at_ms: self.started_at_ms,
            is_draining: self.kernel.readiness().is_draining(),
            hlc: self.kernel.clock().stamp(),
        }
    }

    /// Emits an event when the control process becomes lost, once for each loss.
    async fn watch(self: Rc<Self>) {
        loop {
            Timer::after(LOST_AFTER / 3).await;
            let is_lost = self.snapshot_age().is_some_and(|age| age > LOST_AFTER);
            if is_lost && self.is_connected.replace(false) {
                self.kernel.emit(Event::new(EventKind::ControlLost));
            }
        }
    }
}

/// Reason shown while the process is not ready because it has received no configuration.
pub const NO_CONFIG_YET: &str = "no configuration yet";

fn saturating_u32(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

/// Reason shown while the process is not ready because it has received no list of hosts from the platform.
pub const NO_EXECUTORS_YET: &str = "no list of executors yet";

/// Reason shown while the process is not ready because it has not learned of the other hosts.
pub const PEERS_NOT_KNOWN_YET: &str = "other hosts are not heard yet";

/// Longest time for which readiness waits for the other hosts, counted from the first list of hosts:
/// five times the 190 ms that hosts which start together take to learn of each other.
const PEERS_WAIT_MAX: Millis = Millis(1_000);

/// Implementation of the Cap'n Proto interface through which the control process sends snapshots.
struct EntryPort {
    port: Rc<ControlPort>,
}

impl entry_port::Server for EntryPort {
    async fn install(
        self: ServerRc<Self>,
        params: entry_port::InstallParams,
        mut results: entry_port::InstallResults,
    ) -> capnp::Result<()> {
        let snapshot = snapshot::read(params.get()?.get_snapshot()?)?;
        let installed = self.port.install(snapshot);
        let entry_status = installed.map_err(|error| capnp::Error::failed(error.to_string()))?;
        status::write(&entry_status, results.get().init_status());
        Ok(())
    }
}

/// The service that accepts the control process's connection.
pub struct ControlPortService {
    options: ControlPortOptions,
}

impl ControlPortService {
    /// Creates the service; the address for the control process is opened when it starts.
    pub fn new(options: ControlPortOptions) -> Self {
        ControlPortService { options }
    }
}

impl Service for ControlPortService {
    fn name(&self) -> ServiceName {
        CONTROL_PORT
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[ENGINE, UPSTREAMS]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            kernel.readiness().set_not_ready(NO_CONFIG_YET);
            kernel.readiness().set_not_ready(NO_EXECUTORS_YET);
            kernel.readiness().set_not_ready(PEERS_NOT_KNOWN_YET);
            let port = Rc::new(ControlPort {
                kernel: kernel.clone(),
                options: self.options.clone(),
                started_at_ms: kernel.clock().now().wall,
                last_snapshot: Cell::new(None),
                first_snapshot: Cell::new(None),
                is_connected: Cell::new(false),
            });
            let address = self.options.control_address;
            let (listener, _) = listen(
                kernel,
                CONTROL_PORT,
                "control",
                address,
                ListenOptions::for_peers(),
            )
            .await?;
            let client: entry_port::Client =
                capnp_rpc::new_client(EntryPort { port: port.clone() });
            serve_rpc(kernel, listener, client.client, rpc::CONNECTIONS_MAX);
            kernel.spawn(port.clone().watch()).detach();
            let descriptor = Descriptor {
                name: CONTROL_PORT,
                summary: "snapshots from the control process",
            };
            kernel.register(descriptor, port)
        })
    }
}
