//! Tests of membership: heartbeats, the platform's list, restarts, partitions between zones, and
//! pauses.

#[path = "support/members.rs"]
mod members;

use members::{Network, at, heartbeat, list};
use onyxshed_core::{Incarnation, Millis, Now, UnixMs};
use onyxshed_state::{
    Gossip, Heartbeat, LoadDigest, MemberOptions, MemberState, MemberTable, MembershipEvent,
};
use rstest::rstest;

const ME: u16 = 0;
const PEER: Incarnation = Incarnation(3);

fn table() -> MemberTable {
    MemberTable::new(heartbeat(ME), MemberOptions::default(), Vec::new(), 1)
}

fn from(heartbeat: Heartbeat) -> Gossip {
    Gossip {
        from: heartbeat,
        others: Vec::new(),
        gone: None,
    }
}

/// Calls `tick` on `table` once a second from `from_ms` to `ms`, without any received message, and
/// returns the events.
fn idle(table: &mut MemberTable, from_ms: u64, ms: u64) -> Vec<MembershipEvent> {
    (from_ms..=ms)
        .step_by(1_000)
        .flat_map(|ms| table.tick(at(ms)))
        .collect()
}

/// Combines the platform's list with received heartbeats. A peer whose counter advances is live
/// even if the list omits it. A peer whose counter does not advance is only suspected while it is
/// listed, while the list is older than its last heartbeat, or while there is no list.
#[rstest]
#[case::heartbeat_and_unlisted(1_000, Some((vec![], 0)), MemberState::Live)]
#[case::unresponsive_and_listed(30_000, Some((vec![3], 0)), MemberState::Suspect)]
#[case::unresponsive_and_unlisted(30_000, Some((vec![], 0)), MemberState::Gone)]
#[case::briefly_unresponsive(8_000, Some((vec![], 0)), MemberState::Suspect)]
#[case::old_list(30_000, Some((vec![], 30_001)), MemberState::Suspect)]
#[case::no_list(30_000, None, MemberState::Suspect)]
fn heartbeats_and_list_determine_state(
    #[case] unheard_ms: u64,
    #[case] listed: Option<(Vec<u16>, u64)>,
    #[case] state: MemberState,
) {
    let mut table = table();
    table.apply_gossip(at(0), &from(heartbeat(3)));
    idle(&mut table, 0, unheard_ms);
    if let Some((hosts, age_ms)) = listed {
        table.apply_host_list(at(unheard_ms), &list(&hosts, age_ms));
    }
    table.tick(at(unheard_ms));
    assert_eq!(table.state(PEER), Some(state));
    assert_eq!(table.is_gone(PEER), state == MemberState::Gone);
    assert_eq!(
        table.peer_address(PEER).is_some(),
        state != MemberState::Gone
    );
}

/// With more peers than one message contains, each heartbeat is forwarded less often, so peers are
/// suspected later.
#[rstest]
#[case::one_message(12, 6_001)]
#[case::three_messages(36, 18_001)]
fn suspicion_time_grows_with_peer_count(#[case] peers: u16, #[case] suspect_ms: u64) {
    let mut table = table();
    for n in 1..=peers {
        table.apply_gossip(at(0), &from(heartbeat(n)));
    }
    assert_eq!(idle(&mut table, 0, suspect_ms - 1), []);
    assert_eq!(
        idle(&mut table, suspect_ms, suspect_ms).len(),
        usize::from(peers)
    );
}

/// A suspected peer's heartbeat with a higher counter arrives through another peer. An old
/// heartbeat that is forwarded late does not clear the suspicion.
#[test]
fn only_higher_counter_clears_suspicion() {
    let mut table = table();
    table.apply_gossip(at(0), &from(heartbeat(3)));
    assert_eq!(
        idle(&mut table, 0, 7_000),
        [MembershipEvent::Suspected(PEER)]
    );
    let forwarded_by = |counter| Gossip {
        others: vec![Heartbeat {
            counter,
            ..heartbeat(3)
        }],
        ..from(heartbeat(1))
    };
    assert_eq!(
        table.apply_gossip(at(7_100), &forwarded_by(1)).events,
        [MembershipEvent::Joined(Incarnation(1))]
    );
    let outcome = table.apply_gossip(at(7_200), &forwarded_by(2));
    assert_eq!(outcome.events, [MembershipEvent::Refuted(PEER)]);
    assert_eq!(outcome.answer.others, [], "the receiver has just sent it");
    let answered = table
        .apply_gossip(at(7_300), &forwarded_by(1))
        .answer
        .others;
    assert_eq!(answered[0].counter, 2, "the receiver has an older counter");
}

/// A host restarts. Its former incarnation is permanently gone: heartbeats of it that peers still
/// forward are ignored. Claims of the former incarnation can therefore be treated as those of a gone
/// holder.
#[test]
fn new_incarnation_replaces_former() {
    let mut table = table();
    table.apply_gossip(at(0), &from(heartbeat(3)));
    let restarted = Heartbeat {
        incarnation: Incarnation(9),
        started_at_ms: UnixMs(2_000),
        ..heartbeat(3)
    };
    let events = table.apply_gossip(at(1_000), &from(restarted)).events;
    assert_eq!(
        events,
        [
            MembershipEvent::Gone(PEER),
            MembershipEvent::Joined(Incarnation(9))
        ]
    );
    let outcome = table.apply_gossip(
        at(1_100),
        &from(Heartbeat {
            counter: 5,
            ..heartbeat(3)
        }),
    );
    assert_eq!((outcome.events, outcome.answer.gone), (vec![], Some(PEER)));
    assert!(table.is_gone(PEER) && table.members().len() == 1);
}

/// The host's wall clock stepped back across its restart, so its new incarnation looks older. The
/// new incarnation is admitted once the former one is suspected, instead of never.
#[test]
fn restart_with_stepped_back_clock_is_admitted() {
    let mut table = table();
    table.apply_gossip(at(0), &from(heartbeat(3)));
    let restarted = Heartbeat {
        incarnation: Incarnation(9),
        started_at_ms: UnixMs(500),
        ..heartbeat(3)
    };
    assert_eq!(
        table
            .apply_gossip(at(1_000), &from(restarted.clone()))
            .events,
        []
    );
    idle(&mut table, 1_000, 7_000);
    table.apply_gossip(at(7_000), &from(restarted));
    assert!(table.is_gone(PEER));
    assert_eq!(table.state(Incarnation(9)), Some(MemberState::Live));
}

/// This process is frozen, or its machine is suspended along with the monotonic clock. The process
/// detects the pause before it updates any peer's state, so no peer is suspected because of it.
#[rstest]
#[case::frozen(30_000, 30_000)]
#[case::suspended(10, 30_000)]
fn own_pause_is_reported_and_suspects_no_peer(#[case] mono_ms: u64, #[case] wall_ms: u64) {
    let mut table = table();
    table.apply_gossip(at(0), &from(heartbeat(3)));
    table.apply_host_list(at(0), &list(&[], 0));
    table.tick(at(1_000));
    let thawed = Now {
        mono: at(1_000 + mono_ms).mono,
        wall: at(1_000 + wall_ms).wall,
    };
    assert_eq!(
        table.tick(thawed),
        [MembershipEvent::Paused(Millis(30_000))]
    );
    assert_eq!(table.state(PEER), Some(MemberState::Live));
}

/// A process thaws after its peers have declared it gone. The first answer that it receives reports
/// this, before the process has done any work for them.
#[test]
fn thawed_process_is_informed_that_it_is_gone() {
    let mut table = table();
    table.apply_gossip(at(0), &from(heartbeat(3)));
    table.apply_host_list(at(20_000), &list(&[], 0));
    idle(&mut table, 0, 20_000);
    let mut thawed = MemberTable::new(heartbeat(3), MemberOptions::default(), Vec::new(), 3);
    let answer = table.apply_gossip(at(20_100), &from(heartbeat(3))).answer;
    let events = thawed.apply_gossip(at(20_100), &answer).events;
    assert!(
        events.contains(&MembershipEvent::DeclaredGone),
        "{events:?}"
    );
}

/// Peers still forward heartbeats of this host's former incarnation. They are treated neither as
/// another host nor as a newer incarnation of this one.
#[test]
fn former_incarnation_of_this_host_is_gone() {
    let mut table = table();
    let former = Heartbeat {
        incarnation: PEER,
        started_at_ms: UnixMs(1),
        ..heartbeat(ME)
    };
    let forwarded = Gossip {
        others: vec![former],
        ..from(heartbeat(1))
    };
    let events = table.apply_gossip(at(0), &forwarded).events;
    assert_eq!(
        events,
        [
            MembershipEvent::Joined(Incarnation(1)),
            MembershipEvent::Gone(PEER)
        ]
    );
    let newer = Heartbeat {
        incarnation: PEER,
        started_at_ms: UnixMs(9_000),
        ..heartbeat(ME)
    };
    assert_eq!(table.apply_gossip(at(0), &from(newer)).events, []);
    let newer = Heartbeat {
        incarnation: Incarnation(8),
        started_at_ms: UnixMs(9_000),
        ..heartbeat(ME)
    };
    let forwarded = Gossip {
        others: vec![newer.clone()],
        ..from(heartbeat(1))
    };
    assert_eq!(
        table.apply_gossip(at(0), &forwarded).events,
        [],
        "a forwarded heartbeat is not enough"
    );
    assert_eq!(
        table.apply_gossip(at(0), &from(newer)).events,
        [MembershipEvent::DeclaredGone]
    );
}

/// The entry process of this host restarts beside its control process. The table keeps its peers,
/// and the former incarnation is permanently gone.
#[test]
fn own_restart_keeps_peers() {
    let mut table = table();
    table.apply_gossip(at(0), &from(heartbeat(3)));
    let former = heartbeat(ME).incarnation;
    let me = Heartbeat {
        incarnation: Incarnation(99),
        ..heartbeat(ME)
    };
    assert_eq!(table.restart(at(10), me), [MembershipEvent::Gone(former)]);
    assert!(table.is_gone(former) && table.state(PEER) == Some(MemberState::Live));
    assert_eq!(table.state(Incarnation(99)), Some(MemberState::Live));
}

/// A peer keeps reporting new hosts. The table stays within its limit and keeps the peers that it
/// has.
#[test]
fn table_stays_within_limit() {
    let options = MemberOptions {
        members_max: 3,
        ..MemberOptions::default()
    };
    let mut table = MemberTable::new(heartbeat(ME), options, Vec::new(), 1);
    for n in 1..10 {
        table.apply_gossip(at(0), &from(heartbeat(n)));
    }
    let known: Vec<u64> = table.members().iter().map(|m| m.incarnation.0).collect();
    assert_eq!(known, [1, 2, 3]);
}

/// The slots are divided among the zone's live hosts that accept work. The log's append budget is
/// divided among all hosts that may append, including suspected hosts and hosts that are only
/// listed.
#[test]
fn host_counts_for_slots_and_log_budget() {
    let mut table = table();
    for n in [1, 3, 6, 9] {
        let is_draining = n == 6;
        table.apply_gossip(
            at(0),
            &from(Heartbeat {
                is_draining,
                ..heartbeat(n)
            }),
        );
    }
    table.apply_host_list(at(0), &list(&[0, 1, 12], 0));
    assert_eq!((table.live_hosts_in_zone(), table.known_hosts()), (3, 6));
    idle(&mut table, 0, 8_000);
    assert_eq!((table.live_hosts_in_zone(), table.known_hosts()), (1, 6));
}

/// Hosts know only one address at the start. All of them find each other, no host is suspected
/// while nothing fails, and the traffic stays within its limit.
#[rstest]
#[case::today(8)]
#[case::more_than_a_message_holds(24)]
fn hosts_find_each_other(#[case] count: u16) {
    let mut network = Network::new(count);
    network.run(0, 60);
    network.bytes = 0;
    network.longest_heartbeat_age_ms = 0;
    network.run(60, 180);
    for table in network.tables.values() {
        assert_eq!(table.members().len(), usize::from(count) - 1);
    }
    let unexpected = network
        .events
        .iter()
        .find(|(_, note)| !matches!(note, MembershipEvent::Joined(_)));
    assert_eq!(unexpected, None);
    let bytes_per_s = network.bytes / 120 / usize::from(count);
    println!(
        "{count} hosts: {bytes_per_s} bytes/s sent by each, answers included; oldest heartbeat {} ms",
        network.longest_heartbeat_age_ms
    );
    assert!(bytes_per_s < 17_000);
}

/// Two zones can't reach each other but both reach the third: no host is suspected, because
/// heartbeats are forwarded. A zone that is cut off from all others suspects their hosts and is
/// suspected by them, and keeps its own hosts live. When the cut ends, its hosts are live for the
/// others again without a restart.
#[test]
fn partitioned_zones_recover_without_restart() {
    let mut network = Network::new(8);
    network.run(0, 30);
    network.events.clear();
    network.set_cut(|a, b| a % 3 + b % 3 == 1 && a % 3 != b % 3);
    network.run(30, 130);
    assert_eq!(network.events, []);
    network.set_cut(|a, b| (a % 3 == 2) != (b % 3 == 2));
    network.run(130, 200);
    let live = |network: &Network, n: u16| {
        let members = network.tables[&n].members();
        members
            .iter()
            .filter(|member| member.state == MemberState::Live)
            .count()
    };
    assert_eq!((live(&network, 0), live(&network, 2)), (5, 1));
    assert_eq!(network.tables[&2].live_hosts_in_zone(), 2);
    network.cut.clear();
    network.run(200, 230);
    assert_eq!((live(&network, 0), live(&network, 2)), (7, 7));
    let gone = network
        .events
        .iter()
        .find(|(_, note)| matches!(note, MembershipEvent::Gone(_)));
    assert_eq!(gone, None);
}

/// A host fails and the platform removes it from its list some time later. Every other host
/// declares the incarnation gone within seconds of the list; the others stay live.
#[test]
fn unlisted_host_is_gone_everywhere() {
    let mut network = Network::new(8);
    network.run(0, 30);
    network.frozen.insert(5);
    network.run(30, 60);
    for table in network.tables.values_mut() {
        table.apply_host_list(at(60_000), &list(&[0, 1, 2, 3, 4, 6, 7], 10_000));
    }
    network.run(60, 63);
    network.tables.remove(&5);
    for table in network.tables.values() {
        assert!(table.is_gone(Incarnation(5)) && table.members().len() == 6);
    }
}

/// A host's load, revision and draining state reach hosts with which it does not exchange messages.
#[test]
fn load_and_revision_are_forwarded() {
    let mut network = Network::new(8);
    let load = LoadDigest {
        running_tasks: 12,
        queued_tasks: 34,
    };
    let sender = network.tables.get_mut(&7).expect("the host has a table");
    sender.set_own_status(load, onyxshed_core::Revision(5), true);
    network.run(0, 30);
    let received = network.tables[&2]
        .heartbeat(Incarnation(7))
        .expect("a heartbeat of the host has arrived");
    assert_eq!(
        (
            received.load,
            received.config_revision.0,
            received.is_draining
        ),
        (load, 5, true)
    );
}
