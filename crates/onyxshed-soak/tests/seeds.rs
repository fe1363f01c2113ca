//! A short soak, and every seed that ever failed.

use std::time::Duration;

use onyxshed_soak::run::must_hold;
use onyxshed_soak::{SoakOptions, soak};
use rstest::rstest;

/// A short run of fixed seeds; `onyxshed-soak --seeds N` runs more by hand.
#[rstest]
#[case(11)]
#[case(12)]
fn a_short_soak_breaks_no_promise(#[case] seed: u64) {
    let options = SoakOptions {
        length: Duration::from_secs(5),
        ..SoakOptions::of_seed(seed)
    };
    let report = soak(&options).expect("it runs");
    must_hold(&report).expect("every promise holds");
    assert!(report.completed > 0, "nothing was served");
}
