//! Sharding of a zone's executors into pools.

use std::collections::BTreeSet;

use onyxshed_pool::{ExecutorId, PoolId, ShardLayout};
use rstest::rstest;

#[rstest]
#[case(0, 1)]
#[case(16, 1)]
#[case(117, 1)]
#[case(180, 1)]
#[case(333, 3)]
#[case(1_000, 8)]
#[case(100_000, 16)]
fn pool_count_follows_executor_count(#[case] executors: usize, #[case] pools: u32) {
    let layout = ShardLayout::default();
    let found = layout.resharded(executors).unwrap_or(layout);
    assert_eq!(found.pools, pools);
}

/// A change of layout loses every job of the zone, so small changes in the number of executors must not
/// cause one.
#[test]
fn layout_is_kept_within_bounds() {
    let three = ShardLayout {
        version: 4,
        pools: 3,
    };
    for executors in [140, 333, 500] {
        assert_eq!(three.resharded(executors), None, "{executors}");
    }
    assert_eq!(three.resharded(100).map(|found| found.pools), Some(1));
    assert_eq!(three.resharded(600).map(|found| found.pools), Some(5));
}

/// An executor moves to a pool whose group in the store has a lower generation than that of its
/// former pool. The token of its new owner must still be higher, or the executor would refuse that
/// owner forever.
#[test]
fn new_layout_raises_tokens() {
    let old = ShardLayout {
        version: 1,
        pools: 1,
    };
    let new = old.resharded(1_000).expect("a new layout");
    assert!(new.token(&pool(7), 1) > old.token(&pool(0), 4_000_000));
}

/// If two owners both use an executor, it must fence one of them off, or they would stop each other's
/// runs forever.
#[test]
fn tokens_of_different_pools_differ() {
    let layout = ShardLayout {
        version: 1,
        pools: 16,
    };
    let tokens: BTreeSet<_> = (0..16)
        .flat_map(|index| (1..50).map(move |generation| (index, generation)))
        .map(|(index, generation)| layout.token(&pool(index), generation))
        .collect();
    assert_eq!(tokens.len(), 16 * 49);
}

fn pool(index: u32) -> PoolId {
    PoolId {
        zone: "z".into(),
        index,
    }
}

#[test]
fn executors_are_spread_evenly_over_pools() {
    let layout = ShardLayout {
        version: 1,
        pools: 8,
    };
    let mut counts = [0; 8];
    for number in 0..1_000 {
        let id = ExecutorId(format!("i-{number:010x}").into());
        counts[usize::try_from(layout.index_of(&id)).unwrap()] += 1;
    }
    assert!(
        counts.iter().all(|count| (90..165).contains(count)),
        "{counts:?}"
    );
}

#[rstest]
#[case("kigali-a/0")]
#[case("z/with/slash/12")]
fn pool_id_round_trips(#[case] text: &str) {
    let id: PoolId = text.parse().expect("a pool id");
    assert_eq!(id.to_string(), text);
}

#[test]
fn layout_round_trips() {
    let layout = ShardLayout {
        version: 7,
        pools: 3,
    };
    assert_eq!(ShardLayout::from_text(&layout.to_text()), Some(layout));
    assert_eq!(ShardLayout::from_text("7 0"), None);
    assert_eq!(ShardLayout::from_text(""), None);
}
