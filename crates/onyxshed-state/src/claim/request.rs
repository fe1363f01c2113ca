//! Decides whether this host may start a submission that arrives, from its id, the claims in the
//! log and the pending claims.

use onyxshed_core::{Incarnation, Now, SubmissionId, UnixMs};
use onyxshed_wire::ContentHash;
use onyxshed_wire::record::Claim;

use super::ClaimBook;
use super::step::ClaimStep;
use super::table::ClaimState;

impl ClaimBook {
    /// Returns what [`ClaimBook::request_start`] would decide, without queueing a claim or marking
    /// the submission as started. Without `content`, contents are not compared.
    pub fn peek(&self, now: Now, id: SubmissionId, content: Option<ContentHash>) -> ClaimStep {
        self.decide(now, id, content, None)
    }

    /// Returns whether the time of an id is acceptable: neither past the horizon, nor so old that a
    /// claim on it may have been forgotten, nor ahead of the clock by more than the skew.
    pub fn is_within_horizon(&self, now: Now, id: SubmissionId) -> bool {
        self.check_time(now, id.time()).is_none()
    }

    /// Decides whether this host may start the submission of `claim`, and marks it as started or
    /// queues the claim accordingly.
    pub(super) fn request_claim(&mut self, now: Now, claim: Claim) -> ClaimStep {
        self.observe_clock(now);
        let id = claim.submission;
        let step = self.decide(now, id, Some(claim.content), claim.replaces);
        match step {
            ClaimStep::Start if id.bound_to.is_some() => {
                self.table.record_bound_start(id.ulid, claim.content);
            }
            ClaimStep::Start => self.table.set_state(id.ulid, ClaimState::Started),
            ClaimStep::Wait if self.queue.get(id.ulid).is_none() => {
                let deadline = now.mono + self.options.read_back_timeout_ms;
                self.queue.push(claim, deadline);
            }
            _ => {}
        }
        step
    }

    /// Decides about a submission without side effects. `replaces` is the holder that a new claim
    /// would replace.
    fn decide(
        &self,
        now: Now,
        id: SubmissionId,
        content: Option<ContentHash>,
        replaces: Option<Incarnation>,
    ) -> ClaimStep {
        if let Some(rejection) = self.check_time(now, id.time()) {
            return rejection;
        }
        match id.bound_to {
            Some(holder) if holder == self.incarnation => self.decide_bound(id, content),
            Some(holder) => ClaimStep::HeldBy(holder),
            None => self.decide_unbound(id, content, replaces),
        }
    }

    /// Returns the step with which an id is rejected because of its time, or `None` if its time is
    /// acceptable. The age of the id is measured by the later of `now` and the latest wall time
    /// seen, because a process that was frozen may not have recorded the current time yet.
    fn check_time(&self, now: Now, time: UnixMs) -> Option<ClaimStep> {
        let is_old = self.latest_time(now).since(time) > self.options.horizon_ms;
        if is_old || self.table.is_forgotten(time) {
            return Some(ClaimStep::TooOld);
        }
        (time.since(now.wall) > self.options.skew_ms).then_some(ClaimStep::FromFuture)
    }

    fn decide_bound(&self, id: SubmissionId, content: Option<ContentHash>) -> ClaimStep {
        match self.table.bound_content(id.ulid) {
            Some(existing) if differs(content, existing) => ClaimStep::OtherContent,
            Some(_) => ClaimStep::AlreadyStarted,
            None => ClaimStep::Start,
        }
    }

    fn decide_unbound(
        &self,
        id: SubmissionId,
        content: Option<ContentHash>,
        replaces: Option<Incarnation>,
    ) -> ClaimStep {
        match self.table.get(id.ulid) {
            Some(held) if differs(content, held.content) => ClaimStep::OtherContent,
            Some(held) if held.holder != self.incarnation && replaces != Some(held.holder) => {
                ClaimStep::HeldBy(held.holder)
            }
            Some(held) if held.state == ClaimState::Started => ClaimStep::AlreadyStarted,
            Some(held) if held.state == ClaimState::ReleaseQueued => ClaimStep::Start,
            Some(_) | None => self.decide_claimable(id, content),
        }
    }

    /// Decides about a submission that this host could only start after a new claim.
    fn decide_claimable(&self, id: SubmissionId, content: Option<ContentHash>) -> ClaimStep {
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

fn differs(content: Option<ContentHash>, existing: ContentHash) -> bool {
    content.is_some_and(|content| content != existing)
}
