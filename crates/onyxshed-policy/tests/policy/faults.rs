//! Executors and jobs that go wrong, against the queueing model.

use onyxshed_policy::{BreakerReason, PlacementKind, PolicyDecision};
use rstest::rstest;

use crate::figures::{HOSTS, SEED, compare, mixed_fleet, two_classes};
use crate::fixture::target;
use crate::model::Model;
use crate::parts::{Exec, Fault, Stream};

/// When faults begin, in milliseconds.
const FROM_MS: u64 = 4_000;

/// When arrivals end, in milliseconds.
const UNTIL_MS: u64 = 12_000;

/// Least share of deadlines met that a class keeps while executors fail.
const HITS_MIN: f64 = 0.95;

/// Most messages that serve no answer while executors fail.
const WASTED_MAX: f64 = 0.10;

fn fleet_with(fault: Fault, seats: std::ops::Range<usize>) -> Vec<Exec> {
    let mut fleet = mixed_fleet();
    for seat in seats {
        fleet[seat] = fleet[seat].clone().faulty(fault, FROM_MS, u64::MAX);
    }
    fleet
}

fn model(streams: &[Stream], execs: Vec<Exec>) -> Model {
    Model::new(
        PlacementKind::LeastFinish,
        HOSTS,
        SEED,
        streams.to_vec(),
        execs,
    )
}

/// Four seconds into the run one executor, or a rack of four, goes wrong for good and nobody says
/// so. Callers of either class must hardly notice: tasks that were there are lost, fail or are late,
/// the breakers open, and the rest goes elsewhere with few messages wasted on finding out.
#[rstest]
#[case::slow("slow", Fault::Slow(20.0), 2..3, Some(BreakerReason::Slow))]
#[case::fails_all("fails_all", Fault::FailsAll, 2..3, Some(BreakerReason::Failing))]
#[case::silent("silent", Fault::Silent, 2..3, None)]
#[case::dead("dead", Fault::Dead, 2..3, Some(BreakerReason::Dead))]
#[case::rack("rack", Fault::Dead, 0..4, Some(BreakerReason::Dead))]
fn executors_fail(
    #[case] name: &str,
    #[case] fault: Fault,
    #[case] seats: std::ops::Range<usize>,
    #[case] reason: Option<BreakerReason>,
) {
    let (streams, fleet) = (two_classes(0.5, UNTIL_MS), fleet_with(fault, seats));
    let mut model = model(&streams, fleet.clone());
    model.run();
    for tally in &model.tallies {
        assert!(tally.hit_share() >= HITS_MIN, "{tally:?}");
    }
    assert!(
        model.wasted_share() <= WASTED_MAX,
        "{}",
        model.wasted_share()
    );
    let notes: Vec<PolicyDecision> = model
        .policies
        .iter_mut()
        .flat_map(|p| p.drain_decisions())
        .collect();
    let is_opened = |wanted| {
        let opened = |note: &PolicyDecision| matches!(note, PolicyDecision::BreakerOpened { reason, .. } if *reason == wanted);
        notes.iter().any(opened)
    };
    assert!(reason.is_none_or(is_opened), "{notes:?}");
    let text = compare(&PlacementKind::ALL, &streams, &fleet);
    insta::assert_snapshot!(format!("fault_{name}"), text);
}

/// A class whose every task fails wherever it runs comes in beside two good ones. No executor is at
/// fault, so no breaker may open; the class is blamed, its jobs are told that they never run, and
/// the good classes keep their deadlines.
#[test]
fn a_class_that_can_never_run() {
    let mut streams = two_classes(0.5, UNTIL_MS);
    let mut never = Stream::new(target("never", "desk", 2_000, true), 20.0, 50.0, UNTIL_MS);
    never.never_runs = true;
    streams.push(never);
    let mut model = model(&streams, mixed_fleet());
    model.run();
    for tally in &model.tallies[..2] {
        assert!(tally.hit_share() >= 0.99, "{tally:?}");
    }
    let notes: Vec<PolicyDecision> = model
        .policies
        .iter_mut()
        .flat_map(|p| p.drain_decisions())
        .collect();
    let is_breaker = |note: &PolicyDecision| matches!(note, PolicyDecision::BreakerOpened { .. });
    let is_blame = |note: &PolicyDecision| matches!(note, PolicyDecision::ClassUnrunnable { .. });
    assert!(!notes.iter().any(is_breaker), "{notes:?}");
    assert!(notes.iter().any(is_blame), "{notes:?}");
    let text = compare(&PlacementKind::ALL, &streams, &mixed_fleet());
    insta::assert_snapshot!("never_runs", text);
}

/// An executor is well again after it was slow, dead or failing: it must come back into use by
/// tries alone, as nobody announces that.
#[rstest]
#[case(Fault::Slow(20.0))]
#[case(Fault::FailsAll)]
#[case(Fault::Silent)]
#[case(Fault::Dead)]
fn a_healed_executor_gets_work_again(#[case] fault: Fault) {
    let mut fleet = mixed_fleet();
    fleet[2] = fleet[2].clone().faulty(fault, FROM_MS, 6_000);
    let mut model = model(&two_classes(0.5, 16_000), fleet);
    model.run();
    let late = model.starts_on(2, 14_000);
    assert!(late > 0, "no start on the healed executor");
}

/// No executor can be reached for two seconds, as when this host's own network is down; every breaker
/// opens. Callers are told "not run" meanwhile. Two seconds after the way is back every deadline must
/// be met again: one try a second finds it, and its success brings the others' forward.
#[test]
fn recovery_after_every_executor_was_out_of_reach() {
    let mut fleet = mixed_fleet();
    for exec in &mut fleet {
        *exec = exec.clone().faulty(Fault::Dead, FROM_MS, 6_000);
    }
    let mut streams = two_classes(0.5, 8_000);
    for mut after in two_classes(0.5, UNTIL_MS) {
        after.from_ms = 8_000;
        streams.push(after);
    }
    let mut model = model(&streams, fleet);
    model.run();
    for tally in &model.tallies[2..] {
        assert!(tally.hit_share() >= 0.99, "{tally:?}");
    }
}
