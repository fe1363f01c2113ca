//! Failing executors and jobs in the queueing model.

use onyxshed_policy::{BreakerReason, PlacementKind, PolicyDecision};
use rstest::rstest;

use crate::figures::{HOSTS, SEED, compare, mixed_fleet, two_classes};
use crate::fixture::target;
use crate::model::Model;
use crate::parts::{Fault, ModelExecutor, Stream};

/// When faults begin, in milliseconds.
const FROM_MS: u64 = 4_000;

/// When arrivals end, in milliseconds.
const UNTIL_MS: u64 = 12_000;

/// Minimum share of deadlines that a class meets while executors fail.
const HITS_MIN: f64 = 0.95;

/// Maximum number of messages that contribute to no answer, per answered task, while executors
/// fail.
const WASTED_MAX: f64 = 0.10;

fn fleet_with(fault: Fault, indices: std::ops::Range<usize>) -> Vec<ModelExecutor> {
    let mut fleet = mixed_fleet();
    for index in indices {
        fleet[index] = fleet[index].clone().with_fault(fault, FROM_MS, u64::MAX);
    }
    fleet
}

fn model(streams: &[Stream], execs: Vec<ModelExecutor>) -> Model {
    Model::new(
        PlacementKind::LeastFinish,
        HOSTS,
        SEED,
        streams.to_vec(),
        execs,
    )
}

/// Four seconds into the run one executor, or a rack of four, fails permanently without notice. Its
/// tasks are lost, fail or are late until the breakers open; later tasks are sent to other
/// executors. Each class must still meet nearly all deadlines, with few wasted messages.
#[rstest]
#[case::slow("slow", Fault::Slow(20.0), 2..3, Some(BreakerReason::Slow))]
#[case::fails_all("fails_all", Fault::FailsAll, 2..3, Some(BreakerReason::Failing))]
#[case::silent("silent", Fault::Silent, 2..3, None)]
#[case::dead("dead", Fault::Dead, 2..3, Some(BreakerReason::Dead))]
#[case::rack("rack", Fault::Dead, 0..4, Some(BreakerReason::Dead))]
fn classes_meet_deadlines_while_executors_fail(
    #[case] name: &str,
    #[case] fault: Fault,
    #[case] indices: std::ops::Range<usize>,
    #[case] reason: Option<BreakerReason>,
) {
    let (streams, fleet) = (two_classes(0.5, UNTIL_MS), fleet_with(fault, indices));
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
    let decisions: Vec<PolicyDecision> = model
        .policies
        .iter_mut()
        .flat_map(|p| p.drain_decisions())
        .collect();
    let is_opened = |wanted| {
        let opened = |decision: &PolicyDecision| {
            matches!(
                decision,
                PolicyDecision::BreakerOpened { reason, .. } if *reason == wanted
            )
        };
        decisions.iter().any(opened)
    };
    assert!(reason.is_none_or(is_opened), "{decisions:?}");
    let text = compare(&PlacementKind::ALL, &streams, &fleet);
    insta::assert_snapshot!(format!("fault_{name}"), text);
}

/// Every task of one class fails on every executor, while two other classes succeed. No executor is
/// at fault, so no breaker may open. The class must be marked unrunnable, its jobs must get the
/// result code for that, and the other classes must meet their deadlines.
#[test]
fn unrunnable_class_opens_no_breaker() {
    let mut streams = two_classes(0.5, UNTIL_MS);
    let mut unrunnable = Stream::new(target("never", "desk", 2_000, true), 20.0, 50.0, UNTIL_MS);
    unrunnable.never_runs = true;
    streams.push(unrunnable);
    let mut model = model(&streams, mixed_fleet());
    model.run();
    for tally in &model.tallies[..2] {
        assert!(tally.hit_share() >= 0.99, "{tally:?}");
    }
    let decisions: Vec<PolicyDecision> = model
        .policies
        .iter_mut()
        .flat_map(|p| p.drain_decisions())
        .collect();
    let is_breaker =
        |decision: &PolicyDecision| matches!(decision, PolicyDecision::BreakerOpened { .. });
    let is_unrunnable =
        |decision: &PolicyDecision| matches!(decision, PolicyDecision::ClassUnrunnable { .. });
    assert!(!decisions.iter().any(is_breaker), "{decisions:?}");
    assert!(decisions.iter().any(is_unrunnable), "{decisions:?}");
    let text = compare(&PlacementKind::ALL, &streams, &mixed_fleet());
    insta::assert_snapshot!("never_runs", text);
}

/// An executor recovers from being slow, dead or failing without notice. Probes alone must bring it
/// back into use.
#[rstest]
#[case(Fault::Slow(20.0))]
#[case(Fault::FailsAll)]
#[case(Fault::Silent)]
#[case(Fault::Dead)]
fn recovered_executor_gets_tasks_again(#[case] fault: Fault) {
    let mut fleet = mixed_fleet();
    fleet[2] = fleet[2].clone().with_fault(fault, FROM_MS, 6_000);
    let mut model = model(&two_classes(0.5, 16_000), fleet);
    model.run();
    let late_starts = model.starts_on(2, 14_000);
    assert!(
        late_starts > 0,
        "no task was started on the recovered executor"
    );
}

/// No executor can be reached for two seconds, as when this host's own network is down, and every
/// breaker opens. Callers get "not run" meanwhile. Two seconds after the recovery every deadline
/// must be met again: a few probes per second detect it, and the first success moves the other
/// probes forward.
#[test]
fn deadlines_are_met_after_every_executor_was_unreachable() {
    let mut fleet = mixed_fleet();
    for exec in &mut fleet {
        *exec = exec.clone().with_fault(Fault::Dead, FROM_MS, 6_000);
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
