//! The life of an operator's change, from the command to its answer.
//!
//! A change is accepted only when it has been read back. If an append's answer is lost, the change
//! is looked up by its id before anything is said or repeated; a repeat carries the same id and
//! revision, so at most one copy takes effect.

use onyxshed_core::{Offset, Revision};
use onyxshed_wire::record::{ConfigChange, ConfigRecord};

use super::{ChangeOutcome, ConfigFold, rules};
use crate::append::AppendFailure;
use crate::error::{Error, Result};

/// A change that was checked and may be appended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ready;

/// A change that may stand in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    offset: Option<Offset>,
}

/// An operator's change in one state of its life: [`Ready`], then [`Sent`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal<S> {
    change: ConfigChange,
    state: S,
}

/// What is known of a change that was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalStatus {
    /// It made this revision.
    Accepted(Revision),
    /// Another change came first.
    Raced {
        /// The revision it was based on.
        based_on: Revision,
        /// The revision that it found.
        found: Revision,
    },
    /// It broke a rule by the time it was read.
    Invalid,
    /// It is not in the log as far as that went: it may be appended again.
    Repeat(Proposal<Ready>),
    /// Not known yet: read on.
    Undecided(Proposal<Sent>),
}

impl Proposal<Ready> {
    /// Tries to prepare a change: refuses what a fold would ignore, before anything is appended.
    pub fn prepare(change: ConfigChange, fold: &ConfigFold) -> Result<Self> {
        if !fold.is_complete() {
            return Err(Error::Incomplete);
        }
        let found = fold.folded_config().revision;
        if change.based_on != found {
            return Err(Error::Stale {
                based_on: change.based_on,
                found,
            });
        }
        rules::check(fold.folded_config(), &change.body)?;
        Ok(Proposal {
            change,
            state: Ready,
        })
    }

    /// Gets the change.
    pub fn change(&self) -> &ConfigChange {
        &self.change
    }

    /// Gets the record to append.
    pub fn record(&self) -> String {
        ConfigRecord::ChangeV1(self.change.clone()).encode()
    }

    /// Takes in how the append went. One that was not appended may be tried again.
    pub fn apply_append_result(
        self,
        result: std::result::Result<Offset, AppendFailure>,
    ) -> AppendStep {
        let offset = match result {
            Err(AppendFailure::NotAppended) => return AppendStep::Retry(self),
            Err(AppendFailure::AnswerLost) => None,
            Ok(offset) => Some(offset),
        };
        AppendStep::Sent(Proposal {
            change: self.change,
            state: Sent { offset },
        })
    }
}

/// What an append made of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendStep {
    /// It is provably not in the log.
    Retry(Proposal<Ready>),
    /// It may be in the log.
    Sent(Proposal<Sent>),
}

impl Proposal<Sent> {
    /// Gets the change.
    pub fn change(&self) -> &ConfigChange {
        &self.change
    }

    /// Judges the change. `end` is the log's next offset as told after the append failed or
    /// succeeded; the fold must have read up to there before anything is said.
    pub fn resolve(self, fold: &ConfigFold, end: Offset) -> ProposalStatus {
        if !fold.is_complete() {
            return ProposalStatus::Undecided(self);
        }
        match fold.find_change(self.change.change_id) {
            ChangeOutcome::Accepted(revision) => ProposalStatus::Accepted(revision),
            ChangeOutcome::Raced { based_on, found } => ProposalStatus::Raced { based_on, found },
            ChangeOutcome::Invalid => ProposalStatus::Invalid,
            ChangeOutcome::NotSeen if self.is_missing(fold, end) => {
                ProposalStatus::Repeat(Proposal {
                    change: self.change,
                    state: Ready,
                })
            }
            ChangeOutcome::NotSeen => ProposalStatus::Undecided(self),
        }
    }

    fn is_missing(&self, fold: &ConfigFold, end: Offset) -> bool {
        let has_been_read = self.state.offset.is_none() && fold.next() >= end;
        has_been_read && fold.remembers(self.change.based_on)
    }
}
