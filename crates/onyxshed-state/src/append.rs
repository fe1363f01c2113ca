//! Failures of an append to the platform's log, distinguished by whether the caller may append the
//! record again.

/// Why an append returned no offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFailure {
    /// The record was provably not appended, so the append may be retried.
    NotAppended,
    /// The answer was lost: the record may be in the log, or may still reach it later.
    AnswerLost,
}
