//! Results and instructions that the claim book returns to the dispatcher.

use onyxshed_core::{Incarnation, Mono, SubmissionId};
use onyxshed_wire::record::ClaimBatch;

/// What to do with a submission for which this host has no job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// This host holds the submission and may start it. Returned once, until the submission is
    /// released.
    Start,
    /// A claim is queued or being appended; its outcome is returned later in a [`ClaimResult`].
    Wait,
    /// Another incarnation holds the submission.
    HeldBy(Incarnation),
    /// The submission was claimed with other content.
    OtherContent,
    /// The id is older than the horizon, or so old that a claim on it may have been forgotten.
    TooOld,
    /// The id's time is ahead of the clock by more than the skew.
    FromFuture,
    /// No claim can be queued: the log can't be reached, has not been read to its end, or too many
    /// claims are pending.
    Unavailable,
    /// This host was allowed to start the submission before and has no job for it any more.
    AlreadyStarted,
}

/// Outcome of a claim that was pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This host holds the submission and may start it.
    Won,
    /// Another incarnation holds the submission.
    HeldBy(Incarnation),
    /// The submission was claimed earlier with other content.
    OtherContent,
    /// The append failed, the log can't be reached, or the claim was not read back in time. The
    /// claim may still be read later, but the submission is not started because of it.
    Failed,
}

/// The outcome of the claim on a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimResult {
    /// The claimed submission, whose claim is no longer pending.
    pub submission: SubmissionId,
    /// Whether this host may start the submission, and if not, why.
    pub outcome: ClaimOutcome,
}

/// What the caller has to do next to get pending claims and releases into the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchStep {
    /// Append this batch and pass the result to
    /// [`ClaimBook::apply_append_result`](super::ClaimBook::apply_append_result) in any case: no
    /// other batch is returned before that.
    Append(ClaimBatch),
    /// Call again at that time, after [`ClaimBook::tick`](super::ClaimBook::tick).
    WaitUntil(Mono),
    /// Nothing can be appended now and there is no deadline: nothing is queued, an append is in
    /// progress, or the log has not been read to its end.
    Idle,
}

/// Counters and sizes of the claim book, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Claims remembered, bound ids included.
    pub held: usize,
    /// Claims that are queued, being appended, or waiting to be read back.
    pub pending: usize,
    /// Incarnations whose batch numbers are remembered.
    pub claimants: usize,
    /// Records of the `claims` stream that could not be decoded.
    pub unreadable: u64,
    /// Batches that were ignored because a later batch of the same claimant was read before them.
    pub stale_batches: u64,
    /// Claims evicted before they expired, because the book was full.
    pub evicted: u64,
    /// Number of times that records were lost before they were read.
    pub gaps: u64,
}
