//! Zones that operators evacuate and restore.

use onyxshed_core::Millis;
use onyxshed_pool::{
    EvacuationChange, EvacuationRecord, Evacuations, JobEnd, JobId, LogPosition, NotRunReason,
    PoolId, PoolLoad, PoolSelector, RunEnd, StartAnswer, UnknownReason,
};
use rstest::rstest;

use crate::fixture::{Harness, at_ms, job, resources};

fn record(zone: &str, position: u64, is_evacuated: bool) -> EvacuationRecord {
    EvacuationRecord {
        zone: zone.into(),
        position: LogPosition(position),
        is_evacuated,
    }
}

fn set_evacuated(harness: &mut Harness, ms: u64, is_evacuated: bool) {
    let actions = harness.pool.set_evacuated(at_ms(ms), is_evacuated);
    harness.actions.extend(actions);
}

/// A record that arrives late must not override a newer record of the same zone.
#[rstest]
#[case(&[3, 7, 9])]
#[case(&[9, 7, 3])]
#[case(&[7, 9, 3, 7])]
#[case(&[3, 9, 9])]
fn newest_record_wins_in_any_order(#[case] positions: &[u64]) {
    let mut known = Evacuations::default();
    for position in positions {
        known.apply(record("a", *position, *position == 9));
    }
    assert!(known.contains("a"));
}

/// A zone must not stay evacuated because its restore record was dropped from the log.
#[test]
fn zone_missing_from_newer_snapshot_is_restored() {
    let mut known = Evacuations::default();
    known.apply(record("a", 3, true));
    let changes = known.apply_snapshot(vec![record("b", 5, true)], LogPosition(6));
    let restored = EvacuationChange::Restored("a".into());
    assert_eq!(changes, [restored, EvacuationChange::Evacuated("b".into())]);
}

/// A snapshot older than the evacuation record must not restore the zone.
#[test]
fn older_snapshot_restores_nothing() {
    let mut known = Evacuations::default();
    known.apply(record("a", 8, true));
    assert_eq!(known.apply_snapshot(Vec::new(), LogPosition(6)), []);
    assert!(known.contains("a"));
}

#[test]
fn records_carry_state_and_position() {
    let mut known = Evacuations::default();
    known.apply(record("a", 8, true));
    known.apply(record("b", 2, true));
    known.apply(record("b", 4, false));
    let mut other = Evacuations::default();
    for record in known.records() {
        other.apply(record);
    }
    assert_eq!(other, known);
    assert_eq!(other.evacuated_zones().collect::<Vec<_>>(), ["a"]);
}

/// Jobs that are queued in an evacuated zone must end as not run immediately, so that other zones'
/// pools can run them.
#[test]
fn evacuation_returns_unstarted_jobs_at_once() {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    harness.submit_and_start(0, job(1, 1, 900));
    harness.submit(1, job(2, 1, 100));
    set_evacuated(&mut harness, 10, true);
    let not_run = JobEnd::NotRun(NotRunReason::ZoneEvacuated, Millis(0));
    assert_eq!(harness.take_ends(), [(JobId(2), not_run)]);
    harness.submit(11, job(3, 1, 100));
    let refused = JobEnd::NotRun(NotRunReason::ZoneEvacuated, Millis(100));
    assert_eq!(harness.take_ends(), [(JobId(3), refused)]);
    assert_eq!(harness.take_starts(), []);
}

/// A job with half of its tasks started in the zone must be completed there, since no other pool can.
#[test]
fn started_job_completes_within_grace_period() {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    let (_, first) = harness.submit_and_start(0, job(1, 2, 100));
    set_evacuated(&mut harness, 10, true);
    harness.report(100, "a", &[], &[(1, first.task, 1, RunEnd::Done)]);
    let (_, second) = harness
        .take_starts()
        .pop()
        .expect("a start order for the second task");
    harness.answer_start(105, "a", &second, &StartAnswer::Started { clock: None });
    harness.report(200, "a", &[], &[(2, second.task, 1, RunEnd::Done)]);
    assert_eq!(harness.take_ends(), [(JobId(1), JobEnd::Completed)]);
}

/// No task may start in the zone seconds after its evacuation was confirmed.
#[test]
fn no_task_starts_after_grace_period() {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    let (_, first) = harness.submit_and_start(0, job(1, 2, 800));
    set_evacuated(&mut harness, 10, true);
    harness.advance(10, 1_100);
    let unknown = JobEnd::Unknown(UnknownReason::ZoneEvacuated);
    assert_eq!(harness.take_ends(), [(JobId(1), unknown)]);
    harness.report(1_110, "a", &[], &[(1, first.task, 1, RunEnd::Done)]);
    harness.advance(1_110, 1_200);
    assert_eq!(harness.take_starts(), []);
}

/// A resubmitted job must not go to another zone while runs of it still execute here, or its tasks would
/// run twice.
#[test]
fn resubmitted_job_is_unknown_while_its_runs_are_stopped() {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    harness.submit_and_start(0, job(1, 2, 1_200));
    set_evacuated(&mut harness, 10, true);
    harness.advance(10, 1_100);
    harness.take_ends();
    harness.submit(1_110, job(1, 2, 1_200));
    let unknown = JobEnd::Unknown(UnknownReason::ZoneEvacuated);
    assert_eq!(harness.take_ends(), [(JobId(1), unknown)]);
}

/// Idle executors of an evacuated zone must get no orders, except to acknowledge their last ends.
#[test]
fn idle_executor_gets_orders_again_only_after_restore() {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    let (_, order) = harness.submit_and_start(0, job(1, 1, 900));
    set_evacuated(&mut harness, 10, true);
    harness.advance(10, 1_100);
    harness.report(1_110, "a", &[], &[(1, order.task, 1, RunEnd::Done)]);
    let acknowledging = harness.take_holds().pop().expect("a hold order").1;
    assert_eq!(acknowledging.last_seen, 1);
    harness.report(1_120, "a", &[], &[]);
    assert_eq!(harness.take_holds(), []);
    set_evacuated(&mut harness, 9_000, false);
    harness.submit(9_001, job(2, 1, 100));
    assert_eq!(harness.take_starts(), [], "its clock is not known yet");
    assert_eq!(harness.take_holds().len(), 1);
    harness.report(9_005, "a", &[], &[]);
    assert_eq!(harness.take_starts().len(), 1);
}

/// The callers of an evacuated zone must not all go to the pool whose name sorts first.
#[test]
fn callers_of_evacuated_zone_prefer_most_free_pool() {
    let pool = |zone: &str| PoolId {
        zone: zone.into(),
        index: 0,
    };
    let load = |free_cpu_millis| PoolLoad {
        capacity_cpu_millis: 1_000_000,
        free_cpu_millis,
        ..PoolLoad::default()
    };
    let mut selector = PoolSelector::default();
    selector.update_load(&pool("a"), load(500_000));
    selector.update_load(&pool("b"), load(900_000));
    selector.update_load(&pool("home"), load(1_000_000));
    let mut evacuations = Evacuations::default();
    evacuations.apply(record("home", 1, true));
    let mut first = Vec::new();
    for _ in 0..6 {
        let order = selector.rank_pools(&pool("home"), resources(100), 1, &evacuations);
        selector.record_dispatch(&order[0], resources(100), 1, Millis(100));
        first.push(order[0].zone.to_string());
    }
    assert_eq!(first, ["b", "b", "b", "b", "a", "b"]);
}
