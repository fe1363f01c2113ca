//! Folds a batch that was read back and settles the claims that jobs wait for.

use onyxshed_core::{Now, SubmissionId};
use onyxshed_wire::record::{Claim, ClaimBatch};

use super::ClaimBook;
use super::step::{ClaimOutcome, SettledClaim};
use super::table::{Found, Standing};

impl ClaimBook {
    pub(super) fn fold(&mut self, now: Now, batch: &ClaimBatch) -> Vec<SettledClaim> {
        for id in &batch.releases {
            self.table.release(batch.by, id);
        }
        let keep_ms = self.options.keep_ms();
        let is_fresh = |claim: &&Claim| self.latest_wall.since(claim.submission.time()) <= keep_ms;
        let fresh: Vec<Claim> = batch.claims.iter().filter(is_fresh).copied().collect();
        fresh
            .iter()
            .filter_map(|claim| self.fold_claim(now, batch, claim))
            .collect()
    }

    fn fold_claim(&mut self, now: Now, batch: &ClaimBatch, claim: &Claim) -> Option<SettledClaim> {
        let id = claim.submission;
        let is_own = batch.by == self.me;
        let found = if is_own {
            self.fold_own(now, batch.batch, claim)
        } else {
            self.table.claim(batch.by, claim, Standing::Foreign)
        };
        let pending = self.queue.get(id.ulid)?.claim;
        let holding = match found {
            Found::Forgotten => None,
            Found::Taken | Found::Earlier => self.table.get(id.ulid),
        };
        let verdict = match holding {
            None => ClaimOutcome::Failed,
            Some(held) if held.content != pending.content => ClaimOutcome::OtherContent,
            Some(held) if held.by == self.me => self.judge_own(id)?,
            Some(held) if !is_own && pending.replaces == Some(held.by) => return None,
            Some(held) => ClaimOutcome::HeldBy(held.by),
        };
        self.queue.remove(id.ulid);
        if verdict == ClaimOutcome::Won {
            self.table.set_standing(id.ulid, Standing::Started);
        }
        Some(SettledClaim {
            submission: id,
            outcome: verdict,
        })
    }

    /// Folds in a claim of this host. One that no job waits for is ours but is not started on its
    /// account: its job was told that it was not run. It is released.
    fn fold_own(&mut self, now: Now, batch: u64, claim: &Claim) -> Found {
        let id = claim.submission;
        let found = self.table.claim(self.me, claim, Standing::ReleaseSent);
        let is_idle = self.standing(id) == Some(Standing::ReleaseSent);
        if is_idle && self.table.is_firm(id.ulid, batch) {
            self.queue_release(now, id);
        }
        found
    }

    /// Judges a claim of ours that holds: not decided while a release of it is still to be read.
    fn judge_own(&self, id: SubmissionId) -> Option<ClaimOutcome> {
        (self.standing(id) != Some(Standing::ReleaseSent)).then_some(ClaimOutcome::Won)
    }
}
