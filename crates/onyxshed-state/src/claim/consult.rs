//! Decides about a submission that arrives.

use onyxshed_core::{Now, SubmissionId, UnixMs};
use onyxshed_wire::ContentHash;
use onyxshed_wire::record::Claim;

use super::ClaimBook;
use super::step::ClaimStep;
use super::table::Standing;

impl ClaimBook {
    /// Tells what [`ClaimBook::consult`] would decide, and neither queues a claim nor takes the
    /// submission as started; without a content none is compared.
    pub fn peek(&self, now: Now, id: SubmissionId, content: Option<ContentHash>) -> ClaimStep {
        if let Some(refusal) = self.judge_time(now, id.time()) {
            return refusal;
        }
        match id.bound_to {
            Some(holder) if holder == self.me => self.peek_bound(id, content),
            Some(holder) => ClaimStep::HeldBy(holder),
            None => self.peek_unbound(id, content),
        }
    }

    fn peek_bound(&self, id: SubmissionId, content: Option<ContentHash>) -> ClaimStep {
        match self.table.bound(id.ulid) {
            Some(found) if content.is_some_and(|content| content != found) => {
                ClaimStep::OtherContent
            }
            Some(_) => ClaimStep::AlreadyStarted,
            None => ClaimStep::Start,
        }
    }

    fn peek_unbound(&self, id: SubmissionId, content: Option<ContentHash>) -> ClaimStep {
        match self.table.get(id.ulid) {
            Some(held) if content.is_some_and(|content| content != held.content) => {
                ClaimStep::OtherContent
            }
            Some(held) if held.by != self.me => ClaimStep::HeldBy(held.by),
            Some(held) if held.standing == Standing::Started => ClaimStep::AlreadyStarted,
            Some(held) if held.standing == Standing::ReleaseQueued => ClaimStep::Start,
            Some(_) | None if !self.is_caught_up => ClaimStep::Unavailable,
            Some(_) | None => ClaimStep::Wait,
        }
    }

    /// Tells whether an id is young enough for its tasks to be started without a claim.
    pub fn is_within_horizon(&self, now: Now, id: SubmissionId) -> bool {
        self.judge_time(now, id.time()).is_none()
    }

    pub(super) fn consult_claim(&mut self, now: Now, claim: Claim) -> ClaimStep {
        self.note_clock(now);
        let id = claim.submission;
        if let Some(refusal) = self.judge_time(now, id.time()) {
            return refusal;
        }
        match id.bound_to {
            Some(holder) if holder == self.me => self.consult_bound(&claim),
            Some(holder) => ClaimStep::HeldBy(holder),
            None => self.consult_unbound(now, claim),
        }
    }

    fn judge_time(&self, now: Now, time: UnixMs) -> Option<ClaimStep> {
        let is_old = self.latest_wall.since(time) > self.options.horizon_ms;
        if is_old || self.table.is_forgotten(time) {
            return Some(ClaimStep::TooOld);
        }
        (time.since(now.wall) > self.options.skew_ms).then_some(ClaimStep::FromFuture)
    }

    fn consult_bound(&mut self, claim: &Claim) -> ClaimStep {
        let id = claim.submission.ulid;
        match self.table.bound(id) {
            Some(content) if content != claim.content => ClaimStep::OtherContent,
            Some(_) => ClaimStep::AlreadyStarted,
            None => {
                self.table.start_bound(id, claim.content);
                ClaimStep::Start
            }
        }
    }

    fn consult_unbound(&mut self, now: Now, claim: Claim) -> ClaimStep {
        let id = claim.submission.ulid;
        match self.table.get(id) {
            Some(held) if held.content != claim.content => ClaimStep::OtherContent,
            Some(held) if held.by != self.me && claim.replaces != Some(held.by) => {
                ClaimStep::HeldBy(held.by)
            }
            Some(held) if held.standing == Standing::Started => ClaimStep::AlreadyStarted,
            Some(held) if held.standing == Standing::ReleaseQueued => {
                self.table.set_standing(id, Standing::Started);
                ClaimStep::Start
            }
            Some(_) | None => self.want(now, claim),
        }
    }

    fn want(&mut self, now: Now, claim: Claim) -> ClaimStep {
        if !self.is_caught_up {
            return ClaimStep::Unavailable;
        }
        match self.queue.get(claim.submission.ulid) {
            Some(pending) if pending.claim.content != claim.content => ClaimStep::OtherContent,
            Some(_) => ClaimStep::Wait,
            None if self.queue.len() >= self.options.claims_max => ClaimStep::Unavailable,
            None => {
                self.queue.push(claim, now.mono + self.options.patience_ms);
                ClaimStep::Wait
            }
        }
    }
}
