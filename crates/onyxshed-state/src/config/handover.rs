//! Adopts a configuration from a peer or a snapshot, and continues a partial fold from it.

use onyxshed_core::{ChangeId, Offset, Revision, UnixMs};
use serde::{Deserialize, Serialize};

use super::outcome::RecentChanges;
use super::{Config, ConfigFold, FoldOutcome};

/// A configuration with its position in the log, as sent from process to process or read from a
/// snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// Configuration with which the receiver continues.
    pub config: Config,
    /// The configuration accounts for every record before this offset, if it is complete.
    pub folded_to: Offset,
    /// Ids of the last accepted changes, oldest first.
    pub recent_changes: Vec<ChangeId>,
    /// Append time of the oldest record that a process starting late needs to rebuild the
    /// configuration; `None` if unknown.
    pub needed_since: Option<UnixMs>,
    /// Whether the configuration is based on all records, with none lost.
    pub is_complete: bool,
}

impl ConfigFold {
    /// Returns the configuration and position from which a peer can continue.
    pub fn handover(&self) -> Handover {
        let is_complete = self.is_complete() && !self.is_tentative;
        match &self.adopted {
            Some(adopted) if !self.is_complete() => Handover {
                folded_to: self.contiguous_from(),
                is_complete,
                ..adopted.clone()
            },
            _ => Handover {
                config: self.config.clone(),
                folded_to: self.contiguous_from(),
                recent_changes: self.recent.to_list(),
                needed_since: self.oldest_needed_at,
                is_complete,
            },
        }
    }

    /// Puts a configuration in force if its revision is higher than the current one, whatever its
    /// source.
    ///
    /// For processes that don't read the log, and for peers of which only the revision and the
    /// classes are known.
    pub fn adopt(&mut self, config: Config) -> FoldOutcome {
        self.adopt_handover(Handover {
            config,
            ..Handover::default()
        })
    }

    /// Applies a peer's handover: puts it in force if its revision is higher, and repairs a partial
    /// fold if the peer's fold is complete and ends within the records read here.
    ///
    /// A complete fold continues from the log alone, so a faulty peer can't change it.
    pub fn adopt_handover(&mut self, handover: Handover) -> FoldOutcome {
        let before = self.config().revision;
        if handover.is_complete {
            self.repair(&handover);
        }
        let in_force = self.config().revision;
        if handover.config.revision > in_force {
            self.adopted = Some(handover);
        }
        self.outcome_since(before)
    }

    /// Continues from a peer's complete fold if this fold is partial or tentative.
    fn repair(&mut self, handover: &Handover) {
        let order = handover.config.revision.cmp(&self.config.revision);
        if !self.is_complete() {
            self.rebase(handover, handover.needed_since);
        } else if self.is_superseded_by(handover, order)
            && self.last_change_end <= handover.folded_to
        {
            self.switch_to(handover, handover.needed_since);
        }
    }

    /// Rebuilds a partial fold on top of `handover` and applies the changes read after it.
    ///
    /// If records between the two are lost, the fold stays partial: a lost change may have been
    /// accepted, and a change in the backlog that lost to it would look valid.
    pub(super) fn rebase(
        &mut self,
        handover: &Handover,
        oldest_needed_at: Option<UnixMs>,
    ) -> FoldOutcome {
        if handover.folded_to < self.contiguous_from() {
            return self.adopt_if_newer(handover);
        }
        let before = self.config().revision;
        let mut fold = self.replay(handover, oldest_needed_at);
        fold.is_tentative = !handover.is_complete;
        if fold.config.revision < self.config.revision {
            return self.record_contradiction();
        }
        *self = fold;
        self.drop_adopted();
        self.outcome_since(before)
    }

    /// Puts `handover` in force beside the fold if its revision is higher than the one in force.
    pub(super) fn adopt_if_newer(&mut self, handover: &Handover) -> FoldOutcome {
        let before = self.config().revision;
        if handover.config.revision > before {
            self.adopted = Some(handover.clone());
        }
        self.outcome_since(before)
    }

    /// Returns the fold that results from `handover` and the backlog.
    ///
    /// Changes in the backlog that `handover` already accounts for are applied again: accepted
    /// changes are recognized by their ids, and the others are rejected as before.
    pub(super) fn replay(
        &self,
        handover: &Handover,
        oldest_needed_at: Option<UnixMs>,
    ) -> ConfigFold {
        let mut fold = self.clone();
        fold.config = handover.config.clone();
        fold.recent = RecentChanges::from_list(&handover.recent_changes);
        fold.next = fold.next.max(handover.folded_to);
        fold.oldest_needed_at = oldest_needed_at;
        let partial = fold.partial.take();
        for deferred in partial.into_iter().flat_map(|partial| partial.backlog) {
            fold.fold_change(deferred.appended_at, deferred.change);
        }
        fold
    }

    pub(super) fn outcome_since(&self, before: Revision) -> FoldOutcome {
        let revision = self.config().revision;
        if revision > before {
            FoldOutcome::Accepted(revision)
        } else {
            FoldOutcome::Nothing
        }
    }

    /// Returns the offset from which the records were read without a gap: the offset after the last
    /// lost record, or the end of the fold if no record is lost.
    fn contiguous_from(&self) -> Offset {
        self.partial
            .as_ref()
            .map_or(self.next, |partial| partial.from)
    }
}
