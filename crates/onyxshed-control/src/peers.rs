//! Exchanges gossip about the members with the control processes of other hosts.
//!
//! This process sends heartbeats only while its entry process answers, so the heartbeats of a
//! stopped or frozen entry process cease within a second. Peers suspect it after
//! `suspect_after_ms`.

mod calls;
mod port;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_core::{Event, EventKind, HostName, Millis, Now, ZoneName};
use onyxshed_http::ListenOptions;
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_process::{listen, serve_rpc};
use onyxshed_proto::onyxshed_capnp::peer_port;
use onyxshed_proto::{EntryStatus, rpc};
use onyxshed_state::member::{Gossip, OutgoingGossip};
use onyxshed_state::{Heartbeat, MemberOptions, MemberTable, MembershipEvent};
use onyxshed_wire::platform::HostList;

use crate::entry_link::EntryLink;
use crate::names::{ENTRY_LINK, PEERS, SHARED_STATE};
use crate::shared_state::SharedState;

/// Number of gossip rounds after the start of this process that use [`INTRODUCTORY_INTERVAL`], so
/// that peers learn of a new host soon.
const INTRODUCTORY_ROUNDS: u32 = 20;

/// Interval between the introductory rounds, unless the heartbeat interval is shorter.
const INTRODUCTORY_INTERVAL: Duration = Duration::from_millis(100);

/// Identity of this host among its peers, and the parameters of the gossip.
#[derive(Debug, Clone)]
pub struct PeerOptions {
    /// Name of this host, sent to peers in its heartbeat.
    pub host: HostName,
    /// Zone of this host, sent to peers in its heartbeat.
    pub zone: ZoneName,
    /// Address on which peers are served.
    pub address: SocketAddr,
    /// Address sent to peers in place of the address listened on, if any.
    pub advertised_address: Option<SocketAddr>,
    /// Addresses of the control processes to contact before any peer is known.
    pub seeds: Vec<SocketAddr>,
    /// Interval between two gossip rounds after the introductory ones.
    pub heartbeat_ms: Millis,
    /// Timeouts and limits of the membership.
    pub members: MemberOptions,
}

/// A connection to a peer. Clones share it.
type PeerConnection = Rc<rpc::Connection<peer_port::Client>>;

/// Handle to the member table, which is `None` until the entry process has reported its status
/// once, and to the connections to peers.
pub struct Peers {
    kernel: Kernel,
    options: PeerOptions,
    address: SocketAddr,
    shared_state: Rc<SharedState>,
    table: RefCell<Option<MemberTable>>,
    last_host_list: RefCell<Option<HostList>>,
    connections: RefCell<BTreeMap<SocketAddr, PeerConnection>>,
    rounds: Cell<u32>,
}

impl Peers {
    /// Applies the platform's list of hosts to the member table, now or, if there is no table yet,
    /// when it is created.
    pub fn apply_host_list(&self, list: &HostList) {
        if let Some(table) = self.table.borrow_mut().as_mut() {
            table.apply_host_list(self.kernel.clock().now(), list);
        }
        self.last_host_list.replace(Some(list.clone()));
        // The entry process needs the number of hosts, which is part of the list.
        self.update_members();
    }

    /// Applies a peer's message and returns the answer, or `None` if the entry process has never
    /// reported its status to this process.
    fn apply_gossip(&self, gossip: &Gossip) -> Option<Gossip> {
        let now = self.kernel.clock().now();
        let outcome = self.table.borrow_mut().as_mut()?.apply_gossip(now, gossip);
        self.emit_events(outcome.events);
        self.update_members();
        Some(outcome.answer)
    }

    /// Starts a gossip round with the entry process's `status` and returns the messages to send.
    /// Creates the member table in the first round, and restarts it if the entry process has a new
    /// incarnation or peer address.
    fn start_round(&self, status: &EntryStatus) -> Vec<OutgoingGossip> {
        let now = self.kernel.clock().now();
        let mut slot = self.table.borrow_mut();
        let mut events = Vec::new();
        let table = match slot.take() {
            None => slot.insert(self.new_table(now, status)),
            Some(mut table) => {
                if !is_heartbeat_of(&table, status) {
                    events = table.restart(now, self.first_heartbeat(status));
                }
                slot.insert(table)
            }
        };
        let revision = status.config_revision.unwrap_or_default();
        table.set_own_status(status.load, revision, status.is_draining);
        events.extend(table.tick(now));
        let outgoing = table.start_round(now);
        drop(slot);
        self.emit_events(events);
        self.update_members();
        outgoing
    }

    /// Creates the member table from the entry process's first status, and applies the list of
    /// hosts if it arrived earlier.
    fn new_table(&self, now: Now, status: &EntryStatus) -> MemberTable {
        let heartbeat = self.first_heartbeat(status);
        let seeds = self.options.seeds.clone();
        let mut table = MemberTable::new(
            heartbeat,
            self.options.members.clone(),
            seeds,
            rand::random(),
        );
        if let Some(list) = self.last_host_list.borrow().as_ref() {
            table.apply_host_list(now, list);
        }
        table
    }

    /// Creates the first heartbeat of the entry process with this status.
    fn first_heartbeat(&self, status: &EntryStatus) -> Heartbeat {
        Heartbeat {
            host: self.options.host.clone(),
            zone: self.options.zone.clone(),
            incarnation: status.incarnation,
            started_at_ms: status.started_at_ms,
            control_address: self.address,
            peer_address: status.peer_address,
            // The count continues from the wall clock, so that peers do not take the heartbeats of a control
            // process that restarts beside a running entry process for old ones of the same incarnation.
            counter: self.kernel.clock().now().wall.0,
            load: status.load,
            config_revision: status.config_revision.unwrap_or_default(),
            is_draining: status.is_draining,
        }
    }

    /// Stores the current members and the numbers of hosts in the shared state, from which the
    /// entry process receives them.
    fn update_members(&self) {
        let slot = self.table.borrow();
        let Some(table) = slot.as_ref() else {
            return;
        };
        let saturating_u32 = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
        let (zone_hosts, live_hosts) = (
            saturating_u32(table.live_hosts_in_zone()),
            saturating_u32(table.known_hosts()),
        );
        self.shared_state
            .set_members(table.members(), table.gone(), zone_hosts, live_hosts);
    }

    fn emit_events(&self, events: Vec<MembershipEvent>) {
        for event in events {
            self.kernel.emit(event_of(&event));
        }
    }

    /// Returns the time until the next round. It is short while this host is new to its peers, so that a
    /// request that arrives at another host soon after the start is forwarded to this one.
    fn round_interval(&self) -> Duration {
        let heartbeat = Duration::from(self.options.heartbeat_ms);
        let is_new = self.rounds.get() < INTRODUCTORY_ROUNDS;
        if is_new {
            heartbeat.min(INTRODUCTORY_INTERVAL)
        } else {
            heartbeat
        }
    }

    /// Sends gossip to peers until the process ends.
    async fn gossip_periodically(self: Rc<Self>, link: Rc<EntryLink>) {
        loop {
            Timer::after(self.round_interval()).await;
            let Some(status) = link.status() else {
                continue;
            };
            self.rounds.set(self.rounds.get() + 1);
            for outgoing in self.start_round(&status) {
                self.kernel.spawn(self.clone().send(outgoing)).detach();
            }
        }
    }
}

fn is_heartbeat_of(table: &MemberTable, status: &EntryStatus) -> bool {
    table.own_heartbeat().incarnation == status.incarnation
        && table.own_heartbeat().peer_address == status.peer_address
}

fn event_of(event: &MembershipEvent) -> Event {
    let (kind, party, detail) = match event {
        MembershipEvent::Joined(peer) => (EventKind::PeerJoined, Some(peer), ""),
        MembershipEvent::Suspected(peer) => (EventKind::PeerSuspected, Some(peer), ""),
        MembershipEvent::Refuted(peer) => (
            EventKind::PeerJoined,
            Some(peer),
            "heartbeats received again",
        ),
        MembershipEvent::Gone(peer) => (EventKind::PeerGone, Some(peer), ""),
        MembershipEvent::Paused(_) => (EventKind::PauseDetected, None, ""),
        MembershipEvent::DeclaredGone => {
            (EventKind::PeerGone, None, "a peer declared this host gone")
        }
    };
    let described = match event {
        MembershipEvent::Paused(span) => {
            Event::new(kind).detail(smol_str::format_smolstr!("{span}"))
        }
        _ => Event::new(kind).detail(detail),
    };
    match party {
        Some(peer) => described.party(smol_str::format_smolstr!("{peer}")),
        None => described,
    }
}

/// The service that exchanges gossip with peers.
pub struct PeerService {
    options: PeerOptions,
}

impl PeerService {
    /// Creates the service; the address for peers is opened when it starts.
    pub fn new(options: PeerOptions) -> Self {
        PeerService { options }
    }

    async fn open(&self, kernel: &Kernel) -> Result<()> {
        let (listener, address) = listen(
            kernel,
            PEERS,
            "peer",
            self.options.address,
            ListenOptions::for_peers(),
        )
        .await?;
        let peers = Rc::new(Peers {
            kernel: kernel.clone(),
            options: self.options.clone(),
            address: self.options.advertised_address.unwrap_or(address),
            shared_state: kernel.find(SHARED_STATE)?,
            table: RefCell::default(),
            last_host_list: RefCell::default(),
            connections: RefCell::default(),
            rounds: Cell::new(0),
        });
        let client: peer_port::Client = capnp_rpc::new_client(port::Port::new(peers.clone()));
        serve_rpc(kernel, listener, client.client, rpc::CONNECTIONS_MAX);
        kernel
            .spawn(peers.clone().gossip_periodically(kernel.find(ENTRY_LINK)?))
            .detach();
        let descriptor = Descriptor {
            name: PEERS,
            summary: "gossip exchanged with peers",
        };
        kernel.register(descriptor, peers)
    }
}

impl Service for PeerService {
    fn name(&self) -> ServiceName {
        PEERS
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[SHARED_STATE, ENTRY_LINK]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(self.open(kernel))
    }
}
