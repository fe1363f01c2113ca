//! The log's budget of lines.

use onyxshed_core::event::Level;
use onyxshed_telemetry::budget::{Budget, LOUD_LINES_PER_S, QUIET_LINES_PER_S, Verdict};

/// Every request of a second fails and writes its line: those past the budget are left out, and
/// the first line of the next second says how many.
#[test]
fn what_is_left_out_is_said_with_the_next_second() {
    let mut budget = Budget::default();
    let verdicts: Vec<Verdict> = (0..LOUD_LINES_PER_S + 7)
        .map(|_| budget.decide(5, Level::Warn))
        .collect();
    let written = verdicts
        .iter()
        .filter(|verdict| **verdict == Verdict::Write);
    assert_eq!(written.count(), usize::try_from(LOUD_LINES_PER_S).unwrap());
    assert_eq!(budget.decide(6, Level::Warn), Verdict::WriteAfter(7));
    assert_eq!(budget.decide(6, Level::Warn), Verdict::Write);
}

/// A flood of ordinary lines takes nothing from the lines on failures.
#[test]
fn failures_have_a_budget_of_their_own() {
    let mut budget = Budget::default();
    for _ in 0..QUIET_LINES_PER_S * 2 {
        budget.decide(1, Level::Info);
    }
    assert_eq!(budget.decide(1, Level::Info), Verdict::LeaveOut);
    assert_eq!(budget.decide(1, Level::Error), Verdict::Write);
}
