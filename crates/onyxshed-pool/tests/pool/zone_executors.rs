//! Executors of a zone that one owner reads for the others.

use onyxshed_core::UnixMs;
use onyxshed_pool::{ExecutorFacts, ExecutorId, Resources, ShardLayout, ZoneExecutors};

fn id(index: usize) -> ExecutorId {
    ExecutorId(format!("e{index}").into())
}

fn facts(index: usize) -> ExecutorFacts {
    ExecutorFacts {
        address: ([10, 0, 0, 1], u16::try_from(index).expect("a port")).into(),
        upstream: "desk".into(),
        capacity: Resources {
            cpu_millis: 64_000,
            memory_mb: 128,
            accelerators: 0,
        },
        labels: Vec::new(),
        rack: None,
        is_draining: false,
        started_at: Some(UnixMs(1)),
    }
}

fn zone_of(count: usize) -> ZoneExecutors {
    let mut zone = ZoneExecutors::default();
    for index in 0..count {
        zone.record_listed(id(index), facts(index));
    }
    zone
}

/// Guards against: the owners of a large zone are sent every renewal of every executor.
#[test]
fn renewals_without_a_change_are_not_passed_on() {
    let mut zone = zone_of(2_000);
    let known = zone.changes_since(0);
    assert!(known.is_complete && known.listed.len() == 2_000);
    for index in 0..2_000 {
        zone.record_listed(id(index), facts(index));
    }
    let changes = zone.changes_since(known.version);
    assert_eq!((changes.listed.len(), changes.unlisted.len()), (0, 0));
    assert!(!changes.is_complete);
}

/// Guards against: an owner starts tasks on an executor that drains or has left, because its reader did not pass the
/// change on.
#[test]
fn changes_are_passed_on_once() {
    let mut zone = zone_of(10);
    let known = zone.changes_since(0).version;
    let draining = ExecutorFacts {
        is_draining: true,
        ..facts(3)
    };
    zone.record_listed(id(3), draining.clone());
    zone.record_unlisted(&id(4));
    zone.record_unlisted(&id(5));
    zone.record_listed(id(5), facts(5));
    let changes = zone.changes_since(known);
    assert_eq!(changes.listed, vec![(id(3), draining), (id(5), facts(5))]);
    assert_eq!(changes.unlisted, vec![id(4)]);
    assert_eq!(zone.changes_since(changes.version).listed, Vec::new());
}

/// Guards against: an owner keeps executors that left while it did not reach the reader, or that it knows from
/// another reader.
#[test]
fn unknown_versions_get_the_complete_list() {
    let mut zone = zone_of(3_000);
    let known = zone.changes_since(0).version;
    for index in 0..1_500 {
        zone.record_unlisted(&id(index));
    }
    let changes = zone.changes_since(known);
    assert!(changes.is_complete, "removals were forgotten");
    assert_eq!(changes.listed.len(), 1_500);
    assert!(zone.changes_since(changes.version + 1).is_complete);
}

/// Guards against: while executors are replaced one after the other, those that drain count beside their
/// replacements; the zone is resharded, and its jobs are lost.
#[test]
fn replaced_executors_do_not_reshard_the_zone() {
    let layout = ShardLayout {
        version: 1,
        pools: 4,
    };
    let mut zone = zone_of(500);
    for index in 0..250 {
        zone.record_listed(id(500 + index), facts(500 + index));
        let draining = ExecutorFacts {
            is_draining: true,
            ..facts(index)
        };
        zone.record_listed(id(index), draining);
        assert_eq!(layout.resharded(zone.accepting_count()), None);
    }
    for index in 0..400 {
        zone.record_listed(id(1_000 + index), facts(index));
    }
    let grown = layout.resharded(zone.accepting_count());
    assert!(
        grown.is_some_and(|grown| grown.pools > 4),
        "the zone has grown"
    );
}
