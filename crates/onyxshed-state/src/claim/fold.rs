//! Applies a batch read from the log and settles the pending claims that it decides.

use onyxshed_core::{Now, SubmissionId};
use onyxshed_wire::record::{Claim, ClaimBatch};

use super::ClaimBook;
use super::step::{ClaimOutcome, ClaimResult};
use super::table::{ClaimEffect, ClaimState};

impl ClaimBook {
    /// Applies the releases of a batch, then its claims, and returns the pending claims that are
    /// decided now. Claims on ids that every host rejects by age are skipped.
    pub(super) fn fold_batch(&mut self, now: Now, batch: &ClaimBatch) -> Vec<ClaimResult> {
        for id in &batch.releases {
            self.table.apply_release(batch.by, id);
        }
        let claim_max_age_ms = self.options.claim_max_age_ms();
        let is_recent =
            |claim: &&Claim| self.latest_wall.since(claim.submission.time()) <= claim_max_age_ms;
        let recent: Vec<Claim> = batch.claims.iter().filter(is_recent).copied().collect();
        recent
            .iter()
            .filter_map(|claim| self.fold_claim(now, batch, claim))
            .collect()
    }

    /// Applies one claim of a batch. Returns the outcome of this host's pending claim on the same
    /// id if it is decided now.
    fn fold_claim(&mut self, now: Now, batch: &ClaimBatch, claim: &Claim) -> Option<ClaimResult> {
        let id = claim.submission;
        let is_own = batch.by == self.incarnation;
        let effect = if is_own {
            self.fold_own_claim(now, batch.batch, claim)
        } else {
            self.table.apply_claim(batch.by, claim, ClaimState::Foreign)
        };
        let pending = self.queue.get(id.ulid)?.claim;
        let current = match effect {
            ClaimEffect::Forgotten => None,
            ClaimEffect::Recorded | ClaimEffect::AlreadyHeld => self.table.get(id.ulid),
        };
        let outcome = match current {
            None => ClaimOutcome::Failed,
            Some(held) if held.content != pending.content => ClaimOutcome::OtherContent,
            Some(held) if held.holder == self.incarnation => self.own_outcome(id)?,
            Some(held) if !is_own && pending.replaces == Some(held.holder) => return None,
            Some(held) => ClaimOutcome::HeldBy(held.holder),
        };
        self.queue.remove(id.ulid);
        if outcome == ClaimOutcome::Won {
            self.table.set_state(id.ulid, ClaimState::Started);
        }
        Some(ClaimResult {
            submission: id,
            outcome,
        })
    }

    /// Applies a claim of this host.
    ///
    /// If no job waits for the claim any more, its job was already reported as not run, so the
    /// claim must not start the submission; it is released.
    fn fold_own_claim(&mut self, now: Now, batch: u64, claim: &Claim) -> ClaimEffect {
        let id = claim.submission;
        let effect = self
            .table
            .apply_claim(self.incarnation, claim, ClaimState::ReleaseSent);
        let is_release_sent = self.claim_state(id) == Some(ClaimState::ReleaseSent);
        if is_release_sent && self.table.is_after_release(id.ulid, batch) {
            self.queue_release(now, id);
        }
        effect
    }

    /// Returns the outcome of a claim that this host holds; `None` while a release of it has been
    /// sent but not read back, because the claim may still be lost.
    fn own_outcome(&self, id: SubmissionId) -> Option<ClaimOutcome> {
        (self.claim_state(id) != Some(ClaimState::ReleaseSent)).then_some(ClaimOutcome::Won)
    }
}
