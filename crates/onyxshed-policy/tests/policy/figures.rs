//! Comparison of the three placements on the same arrivals; the results are stored as snapshots.

use std::fmt::Write;

use onyxshed_policy::PlacementKind;
use rstest::rstest;

use crate::fixture::{at_ms, executor, target};
use crate::model::Model;
use crate::parts::{ModelExecutor, Stream};

/// Number of entry hosts that share the fleet.
pub const HOSTS: u32 = 3;

/// Seed of the runs whose results are stored as snapshots.
pub const SEED: u64 = 11;

/// Returns twelve executors of speeds 1, 2 and 4.
pub fn mixed_fleet() -> Vec<ModelExecutor> {
    let speeds = [1.0, 2.0, 4.0];
    let execs = (0..12).map(|index| {
        let info = executor(&format!("x{index:02}"), "desk", 8);
        ModelExecutor::new(info, speeds[index % 3])
    });
    execs.collect()
}

/// Returns two classes that use the fraction `load` of the mixed fleet's capacity; the second may
/// run twice.
pub fn two_classes(load: f64, until_ms: u64) -> Vec<Stream> {
    // The median service times are 400 ms and 200 ms at speed 1. The 12 executors have the capacity
    // of 28 executors of speed 1, which is 224 slots. The variance of the service times adds 14% to
    // the median.
    let per_s = load * 224.0 / (0.4 * 1.14 + 0.2 * 1.14);
    vec![
        Stream::new(target("sync", "desk", 4_000, false), per_s, 400.0, until_ms),
        Stream::new(target("lock", "desk", 1_000, true), per_s, 200.0, until_ms),
    ]
}

/// Runs a model and appends one line of results per stream to `out`.
pub fn line(out: &mut String, kind: PlacementKind, model: &mut Model) {
    model.run();
    let wasted = model.wasted_share() * 100.0;
    for (index, tally) in model.tallies.iter_mut().enumerate() {
        let share = |count: u64| count as f64 * 100.0 / tally.offered.max(1) as f64;
        let (hits, refused, failed) =
            (tally.hit_share(), share(tally.refused), share(tally.failed));
        writeln!(
            out,
            "{kind:<18}{index}: hits {:5.1}% refused {refused:4.1}% failed {failed:4.1}% \
             ratio mean {:5.2} p50 {:5.2} p99 {:6.2} wasted {wasted:6.2}%",
            hits * 100.0,
            tally.mean_ratio(),
            tally.ratio(0.5),
            tally.ratio(0.99),
        )
        .expect("writing to a string cannot fail");
    }
}

/// Runs each placement on the same arrivals and returns a table of the results.
pub fn compare(kinds: &[PlacementKind], streams: &[Stream], execs: &[ModelExecutor]) -> String {
    let mut out = String::new();
    for kind in kinds {
        let mut model = Model::new(*kind, HOSTS, SEED, streams.to_vec(), execs.to_vec());
        line(&mut out, *kind, &mut model);
    }
    out
}

#[rstest]
#[case("50", 0.5)]
#[case("80", 0.8)]
#[case("95", 0.95)]
fn placements_match_their_snapshots(#[case] name: &str, #[case] load: f64) {
    let text = compare(
        &PlacementKind::ALL,
        &two_classes(load, 12_000),
        &mixed_fleet(),
    );
    insta::assert_snapshot!(format!("placements_at_{name}_percent"), text);
}

/// Executors refuse a start instead of queueing it, so every wrong guess about a shared slot is a
/// wasted message. Three hosts at 80% load must waste less than 2%.
#[test]
fn refusing_executors_waste_few_messages() {
    let mut fleet = mixed_fleet();
    fleet.iter_mut().for_each(|exec| exec.queue_max = 0);
    let streams = two_classes(0.8, 12_000);
    let kind = PlacementKind::LeastFinish;
    let mut model = Model::new(kind, HOSTS, SEED, streams.clone(), fleet.clone());
    model.run();
    assert!(model.wasted_share() < 0.02, "{}", model.wasted_share());
    let text = compare(&PlacementKind::ALL, &streams, &fleet);
    insta::assert_snapshot!("executors_that_refuse", text);
}

/// Three hosts lose contact with one another, so each counts itself as the only host. They must
/// detect each other's tasks in the executors' load reports; otherwise most starts would queue at
/// the executors, where no deadline orders them.
#[test]
fn isolated_hosts_detect_each_other_by_load_reports() {
    let streams = two_classes(0.8, 12_000);
    let mut model = Model::new(
        PlacementKind::LeastFinish,
        HOSTS,
        SEED,
        streams,
        mixed_fleet(),
    );
    for policy in &mut model.policies {
        policy.set_zone_hosts(at_ms(0), 1);
    }
    model.run();
    let waited = model.queued_at_executor as f64 / model.sent as f64;
    assert!(
        waited < 0.25,
        "a share of {waited} of the starts queued at their executor"
    );
}
