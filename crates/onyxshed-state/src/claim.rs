//! Which host may start a submission: the first claim in log order.
//!
//! A host that wants an unbound submission queues a claim; claims go out in batches, one append a
//! batch, paced so that all hosts together stay under what the log takes. A claim counts only when
//! it has been read back: then every earlier record has been read too, so the first claim is known.
//! A bound submission needs no claim, because only the incarnation it names may start it.

use std::collections::{HashMap, VecDeque};

use onyxshed_core::{Incarnation, Millis, Mono, Now, Offset, RatePerS, SubmissionId};
use onyxshed_wire::ContentHash;
use onyxshed_wire::record::{Claim, ClaimBatch, ClaimRecord};

/// Limits of the claim book.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOptions {
    /// Ids older than this are refused; less than half of the log's retention. Default 10 min.
    pub horizon_ms: Millis,
    /// Most that two hosts' wall clocks differ. Default 2 s.
    pub skew_ms: Millis,
    /// Appends a second that this host may make. Default 30.
    pub appends_per_s: RatePerS,
    /// Most claims in one batch. Default 500.
    pub batch_max: usize,
    /// Most claims remembered. Default 1,000,000.
    pub claims_max: usize,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        ClaimOptions {
            horizon_ms: Millis(600_000),
            skew_ms: Millis(2_000),
            appends_per_s: RatePerS(30),
            batch_max: 500,
            claims_max: 1_000_000,
        }
    }
}

/// What to do with a submission that this host has no job for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// This host holds it and may start it.
    Start,
    /// A claim is queued or under way; [`Settled`] tells later.
    Wait,
    /// Another incarnation holds it.
    HeldBy(Incarnation),
    /// It was claimed with other content.
    OtherContent,
    /// Its id is past the horizon.
    TooOld,
    /// Its id's time lies ahead of the clock.
    FromFuture,
    /// The log can't be reached or has not been read to its end yet.
    Unavailable,
}

/// How a claim ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// This host holds the submission.
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
pub struct Settled {
    /// The submission.
    pub submission: SubmissionId,
    /// How the claim ended.
    pub verdict: Verdict,
}

/// What to do about the log now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchStep {
    /// Append this record and tell [`ClaimBook::appended`] how it went.
    Append(ClaimBatch),
    /// Ask again at that time.
    WaitUntil(Mono),
    /// Nothing to append.
    Idle,
}

/// Why an append brought no offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFailure {
    /// Provably not appended.
    NotAppended,
    /// Its answer was lost; it may stand in the log.
    AnswerLost,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    by: Incarnation,
    content: ContentHash,
}

/// One host's view of all claims.
#[derive(Debug)]
pub struct ClaimBook {
    me: Incarnation,
    options: ClaimOptions,
    held: HashMap<SubmissionId, Held>,
    wanted: VecDeque<Claim>,
    in_flight: Option<ClaimBatch>,
    last_batch: u64,
    next: Offset,
    is_caught_up: bool,
}

impl ClaimBook {
    /// Makes an empty book for this incarnation.
    pub fn new(me: Incarnation, options: ClaimOptions) -> Self {
        ClaimBook {
            me,
            options,
            held: HashMap::new(),
            wanted: VecDeque::new(),
            in_flight: None,
            last_batch: 0,
            next: Offset::default(),
            is_caught_up: false,
        }
    }

    /// Tells whether the log has been read to its end.
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Gets the offset to read from next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Decides about a submission that this host has no job for, and queues a claim if it needs one.
    pub fn consult(&mut self, now: Now, id: SubmissionId, content: ContentHash) -> ClaimStep {
        let step = self.peek(now, id, Some(content));
        if step == ClaimStep::Wait {
            self.wanted.push_back(Claim {
                submission: id,
                content,
                replaces: None,
            });
        }
        step
    }

    /// Tells what [`ClaimBook::consult`] would decide, without queueing a claim; without a content
    /// none is compared.
    pub fn peek(&self, now: Now, id: SubmissionId, content: Option<ContentHash>) -> ClaimStep {
        if now.wall.since(id.time()) > self.options.horizon_ms {
            return ClaimStep::TooOld;
        }
        if id.time().since(now.wall) > self.options.skew_ms {
            return ClaimStep::FromFuture;
        }
        match id.bound_to {
            Some(holder) if holder == self.me => return ClaimStep::Start,
            Some(holder) => return ClaimStep::HeldBy(holder),
            None => {}
        }
        match self.held.get(&id) {
            Some(held) if content.is_some_and(|found| found != held.content) => {
                ClaimStep::OtherContent
            }
            Some(held) if held.by == self.me => ClaimStep::Start,
            Some(held) => ClaimStep::HeldBy(held.by),
            None if !self.is_caught_up => ClaimStep::Unavailable,
            None => ClaimStep::Wait,
        }
    }

    /// Tells whether a task of a held submission may still be started: false once other hosts may
    /// have forgotten the claim.
    pub fn may_start(&self, now: Now, id: SubmissionId) -> bool {
        now.wall.since(id.time()) <= self.options.horizon_ms
    }

    /// Decides whether to append a batch now.
    pub fn next_batch(&mut self, _now: Now) -> BatchStep {
        if self.in_flight.is_some() || self.wanted.is_empty() {
            return BatchStep::Idle;
        }
        let count = self.wanted.len().min(self.options.batch_max);
        self.last_batch += 1;
        let batch = ClaimBatch {
            by: self.me,
            batch: self.last_batch,
            claims: self.wanted.drain(..count).collect(),
            releases: Vec::new(),
        };
        self.in_flight = Some(batch.clone());
        BatchStep::Append(batch)
    }

    /// Takes in how an append went.
    pub fn appended(
        &mut self,
        _now: Now,
        batch: u64,
        result: Result<Offset, AppendFailure>,
    ) -> Vec<Settled> {
        match (result, self.in_flight.take()) {
            (Err(_), Some(sent)) if sent.batch == batch => sent
                .claims
                .iter()
                .map(|claim| Settled {
                    submission: claim.submission,
                    verdict: Verdict::Failed,
                })
                .collect(),
            _ => Vec::new(),
        }
    }

    /// Takes in a record of the `claims` stream.
    pub fn read(&mut self, _now: Now, offset: Offset, data: &str) -> Vec<Settled> {
        if offset < self.next {
            return Vec::new();
        }
        self.next = offset.next();
        let Ok(ClaimRecord::ClaimsV1(batch)) = ClaimRecord::decode(data) else {
            return Vec::new();
        };
        batch
            .claims
            .iter()
            .filter_map(|claim| self.settle(batch.by, claim))
            .collect()
    }

    /// Notes that the stream was read up to `next`, the offset of the next append.
    pub fn caught_up(&mut self, next: Offset) {
        if self.next >= next {
            self.is_caught_up = true;
        }
    }

    /// Notes that the log can't be reached.
    pub fn lost_log(&mut self) {
        self.is_caught_up = false;
    }

    /// Forgets what the horizon has made needless.
    pub fn expire(&mut self, now: Now) {
        let keep_ms = Millis(self.options.horizon_ms.0 + 2 * self.options.skew_ms.0);
        self.held
            .retain(|id, _| now.wall.since(id.time()) <= keep_ms);
    }

    fn settle(&mut self, by: Incarnation, claim: &Claim) -> Option<Settled> {
        let fresh = Held {
            by,
            content: claim.content,
        };
        let held = *self.held.entry(claim.submission).or_insert(fresh);
        if by != self.me {
            return None;
        }
        let verdict = match held {
            held if held.content != claim.content => Verdict::OtherContent,
            held if held.by == self.me => Verdict::Won,
            held => Verdict::HeldBy(held.by),
        };
        Some(Settled {
            submission: claim.submission,
            verdict,
        })
    }
}
