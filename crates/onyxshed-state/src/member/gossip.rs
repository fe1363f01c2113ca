//! Whom to tell what, and what to make of what is told.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use onyxshed_core::{Incarnation, Now, ZoneName};
use onyxshed_wire::platform::HostState;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Heartbeat, MemberState, MemberTable, MembershipEvent, Peer};

/// A message between control processes; the answer has the same shape.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: Heartbeat,
    /// Heartbeats that the sender has heard of, those passed on least first.
    pub others: Vec<Heartbeat>,
    /// Set if the sender holds the receiver's incarnation to be gone.
    pub gone: Option<Incarnation>,
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingGossip {
    /// The receiver's control address.
    pub to: SocketAddr,
    /// What to tell.
    pub gossip: Gossip,
}

/// What a message brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipOutcome {
    /// What changed.
    pub events: Vec<MembershipEvent>,
    /// The answer, if the message was a request.
    pub answer: Gossip,
}

impl MemberTable {
    /// Counts a heartbeat and picks whom to tell it: peers of the own zone and of others in turn,
    /// and now and then an address from the settings, so that a split heals by itself.
    pub fn start_round(&mut self, now: Now) -> Vec<OutgoingGossip> {
        self.notice_pause(now);
        self.me.counter += 1;
        self.round += 1;
        let fanout = self.options.zone_fanout as u64;
        let mut targets = self.pick(self.contacts(true), self.round * fanout, fanout);
        let foreign_every = self.options.foreign_every.max(1);
        if self.round.is_multiple_of(foreign_every) {
            targets.extend(self.pick(self.contacts(false), self.round / foreign_every, 1));
        }
        let is_alone = targets.is_empty();
        if is_alone || self.round.is_multiple_of(self.options.seed_every.max(1)) {
            targets.extend(self.pick(self.unmet_seeds(), self.round, 1));
        }
        let tell = |to| OutgoingGossip {
            to,
            gossip: self.digest(to, &[]),
        };
        targets.into_iter().map(tell).collect()
    }

    /// Takes in a message, or the answer to one.
    pub fn apply_gossip(&mut self, now: Now, gossip: &Gossip) -> GossipOutcome {
        self.notice_pause(now);
        let sender = gossip.from.incarnation;
        self.hear_beat(now, &gossip.from, true);
        for beat in &gossip.others {
            self.hear_beat(now, beat, false);
        }
        if gossip.gone == Some(self.me.incarnation) {
            self.notes.push(MembershipEvent::DeclaredGone);
        }
        let mut answer = self.digest(gossip.from.control_address, &gossip.others);
        answer.gone = self.is_gone(sender).then_some(sender);
        GossipOutcome {
            events: std::mem::take(&mut self.notes),
            answer,
        }
    }

    fn hear_beat(&mut self, now: Now, beat: &Heartbeat, is_direct: bool) {
        let incarnation = beat.incarnation;
        if incarnation == self.me.incarnation || self.is_gone(incarnation) {
            return;
        }
        if beat.host == self.me.host {
            return self.hear_other_life(now, beat, is_direct);
        }
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            if beat.counter > peer.beat.counter {
                peer.beat = beat.clone();
                peer.heard_at = now.mono;
                peer.sent = 0;
                if peer.state == MemberState::Suspect {
                    peer.state = MemberState::Live;
                    self.notes.push(MembershipEvent::Refuted(incarnation));
                }
            }
            return;
        }
        self.admit(now, beat, is_direct);
    }

    /// Hears of another life of this host: a former one, which peers have not forgotten yet, or a
    /// newer one that runs beside this process and takes its place.
    fn hear_other_life(&mut self, now: Now, beat: &Heartbeat, is_direct: bool) {
        if beat.started_at_ms < self.me.started_at_ms {
            self.gone.insert(beat.incarnation, now.mono);
            self.notes.push(MembershipEvent::Gone(beat.incarnation));
        } else if is_direct {
            self.notes.push(MembershipEvent::DeclaredGone);
        }
    }

    /// Admits an incarnation heard for the first time, in place of an older one of its host.
    ///
    /// The wall clock of a host may have stepped back over its restart. Then its new life looks
    /// older, and is admitted once the former one has fallen silent.
    fn admit(&mut self, now: Now, beat: &Heartbeat, is_direct: bool) {
        let same_host = |peer: &&Peer| peer.beat.host == beat.host;
        if let Some(former) = self.peers.values().find(same_host) {
            let is_newer = beat.started_at_ms > former.beat.started_at_ms;
            let is_silent = is_direct && former.state == MemberState::Suspect;
            if !is_newer && !is_silent {
                return;
            }
            self.bury(now, former.beat.incarnation);
        }
        if self.peers.len() >= self.options.members_max {
            return;
        }
        let peer = Peer {
            beat: beat.clone(),
            heard_at: now.mono,
            state: MemberState::Live,
            sent: 0,
        };
        self.peers.insert(beat.incarnation, peer);
        self.notes.push(MembershipEvent::Joined(beat.incarnation));
    }

    /// Makes the message for `to`: the live peers' heartbeats passed on least since they changed,
    /// drawn by lot among those alike, lest the last ones in order never have their turn. What `to`
    /// has just told itself is left out.
    fn digest(&mut self, to: SocketAddr, told: &[Heartbeat]) -> Gossip {
        let max = self.options.digest_max;
        let told: BTreeMap<_, _> = told.iter().map(|b| (b.incarnation, b.counter)).collect();
        let is_news = |beat: &Heartbeat| {
            let known = told.get(&beat.incarnation);
            beat.control_address != to && known.is_none_or(|counter| beat.counter > *counter)
        };
        let tellable = |peer: &&mut Peer| peer.state == MemberState::Live && is_news(&peer.beat);
        let mut peers: Vec<&mut Peer> = self.peers.values_mut().filter(tellable).collect();
        let shuffle = self.seed ^ self.round.rotate_left(16);
        let lot = |peer: &Peer| xxh3_64_with_seed(&peer.beat.incarnation.0.to_le_bytes(), shuffle);
        peers.sort_by_cached_key(|peer| (peer.sent, lot(peer)));
        let pass_on = |peer: &mut &mut Peer| {
            peer.sent += 1;
            peer.beat.clone()
        };
        Gossip {
            from: self.me.clone(),
            others: peers.iter_mut().take(max).map(pass_on).collect(),
            gone: None,
        }
    }

    /// Gets the addresses of the own zone, or of all others: peers heard of and hosts listed.
    fn contacts(&self, is_own_zone: bool) -> Vec<SocketAddr> {
        let fits = |zone: &ZoneName| (*zone == self.me.zone) == is_own_zone;
        let heard = self.peers.values().map(|peer| &peer.beat);
        let heard = heard.filter(|beat| fits(&beat.zone));
        let listed = self.listed_unheard();
        let listed = listed.filter(|host| host.state == HostState::Live && fits(&host.zone));
        let addresses = heard.map(|beat| beat.control_address);
        addresses
            .chain(listed.map(|host| host.peer_address))
            .collect()
    }

    fn unmet_seeds(&self) -> Vec<SocketAddr> {
        let is_met = |seed: &SocketAddr| {
            let mut live = self.peers.values().filter(|p| p.state == MemberState::Live);
            *seed == self.me.control_address || live.any(|p| p.beat.control_address == *seed)
        };
        let seeds = self.seeds.iter().copied();
        seeds.filter(|seed| !is_met(seed)).collect()
    }

    /// Picks `count` addresses from the one whose turn it is. Everyone comes up once before anyone
    /// comes up again, in an order that the seed shuffles anew for each pass.
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
            let place = usize::try_from(turn % length).unwrap_or_default();
            shuffled(turn / length)[place]
        };
        (turn..turn + count.min(length)).map(at_turn).collect()
    }
}
