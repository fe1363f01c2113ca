//! A few membership tables and a network between them that can be cut.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use onyxshed_core::{Incarnation, Micros, Millis, Mono, Now, Revision, UnixMs};
use onyxshed_state::{Heartbeat, LoadDigest, MemberOptions, MemberTable, MembershipEvent};
use onyxshed_wire::platform::{EntryHost, HostList, HostState};

/// Gets both clocks `ms` after an arbitrary start.
pub fn at(ms: u64) -> Now {
    Now {
        mono: Mono::default() + Micros((ms + 100_000) * 1_000),
        wall: UnixMs(10_000_000 + ms),
    }
}

pub fn address(host: u16, port: u16) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port + host))
}

/// Makes a heartbeat of host `n`, whose zone is `n` modulo 3, in its first life.
pub fn beat(n: u16) -> Heartbeat {
    Heartbeat {
        host: format!("entry-{n}").parse().expect("a name"),
        zone: format!("zone-{}", n % 3).parse().expect("a name"),
        incarnation: Incarnation(n.into()),
        started_at_ms: UnixMs(1_000),
        control_address: address(n, 10_000),
        peer_address: address(n, 20_000),
        counter: 1,
        load: LoadDigest::default(),
        config_revision: Revision(1),
        is_draining: false,
    }
}

/// Makes a list of hosts in service as of `age_ms` ago.
pub fn list(hosts: &[u16], age_ms: u64) -> HostList {
    let entry = |n: &u16| EntryHost {
        name: beat(*n).host,
        zone: beat(*n).zone,
        peer_address: beat(*n).control_address,
        state: HostState::Live,
    };
    HostList {
        age_ms: Millis(age_ms),
        executors: Vec::new(),
        entries: hosts.iter().map(entry).collect(),
    }
}

/// Tables that tell each other once a second.
pub struct Network {
    pub tables: BTreeMap<u16, MemberTable>,
    /// Pairs of hosts that can't reach each other.
    pub cut: BTreeSet<(u16, u16)>,
    /// Hosts that do not run.
    pub frozen: BTreeSet<u16>,
    pub notes: Vec<(u16, MembershipEvent)>,
    pub bytes: usize,
    pub longest_silence_ms: u64,
}

impl Network {
    /// Makes a network of `count` hosts that know only the first one, from their settings.
    pub fn new(count: u16) -> Self {
        let table = |n| {
            let seeds = vec![address(0, 10_000)];
            (
                n,
                MemberTable::new(beat(n), MemberOptions::default(), seeds, n.into()),
            )
        };
        Network {
            tables: (0..count).map(table).collect(),
            cut: BTreeSet::new(),
            frozen: BTreeSet::new(),
            notes: Vec::new(),
            bytes: 0,
            longest_silence_ms: 0,
        }
    }

    /// Runs from `from_s` to `to_s`, in seconds; each host has its own moment in the second.
    pub fn run(&mut self, from_s: u64, to_s: u64) {
        for second in from_s..to_s {
            for n in self.tables.keys().copied().collect::<Vec<_>>() {
                if !self.frozen.contains(&n) {
                    self.turn(n, at(second * 1_000 + u64::from(n) * 37 % 1_000));
                }
            }
        }
    }

    fn turn(&mut self, n: u16, now: Now) {
        let table = self.tables.get_mut(&n).expect("it is there");
        let notes = table.tick(now);
        for member in table.members() {
            let silence_ms = table
                .silence_ms(now, member.incarnation)
                .map_or(0, |ms| ms.0);
            self.longest_silence_ms = self.longest_silence_ms.max(silence_ms);
        }
        let outgoing = table.start_round(now);
        self.note(n, notes);
        for message in outgoing {
            self.bytes += serde_json::to_string(&message.gossip)
                .expect("it is JSON")
                .len();
            let to = message.to.port() - 10_000;
            let is_cut = self.cut.contains(&(n.min(to), n.max(to))) || self.frozen.contains(&to);
            let Some(receiver) = self.tables.get_mut(&to).filter(|_| !is_cut) else {
                continue;
            };
            let heard = receiver.apply_gossip(now, &message.gossip);
            self.note(to, heard.events);
            self.bytes += serde_json::to_string(&heard.answer)
                .expect("it is JSON")
                .len();
            let sender = self.tables.get_mut(&n).expect("it is there");
            let notes = sender.apply_gossip(now, &heard.answer).events;
            self.note(n, notes);
        }
    }

    fn note(&mut self, n: u16, notes: Vec<MembershipEvent>) {
        self.notes.extend(notes.into_iter().map(|note| (n, note)));
    }

    /// Cuts or joins every pair of hosts that `apart` tells of.
    pub fn set_cut(&mut self, apart: impl Fn(u16, u16) -> bool) {
        let hosts: Vec<u16> = self.tables.keys().copied().collect();
        let pairs = hosts
            .iter()
            .flat_map(|a| hosts.iter().map(move |b| (*a, *b)));
        self.cut = pairs.filter(|(a, b)| a < b && apart(*a, *b)).collect();
    }
}
