//! Tests of the tally, its report, and the parsers of process usage.

use onyxshed_core::ResultCode;
use onyxshed_load::mix::Mix;
use onyxshed_load::process::{processor_ms, resident_kib};
use onyxshed_load::report::Report;
use onyxshed_load::tally::{JobEnd, Tally};
use rstest::rstest;

fn end(code: Option<ResultCode>, took_us: u64) -> JobEnd {
    JobEnd {
        class: 0,
        tasks: 2,
        code,
        took_us,
        ideal_us: 100_000,
        finish_within_us: 2_000_000,
    }
}

#[rstest]
fn only_complete_jobs_in_time_are_hits() {
    let mut tally = Tally::new(Mix::Inzira);
    tally.record(&end(Some(ResultCode::Complete), 150_000));
    tally.record(&end(Some(ResultCode::Complete), 3_000_000));
    tally.record(&end(Some(ResultCode::Overloaded), 1_000));
    tally.record(&end(None, 9_000_000));
    tally.wasted.refusals = 1;
    insta::assert_snapshot!(Report::new(&tally, 5, 2.0, 800));
}

#[rstest]
fn usage_is_parsed_from_proc_text() {
    let status = "Name:\tonyxshed-entry\nVmPeak:\t 9 kB\nVmRSS:\t   12345 kB\n";
    let stat = "7 (a ) b) S 1 7 7 0 -1 4194304 100 0 0 0 150 50 0 0 20 0 1 0";
    assert_eq!(resident_kib(status), 12_345);
    assert_eq!(processor_ms(stat, 100), 2_000);
}
