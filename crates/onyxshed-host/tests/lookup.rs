//! How often a host calls the store while nothing changes.

use onyxshed_core::Millis;
use onyxshed_host::directory::OwnerStatus;
use onyxshed_host::manifest::long_poll_wait;

/// Gets the lookups per minute of a host that owns no pool while every owner answers.
fn lookups_per_minute(zones: usize, pools_a_zone: usize) -> u64 {
    let pools = zones * pools_a_zone;
    let lookups = |status: OwnerStatus, count: usize| {
        let interval = status.lookup_interval(pools).expect("an interval");
        60_000 * u64::try_from(count).expect("few pools") / interval.0
    };
    lookups(OwnerStatus::SettledLocal, pools_a_zone)
        + lookups(OwnerStatus::SettledRemote, pools - pools_a_zone)
}

/// Guards against calls to the store that grow with hosts times pools, until it turns calls away.
#[test]
fn lookups_of_a_host_do_not_grow_with_the_pools() {
    let small = lookups_per_minute(3, 1);
    for (zones, pools_a_zone) in [(3, 2), (5, 2), (6, 4), (15, 8), (15, 16)] {
        assert!(lookups_per_minute(zones, pools_a_zone) <= small);
    }
}

/// Guards against hosts of other zones that look up as often as those that may come to own the pool.
#[test]
fn settled_pools_of_other_zones_are_seldom_looked_up() {
    let local = OwnerStatus::SettledLocal
        .lookup_interval(10)
        .expect("an interval");
    let remote = OwnerStatus::SettledRemote
        .lookup_interval(10)
        .expect("an interval");
    assert!(remote.0 >= 5 * local.0);
}

/// Guards against a silent connection that is trusted for longer than a manifest may take to be in force.
#[test]
fn a_silent_connection_is_replaced_before_a_manifest_is_overdue() {
    let within = Millis(4_000);
    let found_after_ms = long_poll_wait(Some(within)).0 + 700;
    assert!(found_after_ms < within.0);
    assert_eq!(long_poll_wait(Some(Millis(2_000))), long_poll_wait(None));
}
