//! What the claim book says and is told.

use onyxshed_core::{Incarnation, Mono, SubmissionId};
use onyxshed_wire::record::ClaimBatch;

/// What to do with a submission that this host has no job for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// This host holds it and may start it. Said once, until it is released.
    Start,
    /// A claim is queued or under way; [`Settled`] tells later.
    Wait,
    /// Another incarnation holds it.
    HeldBy(Incarnation),
    /// It was claimed with other content.
    OtherContent,
    /// Its id is past the horizon, or so old that its claim may have been forgotten.
    TooOld,
    /// Its id's time lies ahead of the clock.
    FromFuture,
    /// The log can't be reached or has not been read to its end yet.
    Unavailable,
    /// This host was told to start it before and has no job for it any more.
    AlreadyStarted,
}

/// How a claim ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This host holds the submission and may start it.
    Won,
    /// Another incarnation holds it.
    HeldBy(Incarnation),
    /// It was claimed earlier with other content.
    OtherContent,
    /// The append failed, or its answer was lost and it has not been read back in time. The claim
    /// may still turn up; the submission is not started on its account.
    Failed,
}

/// A claim that was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettledClaim {
    /// The submission.
    pub submission: SubmissionId,
    /// How the claim ended.
    pub outcome: ClaimOutcome,
}

/// What to do about the log now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchStep {
    /// Append this record and tell [`ClaimBook::appended`](super::ClaimBook::appended) how it went,
    /// whatever happens: no other batch goes out before.
    Append(ClaimBatch),
    /// Ask again at that time, after [`ClaimBook::tick`](super::ClaimBook::tick).
    WaitUntil(Mono),
    /// Nothing to append or to wait for but what is under way.
    Idle,
}

/// Counts of the claim book, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Claims remembered.
    pub held: usize,
    /// Claims queued or under way.
    pub pending: usize,
    /// Incarnations whose batches are remembered.
    pub claimants: usize,
    /// Records that could not be read.
    pub unreadable: u64,
    /// Batches that turned up after a later one of the same claimant and were ignored.
    pub stale_batches: u64,
    /// Claims forgotten before their time, because the book was full.
    pub evicted: u64,
    /// Times that records were lost before they were read.
    pub gaps: u64,
}
