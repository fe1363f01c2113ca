//! The states of an operator's change, from the command to its result.
//!
//! A change is accepted only when it has been read back. If the answer to an append is lost, the
//! change is looked up by its id before a result is reported or the append is retried. A retry
//! carries the same id and base revision, so at most one copy takes effect.

use onyxshed_core::{Offset, Revision};
use onyxshed_wire::record::{ConfigChange, ConfigRecord};

use super::{ChangeOutcome, ConfigFold, rules};
use crate::append::AppendFailure;
use crate::error::{Error, Result};

/// State of a change that was validated and may be appended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ready;

/// State of a change that may be in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    offset: Option<Offset>,
}

/// An operator's change, in the state [`Ready`] or [`Sent`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal<S> {
    change: ConfigChange,
    state: S,
}

/// Result of looking up a sent change in a fold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalStatus {
    /// The change was accepted and created this revision.
    Accepted(Revision),
    /// Another change was accepted first.
    Raced {
        /// The revision that the change was based on.
        based_on: Revision,
        /// The revision in force when the change was read.
        found: Revision,
    },
    /// The change violated a rule when it was read.
    Invalid,
    /// The change is not in the log before the `end` that was passed to [`Proposal::resolve`], and
    /// may be appended again.
    Repeat(Proposal<Ready>),
    /// The fold does not show the result yet; more of the log has to be read.
    Undecided(Proposal<Sent>),
}

impl Proposal<Ready> {
    /// Validates a change. Returns an error if a fold would ignore it, before anything is appended.
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

    /// Returns the change that the operator proposed, with its id and base revision.
    pub fn change(&self) -> &ConfigChange {
        &self.change
    }

    /// Returns the encoded record to append.
    pub fn record(&self) -> String {
        ConfigRecord::ChangeV1(self.change.clone()).encode()
    }

    /// Applies the result of the append. A change that was not appended may be retried.
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

/// Next step of a proposal after an append was tried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendStep {
    /// The change is provably not in the log and may be appended again.
    Retry(Proposal<Ready>),
    /// The change may be in the log.
    Sent(Proposal<Sent>),
}

impl Proposal<Sent> {
    /// Returns the change that the operator proposed, with its id and base revision.
    pub fn change(&self) -> &ConfigChange {
        &self.change
    }

    /// Looks up the status of the change in `fold`.
    ///
    /// `end` is the log's next offset, as read after the append finished. While the fold has not
    /// read up to `end`, the change is never reported as missing.
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

    /// Returns whether the change is certainly not in the log before `end`.
    fn is_missing(&self, fold: &ConfigFold, end: Offset) -> bool {
        let has_been_read = self.state.offset.is_none() && fold.next() >= end;
        has_been_read && fold.has_change_ids_since(self.change.based_on)
    }
}
