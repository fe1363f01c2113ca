//! The life of an operator's change, from the command to its answer.
//!
//! A change is accepted only when it has been read back. If an append's answer is lost, the change
//! is looked up by its id before anything is said or repeated; a repeat carries the same id and
//! revision, so at most one copy takes effect.

use onyxshed_core::{Offset, Revision};
use onyxshed_wire::record::{ConfigChange, ConfigRecord};

use super::{ChangeFate, ConfigFold, rules};
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
pub enum Judged {
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
        let found = fold.folded().revision;
        if change.based_on != found {
            return Err(Error::Stale {
                based_on: change.based_on,
                found,
            });
        }
        rules::check(fold.folded(), &change.body)?;
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
    pub fn appended(self, result: std::result::Result<Offset, AppendFailure>) -> Appended {
        let offset = match result {
            Err(AppendFailure::NotAppended) => return Appended::Retry(self),
            Err(AppendFailure::AnswerLost) => None,
            Ok(offset) => Some(offset),
        };
        Appended::Sent(Proposal {
            change: self.change,
            state: Sent { offset },
        })
    }
}

/// What an append made of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Appended {
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
    pub fn judge(self, fold: &ConfigFold, end: Offset) -> Judged {
        if !fold.is_complete() {
            return Judged::Undecided(self);
        }
        match fold.find_change(self.change.change_id) {
            ChangeFate::Accepted(revision) => Judged::Accepted(revision),
            ChangeFate::Raced { based_on, found } => Judged::Raced { based_on, found },
            ChangeFate::Invalid => Judged::Invalid,
            ChangeFate::NotSeen if self.is_missing(fold, end) => Judged::Repeat(Proposal {
                change: self.change,
                state: Ready,
            }),
            ChangeFate::NotSeen => Judged::Undecided(self),
        }
    }

    fn is_missing(&self, fold: &ConfigFold, end: Offset) -> bool {
        let has_been_read = self.state.offset.is_none() && fold.next() >= end;
        has_been_read && fold.remembers(self.change.based_on)
    }
}
