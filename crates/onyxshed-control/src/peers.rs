//! Exchanges gossip about the members with the control processes of other hosts.
//!
//! Each heartbeat stands for the entry process: this process sends heartbeats only while its entry
//! process answers, so that peers suspect a stopped or frozen entry process within a second.

mod calls;
mod port;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_core::{Event, EventKind, HostName, Millis, Now, ZoneName};
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_process::{listen, serve_rpc};
use onyxshed_proto::onyxshed_capnp::peer_port;
use onyxshed_proto::{EntryStatus, rpc};
use onyxshed_state::member::{Gossip, OutgoingGossip};
use onyxshed_state::{Heartbeat, MemberOptions, MemberTable, MembershipEvent};
use onyxshed_wire::platform::HostList;

use crate::entry_link::EntryLink;
use crate::knowledge::Knowledge;
use crate::names::{ENTRY_LINK, KNOWLEDGE, PEERS};

/// Number of rounds at the short interval with which a new host introduces itself to its peers.
const INTRODUCTORY_ROUNDS: u32 = 20;

/// Interval between these rounds.
const INTRODUCTORY_PAUSE: Duration = Duration::from_millis(100);

/// Identity of this host among its peers, and the parameters of the gossip.
#[derive(Debug, Clone)]
pub struct PeerOptions {
    /// Name of this host.
    pub host: HostName,
    /// Zone of this host.
    pub zone: ZoneName,
    /// Address on which peers are served.
    pub address: SocketAddr,
    /// Address sent to peers in place of the address listened on, if any.
    pub advertised_address: Option<SocketAddr>,
    /// Addresses of some peers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Interval between two rounds.
    pub heartbeat_ms: Millis,
    /// Timeouts and limits of the membership.
    pub members: MemberOptions,
}

/// Handle to the membership and the connections to peers.
pub struct Peers {
    kernel: Kernel,
    options: PeerOptions,
    address: SocketAddr,
    knowledge: Rc<Knowledge>,
    table: RefCell<Option<MemberTable>>,
    last_list: RefCell<Option<HostList>>,
    clients: RefCell<BTreeMap<SocketAddr, peer_port::Client>>,
    rounds: Cell<u32>,
}

impl Peers {
    /// Applies the platform's list of hosts.
    pub fn listed(&self, list: &HostList) {
        if let Some(table) = self.table.borrow_mut().as_mut() {
            table.apply_host_list(self.kernel.clock().now(), list);
        }
        self.last_list.replace(Some(list.clone()));
        // The entry process needs the number of hosts, which comes with the list.
        self.share();
    }

    /// Applies a peer's message and returns the answer, or `None` while this host has no entry process.
    fn hear(&self, gossip: &Gossip) -> Option<Gossip> {
        let now = self.kernel.clock().now();
        let heard = self.table.borrow_mut().as_mut()?.apply_gossip(now, gossip);
        self.tell(heard.events);
        self.share();
        Some(heard.answer)
    }

    /// Starts a round on behalf of the entry process with this status; returns the messages to send.
    fn round(&self, status: &EntryStatus) -> Vec<OutgoingGossip> {
        let now = self.kernel.clock().now();
        let mut held = self.table.borrow_mut();
        let mut notes = Vec::new();
        let table = match held.take() {
            None => held.insert(self.new_table(now, status)),
            Some(mut table) => {
                if !is_of(&table, status) {
                    notes = table.restart(now, self.first_heartbeat(status));
                }
                held.insert(table)
            }
        };
        let revision = status.config_revision.unwrap_or_default();
        table.set_own_status(status.load, revision, status.is_draining);
        notes.extend(table.tick(now));
        let outgoing = table.start_round(now);
        drop(held);
        self.tell(notes);
        self.share();
        outgoing
    }

    /// Creates the table. The list of hosts may have arrived before the entry process's first status.
    fn new_table(&self, now: Now, status: &EntryStatus) -> MemberTable {
        let me = self.first_heartbeat(status);
        let seeds = self.options.seeds.clone();
        let mut table = MemberTable::new(me, self.options.members.clone(), seeds, rand::random());
        if let Some(list) = self.last_list.borrow().as_ref() {
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

    /// Passes the current members on to the entry process.
    fn share(&self) {
        let held = self.table.borrow();
        let Some(table) = held.as_ref() else {
            return;
        };
        let count = |found: usize| u32::try_from(found).unwrap_or(u32::MAX);
        let (sharers, live) = (
            count(table.live_hosts_in_zone()),
            count(table.known_hosts()),
        );
        self.knowledge
            .set_members(table.members(), table.gone(), sharers, live);
    }

    fn tell(&self, notes: Vec<MembershipEvent>) {
        for note in notes {
            self.kernel.emit(event_of(&note));
        }
    }

    /// Returns the time until the next round. It is short while this host is new to its peers, so that a
    /// request that arrives at another host soon after the start is forwarded to this one.
    fn pause(&self) -> Duration {
        let heartbeat = Duration::from(self.options.heartbeat_ms);
        let is_new = self.rounds.get() < INTRODUCTORY_ROUNDS;
        if is_new {
            heartbeat.min(INTRODUCTORY_PAUSE)
        } else {
            heartbeat
        }
    }

    /// Sends gossip to peers until the process ends.
    async fn keep_telling(self: Rc<Self>, link: Rc<EntryLink>) {
        loop {
            Timer::after(self.pause()).await;
            let Some(status) = link.status() else {
                continue;
            };
            self.rounds.set(self.rounds.get() + 1);
            for outgoing in self.round(&status) {
                self.kernel.spawn(self.clone().send(outgoing)).detach();
            }
        }
    }
}

fn is_of(table: &MemberTable, status: &EntryStatus) -> bool {
    table.own_heartbeat().incarnation == status.incarnation
        && table.own_heartbeat().peer_address == status.peer_address
}

fn event_of(note: &MembershipEvent) -> Event {
    let (kind, party, detail) = match note {
        MembershipEvent::Joined(who) => (EventKind::PeerJoined, Some(who), ""),
        MembershipEvent::Suspected(who) => (EventKind::PeerSuspected, Some(who), ""),
        MembershipEvent::Refuted(who) => (EventKind::PeerJoined, Some(who), "heard again"),
        MembershipEvent::Gone(who) => (EventKind::PeerGone, Some(who), ""),
        MembershipEvent::Paused(_) => (EventKind::PauseDetected, None, ""),
        MembershipEvent::DeclaredGone => (
            EventKind::PeerGone,
            None,
            "a peer holds this host to be gone",
        ),
    };
    let event = match note {
        MembershipEvent::Paused(span) => {
            Event::new(kind).detail(smol_str::format_smolstr!("{span}"))
        }
        _ => Event::new(kind).detail(detail),
    };
    match party {
        Some(who) => event.party(smol_str::format_smolstr!("{who}")),
        None => event,
    }
}

/// The service that exchanges gossip with peers.
pub struct PeerService {
    options: PeerOptions,
}

impl PeerService {
    /// Creates the service.
    pub fn new(options: PeerOptions) -> Self {
        PeerService { options }
    }

    async fn open(&self, kernel: &Kernel) -> Result<()> {
        let (listener, address) = listen(kernel, PEERS, "peer", self.options.address).await?;
        let peers = Rc::new(Peers {
            kernel: kernel.clone(),
            options: self.options.clone(),
            address: self.options.advertised_address.unwrap_or(address),
            knowledge: kernel.find(KNOWLEDGE)?,
            table: RefCell::default(),
            last_list: RefCell::default(),
            clients: RefCell::default(),
            rounds: Cell::new(0),
        });
        let client: peer_port::Client = capnp_rpc::new_client(port::Port::new(peers.clone()));
        serve_rpc(kernel, listener, client.client, rpc::CONNECTIONS_MAX);
        kernel
            .spawn(peers.clone().keep_telling(kernel.find(ENTRY_LINK)?))
            .detach();
        let descriptor = Descriptor {
            name: PEERS,
            summary: "digests exchanged with peers",
        };
        kernel.register(descriptor, peers)
    }
}

impl Service for PeerService {
    fn name(&self) -> ServiceName {
        PEERS
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[KNOWLEDGE, ENTRY_LINK]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(self.open(kernel))
    }
}
