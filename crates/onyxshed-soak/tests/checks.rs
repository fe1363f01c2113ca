//! The checks of a soak, on records of runs that are written here.

use std::collections::BTreeMap;

use onyxshed_soak::checks::{OwnersByZone, find_violations};
use onyxshed_standins::fleet::executor::RunRecord;
use rstest::rstest;
use smol_str::SmolStr;

const TASK: &str = "00000000000000aa.1";

/// Returns the record of an event of the only run on an executor.
fn record(executor: &str, token: u64, event: &str, at_ms: u64) -> (SmolStr, RunRecord) {
    let record = RunRecord {
        task: TASK.into(),
        run: 1,
        token,
        at_ms,
        event: event.into(),
    };
    (executor.into(), record)
}

fn violations(records: &[(SmolStr, RunRecord)]) -> Vec<String> {
    let mut owners = OwnersByZone::default();
    owners.insert("z0".into(), 16, "h-0-1".into());
    owners.insert("z1".into(), 16, "h-1-0".into());
    find_violations(&[], records, &BTreeMap::new(), &owners)
}

/// Guards against a report of two runs that does not tell which owners ordered them.
#[test]
fn overlapping_runs_are_reported_with_their_owners() {
    let found = violations(&[
        record("x-0-0", 16, "start", 1_000),
        record("x-1-0", 16, "start", 1_400),
        record("x-0-0", 16, "done", 1_900),
        record("x-1-0", 16, "done", 2_000),
    ]);
    let line = "a task has at most one run at a time: 00000000000000aa.1 had two for 500 ms: \
        run 1 on x-0-0 by h-0-1 with token 16 from 1000 to 1900; \
        run 1 on x-1-0 by h-1-0 with token 16 from 1400 to 2000";
    assert_eq!(found, [line]);
}

/// Guards against two runs that go unreported because one or both have no recorded end.
#[rstest]
#[case(&[("x-0-0", "done")], "for 500 ms")]
#[case(&[], "without an end")]
fn overlap_with_a_run_without_an_end_is_reported(
    #[case] ends: &[(&str, &str)],
    #[case] overlap: &str,
) {
    let mut records = vec![
        record("x-0-0", 16, "start", 1_000),
        record("x-1-0", 16, "start", 1_400),
    ];
    records.extend(
        ends.iter()
            .map(|(executor, event)| record(executor, 16, event, 1_900)),
    );
    let found = violations(&records);
    assert!(found.len() == 1 && found[0].contains(overlap), "{found:?}");
}

/// Guards against a report of runs that follow one another, whose times may differ by rounding.
#[test]
fn runs_one_after_another_are_not_reported() {
    let found = violations(&[
        record("x-0-0", 16, "start", 1_000),
        record("x-0-0", 16, "lapsed", 1_401),
        record("x-1-0", 16, "start", 1_400),
        record("x-1-0", 16, "done", 2_000),
    ]);
    assert_eq!(found, Vec::<String>::new());
}
