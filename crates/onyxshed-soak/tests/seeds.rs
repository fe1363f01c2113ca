//! A short soak, and every seed that ever failed.

use std::time::Duration;

use onyxshed_soak::faults::FaultMix;
use onyxshed_soak::fleet::ExecutorClocks;
use onyxshed_soak::run::must_hold;
use onyxshed_soak::{SoakOptions, soak};
use rstest::rstest;

/// Plays a soak in which every promise has to hold and something has to be served.
fn holds_and_serves(options: &SoakOptions) {
    let report = soak(options).expect("it runs");
    must_hold(&report).expect("every promise holds");
    assert!(report.completed > 0, "nothing was served");
}

/// An executor stands still past its leases and finds orders in its sockets when it goes on. The
/// stand-in ended its runs as of that moment, not of their leases' end, and so seemed to run tasks
/// that were at work elsewhere.
#[test]
fn seed_116_executor_thaws_after_its_leases() {
    let report = soak(&SoakOptions::of_seed(116)).expect("it runs");
    must_hold(&report).expect("every promise holds");
}

/// One host is stopped twice or three times within its grace. The soak itself killed the process that it
/// had started again after the first stop, six seconds after the second, and callers were cut off.
#[rstest]
#[case(940)]
#[case(943)]
fn stops_that_overlap_are_planned_work_all_the_same(#[case] seed: u64) {
    let options = SoakOptions {
        mix: FaultMix::Planned,
        ..SoakOptions::of_seed(seed)
    };
    let report = soak(&options).expect("it runs");
    must_hold(&report).expect("every promise holds");
}

/// A job that can never be done put all three executors of a zone out of use for up to a second, and
/// jobs that could only be late by then were refused at once: 35 of 39 and 36 of 42 callers were served
/// when all faults were over.
#[rstest]
#[case(903)]
#[case(904)]
fn one_hopeless_job_takes_no_zone_out_of_use(#[case] seed: u64) {
    let report = soak(&SoakOptions::of_seed(seed)).expect("it runs");
    must_hold(&report).expect("every promise holds");
}

/// Hosts are stopped, told to reload and given new manifests, in series and overlapping, with
/// nothing else wrong. A caller whose request was taken and whose connection ends without an answer
/// was cut off by a host that ended before it had answered.
#[test]
fn planned_work_alone_cuts_off_no_request() {
    let options = SoakOptions {
        mix: FaultMix::Planned,
        ..SoakOptions::of_seed(21)
    };
    holds_and_serves(&options);
}

/// Executors take up to ten times as long for a while, under the runs that they have. Jobs are refused or
/// given up by what is believed of their speed; what is said of them has to be true all the same.
#[test]
fn slow_executors_make_no_answer_untrue() {
    let options = SoakOptions {
        mix: FaultMix::Slow,
        ..SoakOptions::of_seed(31)
    };
    holds_and_serves(&options);
}

/// Guards against tasks that start in an evacuated zone while owners and executors are killed, and against
/// callers who are not served once the zones are restored.
#[rstest]
#[case(51)]
#[case(52)]
fn evacuated_zones_get_no_task(#[case] seed: u64) {
    let options = SoakOptions {
        mix: FaultMix::Evacuations,
        ..SoakOptions::of_seed(seed)
    };
    holds_and_serves(&options);
}

/// Executors' clocks are ahead and slow, as far as the platform allows: leases that are reckoned on
/// the wrong clock would end too early, and tasks would run twice.
#[test]
fn executors_clocks_that_are_off_break_no_promise() {
    let mut options = SoakOptions::of_seed(13);
    options.fleet.clocks = ExecutorClocks::Off;
    options.length = Duration::from_secs(5);
    holds_and_serves(&options);
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
    holds_and_serves(&options);
}
