//! The budget of log lines per second.

use onyxshed_core::event::Level;
use onyxshed_telemetry::budget::{Budget, INFO_LINES_PER_S, LineDecision, WARN_LINES_PER_S};

/// Every request of a second fails and writes a line. Lines over the budget are dropped, and the
/// first line of the next second reports how many.
#[test]
fn dropped_lines_are_reported_in_the_next_second() {
    let mut budget = Budget::default();
    let decisions: Vec<LineDecision> = (0..WARN_LINES_PER_S + 7)
        .map(|_| budget.decide(5, Level::Warn))
        .collect();
    let written = decisions
        .iter()
        .filter(|decision| **decision == LineDecision::Write);
    assert_eq!(written.count(), usize::try_from(WARN_LINES_PER_S).unwrap());
    assert_eq!(
        budget.decide(6, Level::Warn),
        LineDecision::WriteAfterDropped(7)
    );
    assert_eq!(budget.decide(6, Level::Warn), LineDecision::Write);
}

/// A flood of info lines does not use up the budget of warnings and errors.
#[test]
fn flood_of_info_lines_does_not_use_the_budget_of_failures() {
    let mut budget = Budget::default();
    for _ in 0..INFO_LINES_PER_S * 2 {
        budget.decide(1, Level::Info);
    }
    assert_eq!(budget.decide(1, Level::Info), LineDecision::Drop);
    assert_eq!(budget.decide(1, Level::Error), LineDecision::Write);
}
