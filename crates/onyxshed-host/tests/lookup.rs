//! Rate at which a host calls the store while nothing changes.

use std::time::Duration;

use onyxshed_core::Millis;
use onyxshed_host::directory::OwnerStatus;
use onyxshed_host::manifest::manifest_unknown_max;
use onyxshed_host::store_calls::StorePurpose;
use onyxshed_host::topic::TopicOptions;
use rstest::rstest;

/// Returns the lookups per minute of a host that owns no pool, while every owner answers.
fn lookups_per_minute(zones: usize, pools_per_zone: usize) -> u64 {
    let pools = zones * pools_per_zone;
    let lookups = |status: OwnerStatus, count: usize| {
        let interval = status
            .lookup_interval(pools)
            .expect("a pool of another owner has a lookup interval");
        60_000 * u64::try_from(count).expect("the number of pools fits into 64 bits") / interval.0
    };
    lookups(OwnerStatus::SettledHome, 1)
        + lookups(OwnerStatus::SettledLocal, pools_per_zone - 1)
        + lookups(OwnerStatus::SettledRemote, pools - pools_per_zone)
}

/// If the number of lookups grew with the number of hosts times the number of pools, it would
/// exceed the store's limit, and the store would reject calls.
#[test]
fn lookup_rate_does_not_grow_with_pools() {
    let small = lookups_per_minute(3, 1);
    for (zones, pools_per_zone) in [(3, 2), (5, 2), (6, 4), (15, 8), (15, 16)] {
        assert!(lookups_per_minute(zones, pools_per_zone) <= small);
    }
}

/// Hosts of other zones must not look up a pool as often as the hosts that may acquire it.
#[test]
fn remote_pools_with_stable_owner_are_looked_up_less_often() {
    let local = OwnerStatus::SettledHome
        .lookup_interval(10)
        .expect("a pool of another owner has a lookup interval");
    let remote = OwnerStatus::SettledRemote
        .lookup_interval(10)
        .expect("a pool of another owner has a lookup interval");
    assert!(remote.0 >= 5 * local.0);
}

/// A read on an unresponsive connection must time out early enough that a manifest is still found
/// within the time in which it has to take effect.
#[test]
fn unresponsive_connection_is_replaced_before_manifest_is_overdue() {
    let within = Millis(4_000);
    let found_after_ms = manifest_unknown_max(Some(within)).0 + 700;
    assert!(found_after_ms < within.0);
    assert_eq!(
        manifest_unknown_max(Some(Millis(2_000))),
        manifest_unknown_max(None)
    );
}

/// Guards against a burst of calls when many hosts start at the same time: each would look up every pool at
/// once.
#[test]
fn starting_hosts_look_up_only_their_own_zone() {
    assert!(OwnerStatus::UnsettledLocal.is_looked_up_first());
    assert!(!OwnerStatus::UnsettledRemote.is_looked_up_first());
}

/// Guards against calls that grow with the hosts of a zone times its pools.
#[test]
fn pools_are_looked_up_mainly_by_the_hosts_whose_home_they_are() {
    let rate = |hosts: u64, pools: u64| {
        let interval = |status: OwnerStatus| {
            let count = usize::try_from(pools).expect("a small number");
            let interval = status.lookup_interval(count);
            interval.expect("the pool has another owner").0
        };
        let home = 60_000 * hosts / interval(OwnerStatus::SettledHome);
        home + 60_000 * hosts * (pools - 1) / interval(OwnerStatus::SettledLocal)
    };
    assert!(rate(1_000, 16) <= rate(1_000, 1));
}

/// Guards against bounds that add up to more than the time within which a manifest has to take effect, if a
/// connection to the store or the owner is unresponsive.
#[rstest]
fn manifest_is_known_within_its_time_despite_an_unresponsive_connection(
    #[values(1_350, 1_500, 2_000, 2_400, 3_000, 4_000, 10_000)] within_ms: u64,
) {
    let within = Millis(within_ms);
    let options = TopicOptions {
        name: "keyed.op",
        purpose: StorePurpose::Operators,
        unknown_max: manifest_unknown_max(Some(within)),
        absent_period: None,
    };
    assert!(options.known_within() <= Duration::from(within));
}
