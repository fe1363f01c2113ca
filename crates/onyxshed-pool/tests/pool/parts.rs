//! Identifiers, resources, slowdown estimates and the selection of pools.

use onyxshed_core::{Micros, Millis, Mono};
use onyxshed_pool::speed::Slowdown;
use onyxshed_pool::{Evacuations, JobId, Percent, PoolId, PoolLoad, PoolSelector, Resources};
use rstest::rstest;

#[rstest]
#[case("5c0e7a21d94b36f8", true)]
#[case("5C0E7A21D94B36F8", false)]
#[case("5c0e7a21d94b36f", false)]
#[case("5c0e7a21d94b36f80", false)]
#[case("+c0e7a21d94b36f8", false)]
#[case("", false)]
fn job_id_has_sixteen_lower_case_digits(#[case] text: &str, #[case] is_id: bool) {
    let read: Option<JobId> = text.parse().ok();
    assert_eq!(read.is_some(), is_id);
    assert!(read.is_none_or(|id| id.to_string() == text));
}

#[test]
fn resources_never_go_below_zero() {
    let small = Resources {
        cpu_millis: 10,
        memory_mb: 5,
        accelerators: 0,
    };
    let large = Resources {
        cpu_millis: 4,
        memory_mb: 9,
        accelerators: 1,
    };
    assert_eq!(small.saturating_sub(large).to_string(), "6mcpu 0MB 0acc");
    assert!(!small.can_fit(large));
}

/// A slow executor gets no long tasks and can't show that it has recovered, so its estimated slowdown decays
/// with a half-life of six seconds.
#[test]
fn slowdown_rises_fast_and_decays() {
    let mut slowdown = Slowdown::default();
    for step in 0..10_u64 {
        slowdown.observe(Mono(step * 100_000), Micros(600_000), Micros(100_000));
    }
    let risen = slowdown.factor(Mono(1_000_000));
    let decayed = slowdown.factor(Mono(13_000_000));
    assert!((4.0..6.5).contains(&risen), "{risen}");
    assert!((1.3..1.8).contains(&decayed), "{decayed}");
}

fn pool(zone: &str) -> PoolId {
    PoolId {
        zone: zone.into(),
        index: 0,
    }
}

fn load(free_cores: u64, waiting_core_ms: u64) -> PoolLoad {
    PoolLoad {
        capacity_cpu_millis: 1_000_000,
        free_cpu_millis: free_cores * 1_000,
        waiting_work: waiting_core_ms * 1_000,
        needs_replacement: false,
        successor: None,
        is_closed: false,
        ..PoolLoad::default()
    }
}

fn rank(home: &PoolLoad, away: &PoolLoad, tasks: u16) -> Vec<String> {
    let mut selector = PoolSelector::default();
    selector.update_load(&pool("home"), home.clone());
    selector.update_load(&pool("away"), away.clone());
    let demand = Resources {
        cpu_millis: 27_000,
        memory_mb: 64,
        accelerators: 0,
    };
    let pools = selector.rank_pools(&pool("home"), demand, tasks, &Evacuations::default());
    pools.iter().map(|pool| pool.zone.to_string()).collect()
}

#[test]
fn job_stays_in_home_zone_with_free_capacity() {
    assert_eq!(rank(&load(300, 0), &load(1_000, 0), 8), ["home", "away"]);
}

#[test]
fn job_leaves_home_zone_with_backlog() {
    let waiting = load(0, 60_000);
    assert_eq!(rank(&waiting, &load(600, 0), 4), ["away", "home"]);
}

#[test]
fn closed_pool_is_left_out() {
    let closed = PoolLoad {
        is_closed: true,
        ..load(1_000, 0)
    };
    assert_eq!(rank(&closed, &load(0, 60_000), 4), ["away"]);
}

/// A new owner sends its load report a moment before it acquires its first executor. If the report made
/// entry hosts leave the pool out, callers would get "not run" until the next heartbeat, so the pool comes
/// last instead.
#[test]
fn pool_without_capacity_comes_last() {
    let taking_over = PoolLoad {
        capacity_cpu_millis: 0,
        ..load(0, 0)
    };
    assert_eq!(rank(&taking_over, &load(0, 60_000), 4), ["away", "home"]);
}

#[test]
fn dispatched_job_counts_before_next_report() {
    let mut selector = PoolSelector::default();
    selector.update_load(&pool("home"), load(270, 0));
    selector.update_load(&pool("away"), load(270, 0));
    let demand = Resources {
        cpu_millis: 27_000,
        memory_mb: 64,
        accelerators: 0,
    };
    selector.record_dispatch(&pool("home"), demand, 32, Millis(1_000));
    let pools = selector.rank_pools(&pool("home"), demand, 1, &Evacuations::default());
    assert_eq!(pools[0], pool("away"));
}

#[test]
fn percent_round_trips() {
    let share = Percent::new(41);
    assert_eq!(share.to_string().parse::<Percent>(), Ok(share));
    assert_eq!(Percent::new(250), Percent::ALL);
    assert!("101%".parse::<Percent>().is_err());
}
