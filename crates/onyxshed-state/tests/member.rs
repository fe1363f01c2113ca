//! Which peers are live: silence, the platform's list, restarts, cuts between zones and pauses.

#[path = "support/members.rs"]
mod members;

use members::{Network, at, beat, list};
use onyxshed_core::{Incarnation, Millis, Now, UnixMs};
use onyxshed_state::{
    Gossip, Heartbeat, LoadDigest, MemberOptions, MemberState, MemberTable, MembershipEvent,
};
use rstest::rstest;

const ME: u16 = 0;
const PEER: Incarnation = Incarnation(3);

fn table() -> MemberTable {
    MemberTable::new(beat(ME), MemberOptions::default(), Vec::new(), 1)
}

fn from(beat: Heartbeat) -> Gossip {
    Gossip {
        from: beat,
        others: Vec::new(),
        gone: None,
    }
}

/// Has `table` run, and hear nobody, until `ms`.
fn idle(table: &mut MemberTable, from_ms: u64, ms: u64) -> Vec<MembershipEvent> {
    (from_ms..=ms)
        .step_by(1_000)
        .flat_map(|ms| table.tick(at(ms)))
        .collect()
}

/// What the platform's list says, joined with what is heard. Neither alone decides: a peer that is
/// heard lives though the list left it out, and a silent one is only suspected while it is listed,
/// or while the list is older than the last that was heard, or there is none.
#[rstest]
#[case::heard_and_unlisted(1_000, Some((vec![], 0)), MemberState::Live)]
#[case::silent_and_listed(30_000, Some((vec![3], 0)), MemberState::Suspect)]
#[case::silent_and_unlisted(30_000, Some((vec![], 0)), MemberState::Gone)]
#[case::silent_for_a_moment(8_000, Some((vec![], 0)), MemberState::Suspect)]
#[case::old_list(30_000, Some((vec![], 30_001)), MemberState::Suspect)]
#[case::no_list(30_000, None, MemberState::Suspect)]
fn silence_and_list_together(
    #[case] silent_ms: u64,
    #[case] listed: Option<(Vec<u16>, u64)>,
    #[case] state: MemberState,
) {
    let mut table = table();
    table.apply_gossip(at(0), &from(beat(3)));
    idle(&mut table, 0, silent_ms);
    if let Some((hosts, age_ms)) = listed {
        table.apply_host_list(at(silent_ms), &list(&hosts, age_ms));
    }
    table.tick(at(silent_ms));
    assert_eq!(table.state(PEER), Some(state));
    assert_eq!(table.is_gone(PEER), state == MemberState::Gone);
    assert_eq!(
        table.peer_address(PEER).is_some(),
        state != MemberState::Gone
    );
}

/// There are more peers than three messages tell of. Each takes longer to come round, so silence is
/// suspected later.
#[rstest]
#[case::one_message(12, 6_001)]
#[case::three_messages(36, 18_001)]
fn suspicion_allows_for_many_peers(#[case] peers: u16, #[case] suspect_ms: u64) {
    let mut table = table();
    for n in 1..=peers {
        table.apply_gossip(at(0), &from(beat(n)));
    }
    assert_eq!(idle(&mut table, 0, suspect_ms - 1), []);
    assert_eq!(
        idle(&mut table, suspect_ms, suspect_ms).len(),
        usize::from(peers)
    );
}

/// A suspected peer is heard again, through another one: its count went on. An old heartbeat that
/// is passed on late proves nothing.
#[test]
fn only_a_higher_count_refutes() {
    let mut table = table();
    table.apply_gossip(at(0), &from(beat(3)));
    assert_eq!(
        idle(&mut table, 0, 7_000),
        [MembershipEvent::Suspected(PEER)]
    );
    let relay = |counter| Gossip {
        others: vec![Heartbeat { counter, ..beat(3) }],
        ..from(beat(1))
    };
    assert_eq!(
        table.apply_gossip(at(7_100), &relay(1)).events,
        [MembershipEvent::Joined(Incarnation(1))]
    );
    let heard = table.apply_gossip(at(7_200), &relay(2));
    assert_eq!(heard.events, [MembershipEvent::Refuted(PEER)]);
    assert_eq!(heard.answer.others, [], "the asker has just told it");
    let asked = table.apply_gossip(at(7_300), &relay(1)).answer.others;
    assert_eq!(asked[0].counter, 2, "the asker is behind");
}

/// A host restarts. Its former life is gone for good: heartbeats of it that peers still pass on
/// count for nothing, and its claims can be judged by that.
#[test]
fn new_life_buries_the_former() {
    let mut table = table();
    table.apply_gossip(at(0), &from(beat(3)));
    let reborn = Heartbeat {
        incarnation: Incarnation(9),
        started_at_ms: UnixMs(2_000),
        ..beat(3)
    };
    let notes = table.apply_gossip(at(1_000), &from(reborn)).events;
    assert_eq!(
        notes,
        [
            MembershipEvent::Gone(PEER),
            MembershipEvent::Joined(Incarnation(9))
        ]
    );
    let heard = table.apply_gossip(
        at(1_100),
        &from(Heartbeat {
            counter: 5,
            ..beat(3)
        }),
    );
    assert_eq!((heard.events, heard.answer.gone), (vec![], Some(PEER)));
    assert!(table.is_gone(PEER) && table.members().len() == 1);
}

/// The host's wall clock stepped back over its restart, so its new life looks older. It is admitted
/// once the former one has fallen silent, not shut out for ever.
#[test]
fn restart_under_a_clock_that_stepped_back() {
    let mut table = table();
    table.apply_gossip(at(0), &from(beat(3)));
    let reborn = Heartbeat {
        incarnation: Incarnation(9),
        started_at_ms: UnixMs(500),
        ..beat(3)
    };
    assert_eq!(
        table.apply_gossip(at(1_000), &from(reborn.clone())).events,
        []
    );
    idle(&mut table, 1_000, 7_000);
    table.apply_gossip(at(7_000), &from(reborn));
    assert!(table.is_gone(PEER));
    assert_eq!(table.state(Incarnation(9)), Some(MemberState::Live));
}

/// This process is frozen, or its machine suspended with the monotonic clock. It notices before it
/// judges anyone: it was itself that did not listen, so nobody is suspected for that time.
#[rstest]
#[case::frozen(30_000, 30_000)]
#[case::suspended(10, 30_000)]
fn own_pause_is_noticed(#[case] mono_ms: u64, #[case] wall_ms: u64) {
    let mut table = table();
    table.apply_gossip(at(0), &from(beat(3)));
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

/// A process thaws after its peers have buried it. The first answer tells it, before it has done
/// any work for them.
#[test]
fn thawed_process_learns_that_it_was_buried() {
    let mut table = table();
    table.apply_gossip(at(0), &from(beat(3)));
    table.apply_host_list(at(20_000), &list(&[], 0));
    idle(&mut table, 0, 20_000);
    let mut thawed = MemberTable::new(beat(3), MemberOptions::default(), Vec::new(), 3);
    let answer = table.apply_gossip(at(20_100), &from(beat(3))).answer;
    let notes = thawed.apply_gossip(at(20_100), &answer).events;
    assert!(notes.contains(&MembershipEvent::DeclaredGone), "{notes:?}");
}

/// Peers still pass on heartbeats of this host's former life. They are not taken for a second host,
/// nor for a newer life of this one.
#[test]
fn former_life_of_this_host_is_gone() {
    let mut table = table();
    let former = Heartbeat {
        incarnation: PEER,
        started_at_ms: UnixMs(1),
        ..beat(ME)
    };
    let relayed = Gossip {
        others: vec![former],
        ..from(beat(1))
    };
    let notes = table.apply_gossip(at(0), &relayed).events;
    assert_eq!(
        notes,
        [
            MembershipEvent::Joined(Incarnation(1)),
            MembershipEvent::Gone(PEER)
        ]
    );
    let newer = Heartbeat {
        incarnation: PEER,
        started_at_ms: UnixMs(9_000),
        ..beat(ME)
    };
    assert_eq!(table.apply_gossip(at(0), &from(newer)).events, []);
    let newer = Heartbeat {
        incarnation: Incarnation(8),
        started_at_ms: UnixMs(9_000),
        ..beat(ME)
    };
    let relayed = Gossip {
        others: vec![newer.clone()],
        ..from(beat(1))
    };
    assert_eq!(
        table.apply_gossip(at(0), &relayed).events,
        [],
        "hearsay is not enough"
    );
    assert_eq!(
        table.apply_gossip(at(0), &from(newer)).events,
        [MembershipEvent::DeclaredGone]
    );
}

/// The entry process of this host restarts beside its control process. The table goes on: its peers
/// stay known, and the former life is gone for good.
#[test]
fn own_restart_keeps_what_is_known() {
    let mut table = table();
    table.apply_gossip(at(0), &from(beat(3)));
    let former = beat(ME).incarnation;
    let me = Heartbeat {
        incarnation: Incarnation(99),
        ..beat(ME)
    };
    assert_eq!(table.restart(at(10), me), [MembershipEvent::Gone(former)]);
    assert!(table.is_gone(former) && table.state(PEER) == Some(MemberState::Live));
    assert_eq!(table.state(Incarnation(99)), Some(MemberState::Live));
}

/// Someone tells of ever new hosts. The table keeps to its bound, and to those it knows.
#[test]
fn table_is_bounded() {
    let options = MemberOptions {
        members_max: 3,
        ..MemberOptions::default()
    };
    let mut table = MemberTable::new(beat(ME), options, Vec::new(), 1);
    for n in 1..10 {
        table.apply_gossip(at(0), &from(beat(n)));
    }
    let known: Vec<u64> = table.members().iter().map(|m| m.incarnation.0).collect();
    assert_eq!(known, [1, 2, 3]);
}

/// Shares of slots count the zone's live hosts that take work; shares of the log count everyone who
/// may append, suspects and hosts that are only listed included.
#[test]
fn counts_for_shares() {
    let mut table = table();
    for n in [1, 3, 6, 9] {
        let is_draining = n == 6;
        table.apply_gossip(
            at(0),
            &from(Heartbeat {
                is_draining,
                ..beat(n)
            }),
        );
    }
    table.apply_host_list(at(0), &list(&[0, 1, 12], 0));
    assert_eq!((table.live_hosts_in_zone(), table.known_hosts()), (3, 6));
    idle(&mut table, 0, 8_000);
    assert_eq!((table.live_hosts_in_zone(), table.known_hosts()), (1, 6));
}

/// Hosts know of one address only. All come to know all, nobody is suspected while nothing is
/// wrong, and what it costs stays within bounds.
#[rstest]
#[case::today(8)]
#[case::more_than_a_message_tells(24)]
fn hosts_find_each_other(#[case] count: u16) {
    let mut network = Network::new(count);
    network.run(0, 60);
    network.bytes = 0;
    network.longest_silence_ms = 0;
    network.run(60, 180);
    for table in network.tables.values() {
        assert_eq!(table.members().len(), usize::from(count) - 1);
    }
    let doubted = network
        .notes
        .iter()
        .find(|(_, note)| !matches!(note, MembershipEvent::Joined(_)));
    assert_eq!(doubted, None);
    let bytes_per_s = network.bytes / 120 / usize::from(count);
    println!(
        "{count} hosts: {bytes_per_s} bytes/s sent by each, answers included; longest silence {} ms",
        network.longest_silence_ms
    );
    assert!(bytes_per_s < 17_000);
}

/// Two zones lose each other but both reach the third: nobody is suspected, since heartbeats are
/// passed on. A zone that is cut off from all suspects the rest and is suspected by it, keeps its
/// own, and is taken back without a restart.
#[test]
fn zones_lose_each_other() {
    let mut network = Network::new(8);
    network.run(0, 30);
    network.notes.clear();
    network.set_cut(|a, b| a % 3 + b % 3 == 1 && a % 3 != b % 3);
    network.run(30, 130);
    assert_eq!(network.notes, []);
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
        .notes
        .iter()
        .find(|(_, note)| matches!(note, MembershipEvent::Gone(_)));
    assert_eq!(gone, None);
}

/// A host dies and the platform leaves it out some time later. Everyone buries that life within
/// seconds of the list; the others go on as before.
#[test]
fn dead_host_is_buried_by_all() {
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

/// What a host tells about itself reaches those that do not talk to it directly.
#[test]
fn load_and_revision_are_passed_on() {
    let mut network = Network::new(8);
    let load = LoadDigest {
        running_tasks: 12,
        queued_tasks: 34,
    };
    let teller = network.tables.get_mut(&7).expect("it is there");
    teller.set_own_status(load, onyxshed_core::Revision(5), true);
    network.run(0, 30);
    let told = network.tables[&2]
        .heartbeat(Incarnation(7))
        .expect("it was heard");
    assert_eq!(
        (told.load, told.config_revision.0, told.is_draining),
        (load, 5, true)
    );
}
