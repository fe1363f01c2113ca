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
fn a_zone_has_as_many_pools_as_its_executors_need(#[case] executors: usize, #[case] pools: u32) {
    let division = ShardLayout::default();
    let found = division.resharded(executors).unwrap_or(division);
    assert_eq!(found.pools, pools);
}

/// A change of layout loses every job of the zone, so small changes in the number of executors must not
/// cause one.
#[test]
fn a_division_stays_while_it_does() {
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

/// An executor moves to a pool whose group has a lower generation. The token of its new owner must still
/// be higher, or the executor would refuse that owner forever.
#[test]
fn tokens_rise_with_each_division() {
    let old = ShardLayout {
        version: 1,
        pools: 1,
    };
    let new = old.resharded(1_000).expect("a division");
    assert!(new.token(&pool(7), 1) > old.token(&pool(0), 4_000_000));
}

/// If two owners both use an executor, it must fence one of them off, or they would stop each other's
/// runs forever.
#[test]
fn no_two_pools_have_a_token_in_common() {
    let division = ShardLayout {
        version: 1,
        pools: 16,
    };
    let tokens: BTreeSet<_> = (0..16)
        .flat_map(|index| (1..50).map(move |generation| (index, generation)))
        .map(|(index, generation)| division.token(&pool(index), generation))
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
fn every_pool_gets_its_share() {
    let division = ShardLayout {
        version: 1,
        pools: 8,
    };
    let mut counts = [0; 8];
    for number in 0..1_000 {
        let id = ExecutorId(format!("i-{number:010x}").into());
        counts[usize::try_from(division.index_of(&id)).unwrap()] += 1;
    }
    assert!(
        counts.iter().all(|count| (90..165).contains(count)),
        "{counts:?}"
    );
}

#[rstest]
#[case("kigali-a/0")]
#[case("z/with/slash/12")]
fn pools_are_read_as_written(#[case] text: &str) {
    let id: PoolId = text.parse().expect("an id");
    assert_eq!(id.to_string(), text);
}

#[test]
fn a_division_is_read_as_written() {
    let division = ShardLayout {
        version: 7,
        pools: 3,
    };
    assert_eq!(ShardLayout::from_text(&division.to_text()), Some(division));
    assert_eq!(ShardLayout::from_text("7 0"), None);
    assert_eq!(ShardLayout::from_text(""), None);
}
