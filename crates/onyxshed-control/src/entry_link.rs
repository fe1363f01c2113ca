//! Sends snapshots to the entry process of this host.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use onyxshed_core::{Event, EventKind};
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_proto::onyxshed_capnp::entry_port;
use onyxshed_proto::{EntryStatus, rpc, snapshot, status};

use crate::names::{ENTRY_LINK, SHARED_STATE};
use crate::shared_state::SharedState;

/// Longest time between two snapshots. The entry process detects the loss of the control process by
/// their absence.
const SNAPSHOT_INTERVAL_MAX: Duration = Duration::from_millis(500);

/// Timeout of the call that sends a snapshot.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long to wait before connecting again; both processes may start at the same moment.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Handle to the status that the entry process last reported.
pub struct EntryLink {
    status: RefCell<Option<EntryStatus>>,
}

impl EntryLink {
    /// Returns the status that the entry process last reported, or `None` while it can't be reached.
    pub fn status(&self) -> Option<EntryStatus> {
        self.status.borrow().clone()
    }
}

/// The service that sends a snapshot to the entry process after each change of the shared state,
/// and at least twice per second.
pub struct EntryLinkService {
    entry_address: SocketAddr,
}

impl EntryLinkService {
    /// Creates the service, which connects to the entry process at `entry_address`.
    pub fn new(entry_address: SocketAddr) -> Self {
        EntryLinkService { entry_address }
    }
}

impl Service for EntryLinkService {
    fn name(&self) -> ServiceName {
        ENTRY_LINK
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[SHARED_STATE]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let shared_state: Rc<SharedState> = kernel.find(SHARED_STATE)?;
            let link = Rc::new(EntryLink {
                status: RefCell::default(),
            });
            let descriptor = Descriptor {
                name: ENTRY_LINK,
                summary: "snapshots sent to the entry process",
            };
            kernel.register(descriptor, link.clone())?;
            let sending = send_snapshots(kernel.clone(), shared_state, link, self.entry_address);
            kernel.spawn(sending).detach();
            Ok(())
        })
    }
}

/// Connects to the entry process and sends snapshots, and connects again when the connection breaks.
async fn send_snapshots(
    kernel: Kernel,
    shared_state: Rc<SharedState>,
    link: Rc<EntryLink>,
    address: SocketAddr,
) {
    loop {
        let connected = rpc::connect::<entry_port::Client>(address, &kernel.executor()).await;
        if let Ok(connection) = connected {
            send_until_disconnected(&kernel, &shared_state, &link, &connection.client).await;
        }
        link.status.replace(None);
        Timer::after(RECONNECT_DELAY).await;
    }
}

async fn send_until_disconnected(
    kernel: &Kernel,
    shared_state: &SharedState,
    link: &EntryLink,
    client: &entry_port::Client,
) {
    let mut is_first = true;
    loop {
        let Some(entry_status) = send_snapshot(shared_state, client).await else {
            return;
        };
        kernel.clock().observe(entry_status.hlc);
        if std::mem::replace(&mut is_first, false) {
            let party = smol_str::format_smolstr!("{}", entry_status.incarnation);
            kernel.emit(Event::new(EventKind::ControlConnected).party(party));
        }
        link.status.replace(Some(entry_status));
        let pause = async {
            Timer::after(SNAPSHOT_INTERVAL_MAX).await;
        };
        shared_state.wait_for_change().or(pause).await;
    }
}

/// Sends one snapshot and returns the entry process's status, or `None` if the call failed or timed out.
async fn send_snapshot(
    shared_state: &SharedState,
    client: &entry_port::Client,
) -> Option<EntryStatus> {
    let mut request = client.install_request();
    snapshot::write(&shared_state.snapshot(), request.get().init_snapshot());
    let call = async {
        let reply = request.send().promise.await.ok()?;
        status::read(reply.get().ok()?.get_status().ok()?).ok()
    };
    let timeout = async {
        Timer::after(CALL_TIMEOUT).await;
        None
    };
    call.or(timeout).await
}
