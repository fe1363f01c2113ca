//! Gossip between the control processes of entry hosts: selects receivers, builds messages and
//! applies received messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use onyxshed_core::{Incarnation, Now, ZoneName};
use onyxshed_wire::platform::HostState;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Heartbeat, MemberState, MemberTable, MembershipEvent, Peer};

/// A message between control processes: a request, or the answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Heartbeat of the sender; unlike those in `others`, it comes from the host that it describes.
    pub from: Heartbeat,
    /// Heartbeats of other hosts that the sender knows, the least forwarded ones first.
    pub others: Vec<Heartbeat>,
    /// The receiver's incarnation, if the sender considers it permanently gone.
    pub gone: Option<Incarnation>,
}

/// A message to a control process, with the address of that process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingGossip {
    /// Address of the receiver's control process.
    pub to: SocketAddr,
    /// The message to send, with the heartbeats of this host and of other hosts.
    pub gossip: Gossip,
}

/// Membership changes and answer that result from a received message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipOutcome {
    /// Membership changes since the last call that returned events.
    pub events: Vec<MembershipEvent>,
    /// The answer to send if the message was a request.
    pub answer: Gossip,
}

impl MemberTable {
    /// Increments the counter of this host's heartbeat and returns the messages of a round.
    ///
    /// Receivers are `zone_fanout` peers in this zone in each round, and a peer in another zone
    /// every `other_zone_every` rounds. A configured address is added every `seed_every` rounds,
    /// and when there is no other receiver, so that a partition heals without intervention.
    pub fn start_round(&mut self, now: Now) -> Vec<OutgoingGossip> {
        self.detect_pause(now);
        self.own.counter += 1;
        self.round += 1;
        let fanout = self.options.zone_fanout as u64;
        let mut targets = self.pick(self.contacts(true), self.round * fanout, fanout);
        let other_zone_every = self.options.other_zone_every.max(1);
        if self.round.is_multiple_of(other_zone_every) {
            targets.extend(self.pick(self.contacts(false), self.round / other_zone_every, 1));
        }
        let has_no_targets = targets.is_empty();
        if has_no_targets || self.round.is_multiple_of(self.options.seed_every.max(1)) {
            targets.extend(self.pick(self.unreached_seeds(), self.round, 1));
        }
        let to_message = |to| OutgoingGossip {
            to,
            gossip: self.build_gossip(to, &[]),
        };
        targets.into_iter().map(to_message).collect()
    }

    /// Applies a request or an answer from another control process.
    pub fn apply_gossip(&mut self, now: Now, gossip: &Gossip) -> GossipOutcome {
        self.detect_pause(now);
        let sender = gossip.from.incarnation;
        self.apply_heartbeat(now, &gossip.from, true);
        for heartbeat in &gossip.others {
            self.apply_heartbeat(now, heartbeat, false);
        }
        if gossip.gone == Some(self.own.incarnation) {
            self.events.push(MembershipEvent::DeclaredGone);
        }
        let mut answer = self.build_gossip(gossip.from.control_address, &gossip.others);
        answer.gone = self.is_gone(sender).then_some(sender);
        GossipOutcome {
            events: std::mem::take(&mut self.events),
            answer,
        }
    }

    /// Applies a heartbeat. `is_direct` is true if the host that the heartbeat describes has sent
    /// the message itself.
    fn apply_heartbeat(&mut self, now: Now, heartbeat: &Heartbeat, is_direct: bool) {
        let incarnation = heartbeat.incarnation;
        if incarnation == self.own.incarnation || self.is_gone(incarnation) {
            return;
        }
        if heartbeat.host == self.own.host {
            return self.apply_own_host_heartbeat(now, heartbeat, is_direct);
        }
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            if heartbeat.counter > peer.heartbeat.counter {
                peer.heartbeat = heartbeat.clone();
                peer.advanced_at = now.mono;
                peer.times_sent = 0;
                if peer.state == MemberState::Suspect {
                    peer.state = MemberState::Live;
                    self.events.push(MembershipEvent::Refuted(incarnation));
                }
            }
            return;
        }
        self.admit(now, heartbeat, is_direct);
    }

    /// Applies a heartbeat of another incarnation of this host.
    ///
    /// It is either a former incarnation that peers still remember, or a newer incarnation that
    /// runs beside this process and replaces it.
    fn apply_own_host_heartbeat(&mut self, now: Now, heartbeat: &Heartbeat, is_direct: bool) {
        if heartbeat.started_at_ms < self.own.started_at_ms {
            self.gone.insert(heartbeat.incarnation, now.mono);
            self.events
                .push(MembershipEvent::Gone(heartbeat.incarnation));
        } else if is_direct {
            self.events.push(MembershipEvent::DeclaredGone);
        }
    }

    /// Admits a new incarnation, and removes an older incarnation of the same host. Does nothing if
    /// the table is full.
    ///
    /// If the wall clock of the host stepped back across its restart, the new incarnation looks
    /// older. It is then admitted once the former incarnation is suspected and the new incarnation
    /// has sent a message itself.
    fn admit(&mut self, now: Now, heartbeat: &Heartbeat, is_direct: bool) {
        let is_same_host = |peer: &&Peer| peer.heartbeat.host == heartbeat.host;
        if let Some(former) = self.peers.values().find(is_same_host) {
            let is_newer = heartbeat.started_at_ms > former.heartbeat.started_at_ms;
            let is_replaceable = is_direct && former.state == MemberState::Suspect;
            if !is_newer && !is_replaceable {
                return;
            }
            self.remove_gone(now, former.heartbeat.incarnation);
        }
        if self.peers.len() >= self.options.members_max {
            return;
        }
        let peer = Peer {
            heartbeat: heartbeat.clone(),
            advanced_at: now.mono,
            state: MemberState::Live,
            times_sent: 0,
        };
        self.peers.insert(heartbeat.incarnation, peer);
        self.events
            .push(MembershipEvent::Joined(heartbeat.incarnation));
    }

    /// Builds the message for `to`: the heartbeats of live peers that were forwarded least since
    /// they changed.
    ///
    /// Equally often forwarded heartbeats are included in random order, so that no peer is left out
    /// because of its position. Heartbeats in `known`, which `to` has just sent itself, are left
    /// out unless a newer one is known.
    fn build_gossip(&mut self, to: SocketAddr, known: &[Heartbeat]) -> Gossip {
        let max = self.options.digest_max;
        let known: BTreeMap<_, _> = known.iter().map(|b| (b.incarnation, b.counter)).collect();
        let is_news = |heartbeat: &Heartbeat| {
            let previous = known.get(&heartbeat.incarnation);
            heartbeat.control_address != to
                && previous.is_none_or(|counter| heartbeat.counter > *counter)
        };
        let is_included =
            |peer: &&mut Peer| peer.state == MemberState::Live && is_news(&peer.heartbeat);
        let mut peers: Vec<&mut Peer> = self.peers.values_mut().filter(is_included).collect();
        let shuffle = self.seed ^ self.round.rotate_left(16);
        let tie_break =
            |peer: &Peer| xxh3_64_with_seed(&peer.heartbeat.incarnation.0.to_le_bytes(), shuffle);
        peers.sort_by_cached_key(|peer| (peer.times_sent, tie_break(peer)));
        let forward = |peer: &mut &mut Peer| {
            peer.times_sent += 1;
            peer.heartbeat.clone()
        };
        Gossip {
            from: self.own.clone(),
            others: peers.iter_mut().take(max).map(forward).collect(),
            gone: None,
        }
    }

    /// Returns the addresses of known peers and of listed hosts without a heartbeat, either those
    /// in this host's zone or those in all other zones.
    fn contacts(&self, is_own_zone: bool) -> Vec<SocketAddr> {
        let is_wanted = |zone: &ZoneName| (*zone == self.own.zone) == is_own_zone;
        let from_peers = self.peers.values().map(|peer| &peer.heartbeat);
        let from_peers = from_peers.filter(|heartbeat| is_wanted(&heartbeat.zone));
        let from_list = self.listed_without_heartbeat();
        let from_list =
            from_list.filter(|host| host.state == HostState::Live && is_wanted(&host.zone));
        let addresses = from_peers.map(|heartbeat| heartbeat.control_address);
        addresses
            .chain(from_list.map(|host| host.peer_address))
            .collect()
    }

    /// Returns the configured addresses, other than this host's own, at which no live peer is
    /// known.
    fn unreached_seeds(&self) -> Vec<SocketAddr> {
        let is_reached = |seed: &SocketAddr| {
            let mut live = self.peers.values().filter(|p| p.state == MemberState::Live);
            *seed == self.own.control_address || live.any(|p| p.heartbeat.control_address == *seed)
        };
        let seeds = self.seeds.iter().copied();
        seeds.filter(|seed| !is_reached(seed)).collect()
    }

    /// Returns `count` addresses, starting at position `turn`; fewer if `addresses` is shorter.
    /// Every address is returned once before any is repeated, in an order that is shuffled again
    /// for each pass.
    fn pick(&self, mut addresses: Vec<SocketAddr>, turn: u64, count: u64) -> Vec<SocketAddr> {
        addresses.sort_unstable();
        addresses.dedup();
        let length = addresses.len() as u64;
        let shuffled = |pass: u64| {
            let key = |address: &SocketAddr| {
                let seed = self.seed ^ pass.rotate_left(32);
                xxh3_64_with_seed(address.to_string().as_bytes(), seed)
            };
            let mut pass = addresses.clone();
            pass.sort_by_cached_key(key);
            pass
        };
        let at_turn = |turn: u64| {
            let index = usize::try_from(turn % length).unwrap_or_default();
            shuffled(turn / length)[index]
        };
        (turn..turn + count.min(length)).map(at_turn).collect()
    }
}
