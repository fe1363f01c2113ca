//! Tests of overload: more work arrives than the upstream can do.

use onyxshed_policy::PlacementKind;

use crate::figures::{HOSTS, SEED, compare, mixed_fleet, two_classes};
use crate::model::Model;
use crate::parts::Stream;

fn model(streams: &[Stream]) -> Model {
    let kind = PlacementKind::LeastFinish;
    let mut model = Model::new(kind, HOSTS, SEED, streams.to_vec(), mixed_fleet());
    model.run();
    model
}

/// Returns the number of deadlines met, weighted by the work of each class.
fn goodput(model: &Model) -> f64 {
    let works = [2.0, 1.0];
    let hits = model.tallies.iter().map(|tally| tally.hits as f64);
    hits.zip(works).map(|(hits, work)| hits * work).sum()
}

/// Work of twice the capacity arrives permanently. Jobs that cannot finish in time must be refused
/// on arrival, so that the useful work stays close to that at full load and is not spent on late
/// tasks.
#[test]
fn goodput_holds_at_twice_the_capacity() {
    let full = model(&two_classes(1.0, 12_000));
    let twice = model(&two_classes(2.0, 12_000));
    let share = goodput(&twice) / goodput(&full);
    assert!(share > 0.75, "{share}");
    let text = compare(
        &PlacementKind::ALL,
        &two_classes(2.0, 12_000),
        &mixed_fleet(),
    );
    insta::assert_snapshot!("overload_200_percent", text);
}

/// Work of twice the capacity arrives for six seconds and of half the capacity afterwards. From two
/// seconds after the end of the overload at least 99% of the jobs of each class must meet their
/// deadlines.
#[test]
fn deadlines_are_met_after_an_overload() {
    let mut streams = two_classes(2.0, 6_000);
    for mut after in two_classes(0.5, 12_000) {
        let mut between = after.clone();
        (between.from_ms, between.until_ms) = (6_000, 8_000);
        after.from_ms = 8_000;
        streams.extend([between, after]);
    }
    let model = model(&streams);
    for tally in [&model.tallies[3], &model.tallies[5]] {
        assert!(tally.hit_share() >= 0.99, "{tally:?}");
    }
}

/// One class sends ten times its usual number of jobs, in addition to these, for two seconds. The
/// other class stays within its fair share, and at least 99% of its jobs must meet their deadlines.
#[test]
fn burst_of_one_class_leaves_the_other_on_time() {
    let mut streams = two_classes(0.5, 12_000);
    let mut burst = streams[1].clone();
    burst.per_s *= 10.0;
    (burst.from_ms, burst.until_ms) = (4_000, 6_000);
    streams.push(burst);
    let model = model(&streams);
    assert!(
        model.tallies[0].hit_share() >= 0.99,
        "{:?}",
        model.tallies[0]
    );
    let text = compare(&PlacementKind::ALL, &streams, &mixed_fleet());
    insta::assert_snapshot!("burst", text);
}
