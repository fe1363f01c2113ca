//! What a snapshot does to a fold.
//!
//! A fold that has read everything needs no snapshot: it only learns that earlier records are no
//! longer needed, and counts a snapshot that is wrong. One that lost records goes on from a
//! snapshot. Where processes had to go on from what they remember, several histories may stand side
//! by side; then the higher revision wins, and at equal ones the history that nobody had to
//! remember, so all come together at the next snapshot.

use std::cmp::Ordering;

use onyxshed_core::{Offset, UnixMs};

use super::handover::Handover;
use super::outcome::RecentChanges;
use super::parts::{Whole, fingerprint_of};
use super::{ConfigFold, FoldOutcome, Partial};

impl ConfigFold {
    /// Takes in a snapshot whose last part stands at `offset`.
    pub(super) fn take_snapshot(&mut self, offset: Offset, whole: &Whole) -> FoldOutcome {
        let told = &whole.handover;
        if told.folded_to > offset {
            return self.contradict();
        }
        if !self.is_complete() {
            return self.rebase(told, Some(whole.at));
        }
        let order = told.config.revision.cmp(&self.config.revision);
        if order == Ordering::Less {
            return FoldOutcome::Nothing;
        }
        if told.config == self.config {
            self.anchor = Some(whole.at);
            self.is_tentative &= !told.is_complete;
            return FoldOutcome::Nothing;
        }
        if self.yields_to(told, order) {
            self.switch_to(told, Some(whole.at))
        } else {
            self.contradict()
        }
    }

    /// Tells whether this fold gives way to another history of at least its revision.
    pub(super) fn yields_to(&self, told: &Handover, order: Ordering) -> bool {
        match (self.is_tentative, told.is_complete) {
            (false, true) => false,
            (false, false) => order == Ordering::Greater,
            (true, true) => order != Ordering::Less,
            (true, false) => {
                let is_tie_won = fingerprint_of(told).0 > fingerprint_of(&self.handover()).0;
                order == Ordering::Greater || (order == Ordering::Equal && is_tie_won)
            }
        }
    }

    /// Moves to another history. Changes read since its fold ended would have to be judged anew on
    /// top of it and are not kept; then the fold is partial until the next snapshot.
    pub(super) fn switch_to(&mut self, told: &Handover, at: Option<UnixMs>) -> FoldOutcome {
        let before = self.config().revision;
        if self.changed_to <= told.folded_to {
            self.next = self.next.max(told.folded_to);
            self.config = told.config.clone();
            self.recent = RecentChanges::from_list(&told.recent_changes);
            self.anchor = at;
            self.is_tentative = !told.is_complete;
            self.drop_adopted();
            return self.step_since(before);
        }
        self.partial = Some(Partial::new(self.next, at.unwrap_or_default()));
        self.adopt_unjoined(told)
    }

    /// Goes on from what this process remembers, for want of anything better, and judges what it
    /// has read since.
    pub(super) fn go_on_from_memory(&mut self, now: UnixMs) {
        let told = self.handover();
        *self = self.replay(&told, Some(now));
        self.is_tentative = true;
        self.drop_adopted();
    }

    pub(super) fn contradict(&mut self) -> FoldOutcome {
        self.counts.contradictions += 1;
        FoldOutcome::Ignored
    }

    /// Drops what a peer told once the fold has got there.
    pub(super) fn drop_adopted(&mut self) {
        self.adopted
            .take_if(|told| told.config.revision <= self.config.revision);
    }
}
