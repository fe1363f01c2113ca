//! Membership: tracks which peers are live.
//!
//! Every entry host counts its own heartbeats and forwards the heartbeats that it knows, to a few
//! peers per round. The state of a peer depends on how long its counter has not advanced on this
//! host, measured on the monotonic clock, and on the platform's list of hosts. Neither is
//! sufficient alone: a peer whose counter advances is live even if the list omits it, and a peer
//! whose counter does not advance is only suspected while the list contains it. Each host decides
//! for itself, so hosts in different zones may reach different results.

mod gossip;
mod liveness;
mod options;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use onyxshed_core::{HostName, Incarnation, Millis, Mono, Now, Revision, UnixMs, ZoneName};
use onyxshed_wire::platform::{EntryHost, HostList};
use serde::{Deserialize, Serialize};

pub use self::gossip::{Gossip, GossipOutcome, OutgoingGossip};
pub use self::options::MemberOptions;

/// State of a peer from this host's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The counter of the peer has advanced within [`MemberOptions::suspect_ms`], scaled to the
    /// number of peers.
    Live,
    /// The counter of the peer has not advanced within the scaled [`MemberOptions::suspect_ms`],
    /// and the peer is not gone.
    Suspect,
    /// The incarnation is considered permanently gone and will not be admitted again.
    Gone,
}

/// One incarnation of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the host, taken from its heartbeats.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// The incarnation: one start of the entry process.
    pub incarnation: Incarnation,
    /// Address on which the host's entry process accepts requests forwarded by peers.
    pub peer_address: SocketAddr,
    /// State of the incarnation, from this host's point of view.
    pub state: MemberState,
}

/// Numbers of running and queued tasks on an entry host, sent with each of its heartbeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Number of tasks that are running on upstreams.
    pub running_tasks: u32,
    /// Number of tasks that wait for an executor.
    pub queued_tasks: u32,
}

/// Status of an entry host as sent by the host itself; peers forward it unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the host, by which peers find it in the platform's list of hosts.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// The incarnation: one start of the entry process.
    pub incarnation: Incarnation,
    /// Start time of the incarnation on the host's own wall clock.
    pub started_at_ms: UnixMs,
    /// Address on which the host's control process accepts gossip.
    pub control_address: SocketAddr,
    /// Address on which the host's entry process accepts requests forwarded by peers.
    pub peer_address: SocketAddr,
    /// Number of the heartbeat; higher numbers are newer.
    pub counter: u64,
    /// Numbers of running and queued tasks on the host.
    pub load: LoadDigest,
    /// Configuration revision in force on the host.
    pub config_revision: Revision,
    /// Whether the host is draining and accepts no new work.
    pub is_draining: bool,
}

/// A membership change, reported for the event log and the timeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// An incarnation became known.
    Joined(Incarnation),
    /// An incarnation is suspected: its counter has not advanced within the scaled
    /// [`MemberOptions::suspect_ms`].
    Suspected(Incarnation),
    /// The counter of a suspected incarnation advanced.
    Refuted(Incarnation),
    /// An incarnation is considered permanently gone.
    Gone(Incarnation),
    /// This process did not run for this time, because it was frozen or starved.
    Paused(Millis),
    /// A peer considers this incarnation permanently gone: it must accept no more work and restart.
    DeclaredGone,
}

/// State of an incarnation of another host.
#[derive(Debug, Clone)]
struct Peer {
    heartbeat: Heartbeat,
    advanced_at: Mono,
    state: MemberState,
    /// Number of times that the heartbeat was forwarded since its counter last advanced.
    times_sent: u32,
}

/// The last list of hosts from the platform, as passed to [`MemberTable::apply_host_list`].
#[derive(Debug, Clone)]
struct ListedHosts {
    hosts: BTreeMap<HostName, EntryHost>,
    /// Time at which the list was current.
    as_of: Mono,
}

/// One entry host's view of all other entry hosts.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: Heartbeat,
    options: MemberOptions,
    seed: u64,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<Incarnation, Peer>,
    /// Incarnations considered permanently gone, with the time at which each was declared gone.
    gone: BTreeMap<Incarnation, Mono>,
    host_list: Option<ListedHosts>,
    round: u64,
    last_run: Option<Now>,
    events: Vec<MembershipEvent>,
}

impl MemberTable {
    /// Creates a table that knows no peers, only the configured addresses in `seeds`.
    ///
    /// `seed` must differ from host to host; it determines which peers get a message in which
    /// round.
    pub fn new(own: Heartbeat, options: MemberOptions, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        MemberTable {
            own,
            options,
            seed,
            seeds,
            peers: BTreeMap::new(),
            gone: BTreeMap::new(),
            host_list: None,
            round: 0,
            last_run: None,
            events: Vec::new(),
        }
    }

    /// Returns this host's own heartbeat.
    pub fn own_heartbeat(&self) -> &Heartbeat {
        &self.own
    }

    /// Sets the status that the next heartbeat reports.
    pub fn set_own_status(
        &mut self,
        load: LoadDigest,
        config_revision: Revision,
        is_draining: bool,
    ) {
        self.own.load = load;
        self.own.config_revision = config_revision;
        self.own.is_draining = is_draining;
    }

    /// Returns every peer that is not gone, in order of incarnation.
    pub fn members(&self) -> Vec<Member> {
        self.peers.values().map(Peer::member).collect()
    }

    /// Returns the last heartbeat of a peer; `None` if the peer is unknown or gone.
    pub fn heartbeat(&self, incarnation: Incarnation) -> Option<&Heartbeat> {
        self.peers.get(&incarnation).map(|peer| &peer.heartbeat)
    }

    /// Returns the state of an incarnation; `None` if it is unknown. This host's own incarnation is
    /// always live.
    pub fn state(&self, incarnation: Incarnation) -> Option<MemberState> {
        if incarnation == self.own.incarnation {
            return Some(MemberState::Live);
        }
        if self.is_gone(incarnation) {
            return Some(MemberState::Gone);
        }
        self.peers.get(&incarnation).map(|peer| peer.state)
    }

    /// Returns whether an incarnation is considered permanently gone.
    pub fn is_gone(&self, incarnation: Incarnation) -> bool {
        self.gone.contains_key(&incarnation)
    }

    /// Returns every incarnation that is considered permanently gone.
    pub fn gone(&self) -> Vec<Incarnation> {
        self.gone.keys().copied().collect()
    }

    /// Returns the address on which an incarnation accepts requests forwarded by peers, `None` if
    /// it is unknown or gone.
    pub fn peer_address(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        self.heartbeat(incarnation)
            .map(|heartbeat| heartbeat.peer_address)
    }

    /// Returns the number of live hosts in this zone that accept work, this host included. The
    /// slots for tasks are divided among them.
    pub fn live_hosts_in_zone(&self) -> usize {
        let is_sharing = |peer: &&Peer| {
            let is_live = peer.state == MemberState::Live;
            is_live && peer.heartbeat.zone == self.own.zone && !peer.heartbeat.is_draining
        };
        1 + self.peers.values().filter(is_sharing).count()
    }

    /// Returns the number of hosts that may append to the log, this host included. The append
    /// budget is divided among them. Suspected hosts count, because they may consider themselves
    /// live.
    pub fn known_hosts(&self) -> usize {
        let known = self.peers.len();
        let listed_only = self.listed_without_heartbeat().count();
        1 + known + listed_only
    }

    /// Replaces the platform's list of hosts by `list`, which was current `list.age_ms` before
    /// `now`.
    pub fn apply_host_list(&mut self, now: Now, list: &HostList) {
        let as_of = Mono(
            now.mono
                .0
                .saturating_sub(list.age_ms.0.saturating_mul(1_000)),
        );
        let hosts = list.entries.iter();
        self.host_list = Some(ListedHosts {
            hosts: hosts.map(|h| (h.name.clone(), h.clone())).collect(),
            as_of,
        });
    }

    /// Returns the hosts on the platform's list of which no incarnation is a known peer.
    fn listed_without_heartbeat(&self) -> impl Iterator<Item = &EntryHost> {
        let has_no_heartbeat = |host: &&EntryHost| {
            host.name != self.own.host
                && !self.peers.values().any(|p| p.heartbeat.host == host.name)
        };
        let hosts = self
            .host_list
            .iter()
            .flat_map(|host_list| host_list.hosts.values());
        hosts.filter(has_no_heartbeat)
    }
}

impl Peer {
    fn member(&self) -> Member {
        Member {
            host: self.heartbeat.host.clone(),
            zone: self.heartbeat.zone.clone(),
            incarnation: self.heartbeat.incarnation,
            peer_address: self.heartbeat.peer_address,
            state: self.state,
        }
    }
}
