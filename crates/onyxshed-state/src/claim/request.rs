//! Decides about a submission that arrives.

use onyxshed_core::{Incarnation, Now, SubmissionId, UnixMs};
use onyxshed_wire::ContentHash;
use onyxshed_wire::record::Claim;

use super::ClaimBook;
use super::step::ClaimStep;
use super::table::Standing;

impl ClaimBook {
    /// Tells what [`ClaimBook::consult`] would decide, and neither queues a claim nor takes the
    /// submission as started; without a content none is compared.
    pub fn peek(&self, now: Now, id: SubmissionId, content: Option<ContentHash>) -> ClaimStep {
        self.judge(now, id, content, None)
    }

    /// Tells whether an id is young enough for its tasks to be started without a claim.
    pub fn is_within_horizon(&self, now: Now, id: SubmissionId) -> bool {
        self.judge_time(now, id.time()).is_none()
    }

    /// Decides, and acts on the decision: takes the submission as started or queues its claim.
    pub(super) fn consult_claim(&mut self, now: Now, claim: Claim) -> ClaimStep {
        self.note_clock(now);
        let id = claim.submission;
        let step = self.judge(now, id, Some(claim.content), claim.replaces);
        match step {
            ClaimStep::Start if id.bound_to.is_some() => {
                self.table.start_bound(id.ulid, claim.content);
            }
            ClaimStep::Start => self.table.set_standing(id.ulid, Standing::Started),
            ClaimStep::Wait if self.queue.get(id.ulid).is_none() => {
                let until = now.mono + self.options.read_back_timeout_ms;
                self.queue.push(claim, until);
            }
            _ => {}
        }
        step
    }

    fn judge(
        &self,
        now: Now,
        id: SubmissionId,
        content: Option<ContentHash>,
        replaces: Option<Incarnation>,
    ) -> ClaimStep {
        if let Some(refusal) = self.judge_time(now, id.time()) {
            return refusal;
        }
        match id.bound_to {
            Some(holder) if holder == self.me => self.judge_bound(id, content),
            Some(holder) => ClaimStep::HeldBy(holder),
            None => self.judge_unbound(id, content, replaces),
        }
    }

    /// Judges an id's age by the latest clock, which a process that was frozen has yet to note.
    fn judge_time(&self, now: Now, time: UnixMs) -> Option<ClaimStep> {
        let is_old = self.clock(now).since(time) > self.options.horizon_ms;
        if is_old || self.table.is_forgotten(time) {
            return Some(ClaimStep::TooOld);
        }
        (time.since(now.wall) > self.options.skew_ms).then_some(ClaimStep::FromFuture)
    }

    fn judge_bound(&self, id: SubmissionId, content: Option<ContentHash>) -> ClaimStep {
        match self.table.bound(id.ulid) {
            Some(found) if differs(content, found) => ClaimStep::OtherContent,
            Some(_) => ClaimStep::AlreadyStarted,
            None => ClaimStep::Start,
        }
    }

    fn judge_unbound(
        &self,
        id: SubmissionId,
        content: Option<ContentHash>,
        replaces: Option<Incarnation>,
    ) -> ClaimStep {
        match self.table.get(id.ulid) {
            Some(held) if differs(content, held.content) => ClaimStep::OtherContent,
            Some(held) if held.by != self.me && replaces != Some(held.by) => {
                ClaimStep::HeldBy(held.by)
            }
            Some(held) if held.standing == Standing::Started => ClaimStep::AlreadyStarted,
            Some(held) if held.standing == Standing::ReleaseQueued => ClaimStep::Start,
            Some(_) | None => self.judge_wanted(id, content),
        }
    }

    fn judge_wanted(&self, id: SubmissionId, content: Option<ContentHash>) -> ClaimStep {
        if !self.is_caught_up {
            return ClaimStep::Unavailable;
        }
        match self.queue.get(id.ulid) {
            Some(pending) if differs(content, pending.claim.content) => ClaimStep::OtherContent,
            Some(_) => ClaimStep::Wait,
            None if self.queue.len() >= self.options.claims_max => ClaimStep::Unavailable,
            None => ClaimStep::Wait,
        }
    }
}

fn differs(content: Option<ContentHash>, found: ContentHash) -> bool {
    content.is_some_and(|content| content != found)
}
