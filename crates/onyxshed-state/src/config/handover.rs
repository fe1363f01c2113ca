//! Configuration from a peer or a snapshot.

use onyxshed_core::{ChangeId, Offset, Revision, UnixMs};
use serde::{Deserialize, Serialize};

use super::outcome::RecentChanges;
use super::{Config, ConfigFold, FoldOutcome};

/// A configuration with its place in the log, as one process hands it to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// The configuration.
    pub config: Config,
    /// It is the fold of every record before this offset, if it is complete.
    pub folded_to: Offset,
    /// Ids of the changes accepted of late, oldest first.
    pub recent_changes: Vec<ChangeId>,
    /// When the oldest record was appended that a late reader needs, if known.
    pub needed_since: Option<UnixMs>,
    /// Whether it follows from all records, none lost on the way.
    pub is_complete: bool,
}

impl ConfigFold {
    /// Gets what a peer needs to go on from here.
    pub fn handover(&self) -> Handover {
        let is_complete = self.is_complete() && !self.is_tentative;
        match &self.adopted {
            Some(told) if !self.is_complete() => Handover {
                folded_to: self.read_from(),
                is_complete,
                ..told.clone()
            },
            _ => Handover {
                config: self.config.clone(),
                folded_to: self.read_from(),
                recent_changes: self.recent.to_list(),
                needed_since: self.anchor,
                is_complete,
            },
        }
    }

    /// Puts a configuration in force if its revision is higher, whoever told it.
    ///
    /// For processes that don't read the log, and for what is known of a peer's configuration but
    /// its revision and classes.
    pub fn adopt(&mut self, config: Config) -> FoldOutcome {
        self.adopt_handover(Handover {
            config,
            ..Handover::default()
        })
    }

    /// Takes in what a peer handed over: puts it in force if its revision is higher, and heals a
    /// partial fold if the peer's is complete and ends within what was read here.
    ///
    /// A complete fold goes on from the log alone, so a peer that is wrong can't lead it astray.
    pub fn adopt_handover(&mut self, told: Handover) -> FoldOutcome {
        let before = self.config().revision;
        if told.is_complete {
            self.heal(&told);
        }
        let in_force = self.config().revision;
        if told.config.revision > in_force {
            self.adopted = Some(told);
        }
        self.step_since(before)
    }

    /// Goes on from a peer's complete fold if this one is partial or tentative.
    fn heal(&mut self, told: &Handover) {
        let order = told.config.revision.cmp(&self.config.revision);
        if !self.is_complete() {
            self.rebase(told, told.needed_since);
        } else if self.yields_to(told, order) && self.changed_to <= told.folded_to {
            self.switch_to(told, told.needed_since);
        }
    }

    /// Starts a partial fold again from `told` and folds the changes read after it.
    ///
    /// If records between the two are lost, nothing is done: a change among them may have been
    /// accepted, and one in the backlog that lost to it would look valid.
    pub(super) fn rebase(&mut self, told: &Handover, at: Option<UnixMs>) -> FoldOutcome {
        if told.folded_to < self.read_from() {
            return self.adopt_unjoined(told);
        }
        let before = self.config().revision;
        let mut fold = self.replay(told, at);
        fold.is_tentative = !told.is_complete;
        if fold.config.revision < self.config.revision {
            return self.contradict();
        }
        *self = fold;
        self.drop_adopted();
        self.step_since(before)
    }

    pub(super) fn adopt_unjoined(&mut self, told: &Handover) -> FoldOutcome {
        let before = self.config().revision;
        if told.config.revision > before {
            self.adopted = Some(told.clone());
        }
        self.step_since(before)
    }

    /// Makes the fold that follows from `told`. Changes of the backlog that `told` holds already
    /// are judged again: accepted ones are known by their ids, the others have lost as before.
    pub(super) fn replay(&self, told: &Handover, at: Option<UnixMs>) -> ConfigFold {
        let mut fold = self.clone();
        fold.config = told.config.clone();
        fold.recent = RecentChanges::from_list(&told.recent_changes);
        fold.next = fold.next.max(told.folded_to);
        fold.anchor = at;
        let partial = fold.partial.take();
        for late in partial.into_iter().flat_map(|partial| partial.backlog) {
            fold.fold_change(late.at, late.change);
        }
        fold
    }

    pub(super) fn step_since(&self, before: Revision) -> FoldOutcome {
        let revision = self.config().revision;
        if revision > before {
            FoldOutcome::Accepted(revision)
        } else {
            FoldOutcome::Nothing
        }
    }

    /// Gets the offset that the records read without a gap go back to, or end at if none is lost.
    fn read_from(&self) -> Offset {
        self.partial
            .as_ref()
            .map_or(self.next, |partial| partial.from)
    }
}
