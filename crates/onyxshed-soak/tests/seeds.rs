//! A short soak, and every seed that ever failed.

use std::time::Duration;

use onyxshed_soak::run::must_hold;
use onyxshed_soak::{SoakOptions, soak};
use rstest::rstest;

/// An executor stands still past its leases and finds orders in its sockets when it goes on. The
/// stand-in ended its runs as of that moment, not of their leases' end, and so seemed to run tasks
/// that were at work elsewhere.
#[test]
fn seed_116_executor_thaws_after_its_leases() {
    let report = soak(&SoakOptions::of_seed(116)).expect("it runs");
    must_hold(&report).expect("every promise holds");
}

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
