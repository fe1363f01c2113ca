//! How an append to the platform's log can fail.

/// Why an append brought no offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFailure {
    /// Provably not appended.
    NotAppended,
    /// Its answer was lost; it may stand in the log, or turn up there later.
    AnswerLost,
}
