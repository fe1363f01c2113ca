//! Applies snapshots to a fold.
//!
//! A complete fold needs no snapshot: it only records that earlier records are no longer needed,
//! and counts a snapshot that contradicts it. A partial fold continues from a snapshot. If
//! processes had to continue from the configurations in memory, several histories of changes may
//! coexist. The history with the higher revision wins; of equal revisions, the history that is not
//! based on memory wins, so all processes agree again at the next snapshot.

use std::cmp::Ordering;

use onyxshed_core::{Offset, UnixMs};

use super::handover::Handover;
use super::outcome::RecentChanges;
use super::parts::{CompleteSnapshot, fingerprint_of};
use super::{ConfigFold, FoldOutcome, PartialFold};

impl ConfigFold {
    /// Applies a snapshot whose last part is at `offset`.
    pub(super) fn apply_snapshot(
        &mut self,
        offset: Offset,
        snapshot: &CompleteSnapshot,
    ) -> FoldOutcome {
        let handover = &snapshot.handover;
        if handover.folded_to > offset {
            return self.record_contradiction();
        }
        if !self.is_complete() {
            return self.rebase(handover, Some(snapshot.published_at));
        }
        let order = handover.config.revision.cmp(&self.config.revision);
        if order == Ordering::Less {
            return FoldOutcome::Nothing;
        }
        if handover.config == self.config {
            self.oldest_needed_at = Some(snapshot.published_at);
            self.is_tentative &= !handover.is_complete;
            return FoldOutcome::Nothing;
        }
        if self.is_superseded_by(handover, order) {
            self.switch_to(handover, Some(snapshot.published_at))
        } else {
            self.record_contradiction()
        }
    }

    /// Returns whether the history of `handover` replaces that of this fold. `order` is the order
    /// of the revision of `handover` relative to the revision of this fold.
    pub(super) fn is_superseded_by(&self, handover: &Handover, order: Ordering) -> bool {
        match (self.is_tentative, handover.is_complete) {
            (false, true) => false,
            (false, false) => order == Ordering::Greater,
            (true, true) => order != Ordering::Less,
            (true, false) => {
                let is_tie_won = fingerprint_of(handover).0 > fingerprint_of(&self.handover()).0;
                order == Ordering::Greater || (order == Ordering::Equal && is_tie_won)
            }
        }
    }

    /// Replaces the history of this fold by that of `handover`.
    ///
    /// Changes that this fold has read after the end of the other fold would have to be decided
    /// again on top of the other fold, and they were not kept. In that case this fold becomes
    /// partial until the next snapshot.
    pub(super) fn switch_to(
        &mut self,
        handover: &Handover,
        oldest_needed_at: Option<UnixMs>,
    ) -> FoldOutcome {
        let before = self.config().revision;
        if self.last_change_end <= handover.folded_to {
            self.next = self.next.max(handover.folded_to);
            self.config = handover.config.clone();
            self.recent = RecentChanges::from_list(&handover.recent_changes);
            self.oldest_needed_at = oldest_needed_at;
            self.is_tentative = !handover.is_complete;
            self.drop_adopted();
            return self.outcome_since(before);
        }
        self.partial = Some(PartialFold::new(
            self.next,
            oldest_needed_at.unwrap_or_default(),
        ));
        self.adopt_if_newer(handover)
    }

    /// Continues from the configuration in memory, because no better one exists, and applies the
    /// changes read since records were lost.
    pub(super) fn rebuild_from_memory(&mut self, now: UnixMs) {
        let handover = self.handover();
        *self = self.replay(&handover, Some(now));
        self.is_tentative = true;
        self.drop_adopted();
    }

    /// Counts a snapshot or handover that contradicts this fold and is ignored.
    pub(super) fn record_contradiction(&mut self) -> FoldOutcome {
        self.counts.contradictions += 1;
        FoldOutcome::Ignored
    }

    /// Drops the adopted configuration once the fold has reached its revision.
    pub(super) fn drop_adopted(&mut self) {
        self.adopted
            .take_if(|adopted| adopted.config.revision <= self.config.revision);
    }
}
