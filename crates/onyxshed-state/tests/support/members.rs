//! Membership tables connected by a simulated network whose links can be cut.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use onyxshed_core::{Incarnation, Micros, Millis, Mono, Now, Revision, UnixMs};
use onyxshed_state::{Heartbeat, LoadDigest, MemberOptions, MemberTable, MembershipEvent};
use onyxshed_wire::platform::{EntryHost, HostList, HostState};

/// Returns the readings of both clocks `ms` after an arbitrary start.
pub fn at(ms: u64) -> Now {
    Now {
        mono: Mono::default() + Micros((ms + 100_000) * 1_000),
        wall: UnixMs(10_000_000 + ms),
    }
}

pub fn address(host: u16, port: u16) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port + host))
}

/// Returns a heartbeat of the first incarnation of host `n`, whose zone is `n` modulo 3.
pub fn heartbeat(n: u16) -> Heartbeat {
    Heartbeat {
        host: format!("entry-{n}").parse().expect("the name is valid"),
        zone: format!("zone-{}", n % 3)
            .parse()
            .expect("the name is valid"),
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

/// Returns the platform's list of the hosts in service, which was current `age_ms` ago.
pub fn list(hosts: &[u16], age_ms: u64) -> HostList {
    let entry = |n: &u16| EntryHost {
        name: heartbeat(*n).host,
        zone: heartbeat(*n).zone,
        peer_address: heartbeat(*n).control_address,
        state: HostState::Live,
    };
    HostList {
        age_ms: Millis(age_ms),
        executors: Vec::new(),
        entries: hosts.iter().map(entry).collect(),
    }
}

/// Membership tables that exchange gossip once a second.
pub struct Network {
    pub tables: BTreeMap<u16, MemberTable>,
    /// Pairs of hosts that can't reach each other.
    pub cut: BTreeSet<(u16, u16)>,
    /// Hosts that do not run.
    pub frozen: BTreeSet<u16>,
    pub events: Vec<(u16, MembershipEvent)>,
    pub bytes: usize,
    pub longest_heartbeat_age_ms: u64,
}

impl Network {
    /// Creates a network of `count` hosts, each configured with only the address of the first host.
    pub fn new(count: u16) -> Self {
        let table = |n| {
            let seeds = vec![address(0, 10_000)];
            (
                n,
                MemberTable::new(heartbeat(n), MemberOptions::default(), seeds, n.into()),
            )
        };
        Network {
            tables: (0..count).map(table).collect(),
            cut: BTreeSet::new(),
            frozen: BTreeSet::new(),
            events: Vec::new(),
            bytes: 0,
            longest_heartbeat_age_ms: 0,
        }
    }

    /// Runs the network from `from_s` to `to_s`, in seconds; each host sends at its own offset
    /// within the second.
    pub fn run(&mut self, from_s: u64, to_s: u64) {
        for second in from_s..to_s {
            for n in self.tables.keys().copied().collect::<Vec<_>>() {
                if !self.frozen.contains(&n) {
                    self.run_host(n, at(second * 1_000 + u64::from(n) * 37 % 1_000));
                }
            }
        }
    }

    fn run_host(&mut self, n: u16, now: Now) {
        let table = self.tables.get_mut(&n).expect("the host has a table");
        let events = table.tick(now);
        for member in table.members() {
            let heartbeat_age_ms = table
                .heartbeat_age_ms(now, member.incarnation)
                .map_or(0, |ms| ms.0);
            self.longest_heartbeat_age_ms = self.longest_heartbeat_age_ms.max(heartbeat_age_ms);
        }
        let outgoing = table.start_round(now);
        self.record_events(n, events);
        for message in outgoing {
            self.bytes += serde_json::to_string(&message.gossip)
                .expect("gossip serializes to JSON")
                .len();
            let to = message.to.port() - 10_000;
            let is_blocked =
                self.cut.contains(&(n.min(to), n.max(to))) || self.frozen.contains(&to);
            let Some(receiver) = self.tables.get_mut(&to).filter(|_| !is_blocked) else {
                continue;
            };
            let outcome = receiver.apply_gossip(now, &message.gossip);
            self.record_events(to, outcome.events);
            self.bytes += serde_json::to_string(&outcome.answer)
                .expect("gossip serializes to JSON")
                .len();
            let sender = self.tables.get_mut(&n).expect("the host has a table");
            let events = sender.apply_gossip(now, &outcome.answer).events;
            self.record_events(n, events);
        }
    }

    fn record_events(&mut self, n: u16, events: Vec<MembershipEvent>) {
        self.events
            .extend(events.into_iter().map(|event| (n, event)));
    }

    /// Cuts exactly the pairs of hosts for which `is_cut` returns true.
    pub fn set_cut(&mut self, is_cut: impl Fn(u16, u16) -> bool) {
        let hosts: Vec<u16> = self.tables.keys().copied().collect();
        let pairs = hosts
            .iter()
            .flat_map(|a| hosts.iter().map(move |b| (*a, *b)));
        self.cut = pairs.filter(|(a, b)| a < b && is_cut(*a, *b)).collect();
    }
}
