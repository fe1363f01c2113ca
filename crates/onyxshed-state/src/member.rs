//! Which peers are live.
//!
//! Every entry host counts its own heartbeats and passes on those it has heard of, to a few peers a
//! round. A peer is judged by how long its count has stood still here, on the monotonic clock, and
//! by the platform's list of hosts. Neither alone is believed: a peer that is heard is live
//! whatever the list says, and one that is not heard is only suspected while the list names it.
//! Each host judges for itself, so hosts in different zones may judge differently.

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

/// How a peer is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Heard of late.
    Live,
    /// Not heard for a while.
    Suspect,
    /// Held to be gone for good: this incarnation does not come back.
    Gone,
}

/// One incarnation of one entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub host: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its current life.
    pub incarnation: Incarnation,
    /// Where its entry process takes requests passed on by peers.
    pub peer_address: SocketAddr,
    /// How it is judged.
    pub state: MemberState,
}

/// How busy an entry host is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Tasks that run on upstreams.
    pub running_tasks: u32,
    /// Tasks that wait.
    pub queued_tasks: u32,
}

/// What an entry host tells about itself; peers pass it on unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The host.
    pub host: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its current life.
    pub incarnation: Incarnation,
    /// When this life began, on its own wall clock.
    pub started_at_ms: UnixMs,
    /// Where its control process takes gossip.
    pub control_address: SocketAddr,
    /// Where its entry process takes requests passed on by peers.
    pub peer_address: SocketAddr,
    /// Counts its heartbeats.
    pub counter: u64,
    /// How busy it is.
    pub load: LoadDigest,
    /// The configuration revision in force there.
    pub config_revision: Revision,
    /// Whether it takes no new work.
    pub is_draining: bool,
}

/// Something that changed, for the log and the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// An incarnation became known.
    Joined(Incarnation),
    /// An incarnation has not been heard for a while.
    Suspected(Incarnation),
    /// A suspected incarnation was heard again.
    Refuted(Incarnation),
    /// An incarnation is held to be gone.
    Gone(Incarnation),
    /// This process was frozen or starved for that long.
    Paused(Millis),
    /// A peer holds this incarnation to be gone: take no more work, and start anew.
    DeclaredGone,
}

#[derive(Debug, Clone)]
struct Peer {
    beat: Heartbeat,
    heard_at: Mono,
    state: MemberState,
    /// Times passed on since it last changed.
    sent: u32,
}

#[derive(Debug, Clone)]
struct Listed {
    hosts: BTreeMap<HostName, EntryHost>,
    /// The time that the list tells about.
    as_of: Mono,
}

/// One entry host's view of all others.
#[derive(Debug, Clone)]
pub struct MemberTable {
    me: Heartbeat,
    options: MemberOptions,
    seed: u64,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<Incarnation, Peer>,
    /// Incarnations held to be gone, and since when.
    gone: BTreeMap<Incarnation, Mono>,
    listed: Option<Listed>,
    round: u64,
    last: Option<Now>,
    notes: Vec<MembershipEvent>,
}

impl MemberTable {
    /// Makes a table that knows no peer but the addresses in `seeds`, from the settings.
    ///
    /// `seed` differs from host to host and decides whom to tell in which round.
    pub fn new(me: Heartbeat, options: MemberOptions, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        MemberTable {
            me,
            options,
            seed,
            seeds,
            peers: BTreeMap::new(),
            gone: BTreeMap::new(),
            listed: None,
            round: 0,
            last: None,
            notes: Vec::new(),
        }
    }

    /// Gets what this host tells about itself.
    pub fn own_heartbeat(&self) -> &Heartbeat {
        &self.me
    }

    /// Sets what the next heartbeat tells.
    pub fn set_own_status(
        &mut self,
        load: LoadDigest,
        config_revision: Revision,
        is_draining: bool,
    ) {
        self.me.load = load;
        self.me.config_revision = config_revision;
        self.me.is_draining = is_draining;
    }

    /// Gets every peer that is not gone, in order of incarnation.
    pub fn members(&self) -> Vec<Member> {
        self.peers.values().map(Peer::member).collect()
    }

    /// Gets the last heartbeat of a peer that is not gone.
    pub fn heartbeat(&self, incarnation: Incarnation) -> Option<&Heartbeat> {
        self.peers.get(&incarnation).map(|peer| &peer.beat)
    }

    /// Gets how an incarnation is judged, none if it was never heard of.
    pub fn state(&self, incarnation: Incarnation) -> Option<MemberState> {
        if incarnation == self.me.incarnation {
            return Some(MemberState::Live);
        }
        if self.is_gone(incarnation) {
            return Some(MemberState::Gone);
        }
        self.peers.get(&incarnation).map(|peer| peer.state)
    }

    /// Tells whether an incarnation is held to be gone for good.
    pub fn is_gone(&self, incarnation: Incarnation) -> bool {
        self.gone.contains_key(&incarnation)
    }

    /// Gets every incarnation that is held to be gone for good.
    pub fn gone(&self) -> Vec<Incarnation> {
        self.gone.keys().copied().collect()
    }

    /// Gets where an incarnation takes requests that peers pass on.
    pub fn peer_address(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        self.heartbeat(incarnation).map(|beat| beat.peer_address)
    }

    /// Gets the number of hosts of this zone that take work, this one included, for sharing slots.
    pub fn live_hosts_in_zone(&self) -> usize {
        let shares = |peer: &&Peer| {
            let is_live = peer.state == MemberState::Live;
            is_live && peer.beat.zone == self.me.zone && !peer.beat.is_draining
        };
        1 + self.peers.values().filter(shares).count()
    }

    /// Gets the number of hosts that may append to the log, this one included, for pacing. Suspects
    /// count: they may be live in their own eyes.
    pub fn known_hosts(&self) -> usize {
        let heard = self.peers.len();
        let unheard = self.listed_unheard().count();
        1 + heard + unheard
    }

    /// Takes in the platform's list of hosts.
    pub fn apply_host_list(&mut self, now: Now, list: &HostList) {
        let as_of = Mono(
            now.mono
                .0
                .saturating_sub(list.age_ms.0.saturating_mul(1_000)),
        );
        let hosts = list.entries.iter();
        self.listed = Some(Listed {
            hosts: hosts.map(|h| (h.name.clone(), h.clone())).collect(),
            as_of,
        });
    }

    /// Gets the hosts that the platform lists and that nobody has told of.
    fn listed_unheard(&self) -> impl Iterator<Item = &EntryHost> {
        let is_unheard = |host: &&EntryHost| {
            host.name != self.me.host && !self.peers.values().any(|p| p.beat.host == host.name)
        };
        let hosts = self.listed.iter().flat_map(|listed| listed.hosts.values());
        hosts.filter(is_unheard)
    }
}

impl Peer {
    fn member(&self) -> Member {
        Member {
            host: self.beat.host.clone(),
            zone: self.beat.zone.clone(),
            incarnation: self.beat.incarnation,
            peer_address: self.beat.peer_address,
            state: self.state,
        }
    }
}
