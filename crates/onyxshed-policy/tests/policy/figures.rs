//! The three placements side by side; the figures are kept as a snapshot.

use std::fmt::Write;

use onyxshed_policy::PlacementKind;

use crate::fixture::{executor, target};
use crate::model::{Exec, Model, Stream};

/// Twelve executors of speeds 1, 2 and 4.
pub fn mixed_fleet() -> Vec<Exec> {
    let speeds = [1.0, 2.0, 4.0];
    let execs = (0..12).map(|index| {
        let info = executor(&format!("x{index:02}"), "desk", 8);
        Exec::new(info, speeds[index % 3])
    });
    execs.collect()
}

/// Two classes that use `load` of what the mixed fleet can do; one of them may run twice.
pub fn two_classes(load: f64, until_ms: u64) -> Vec<Stream> {
    // Service medians of 400 ms and 200 ms at speed 1; a fleet of 12 has the power of 28 executors
    // of speed 1, 224 slots. The spread of service times adds 14% to the median.
    let per_s = load * 224.0 / (0.4 * 1.14 + 0.2 * 1.14);
    vec![
        Stream::new(target("sync", "desk", 4_000, false), per_s, 400.0, until_ms),
        Stream::new(target("lock", "desk", 1_000, true), per_s, 200.0, until_ms),
    ]
}

/// Runs one model and writes a line for each class.
pub fn line(out: &mut String, kind: PlacementKind, model: &mut Model) {
    model.run();
    let wasted = model.wasted_share() * 100.0;
    for (index, tally) in model.tallies.iter_mut().enumerate() {
        writeln!(
            out,
            "{kind:<18} class {index}: hits {:5.1}% refused {:4.1}% failed {:4.1}% ratio p50 {:5.2} p99 {:6.2}  wasted {wasted:4.2}%",
            tally.hit_share() * 100.0,
            tally.refused as f64 * 100.0 / tally.offered.max(1) as f64,
            tally.failed as f64 * 100.0 / tally.offered.max(1) as f64,
            tally.ratio(0.5),
            tally.ratio(0.99),
        )
        .expect("a string takes text");
    }
}

pub fn compare(hosts: u32, streams: &[Stream], execs: &[Exec]) -> String {
    let mut out = String::new();
    for kind in PlacementKind::ALL {
        let mut model = Model::new(kind, hosts, 11, streams.to_vec(), execs.to_vec());
        line(&mut out, kind, &mut model);
    }
    out
}

#[test]
fn placements_at_80_percent() {
    let text = compare(3, &two_classes(0.8, 20_000), &mixed_fleet());
    insta::assert_snapshot!("placements_at_80_percent", text);
}
