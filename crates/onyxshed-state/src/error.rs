//! Errors of options and proposals.

use onyxshed_core::{Millis, ResultCode, Revision};
use smol_str::SmolStr;
use snafu::Snafu;

/// What was wrong with options, or with a change before it was appended.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The log forgets claims before their ids are refused everywhere.
    #[snafu(display("the log keeps records for {found}: more than {needed} is needed"))]
    Retention {
        /// The retention as given.
        found: Millis,
        /// What it has to exceed.
        needed: Millis,
    },
    /// A change breaks the rules for targets.
    #[snafu(display("the change is invalid: {reason}"))]
    Invalid {
        /// The broken rule.
        reason: SmolStr,
    },
    /// A change is based on a revision that is no longer in force.
    #[snafu(display("the change is based on revision {based_on}, in force is {found}"))]
    Stale {
        /// The revision that the operator saw.
        based_on: Revision,
        /// The revision in force.
        found: Revision,
    },
    /// The fold lacks records and can't judge a change.
    #[snafu(display("the configuration has not been read completely"))]
    Incomplete,
}

impl Error {
    /// Makes an error for a retention that is too short.
    pub(crate) fn retention(found: Millis, needed: Millis) -> Self {
        Error::Retention { found, needed }
    }

    /// Makes an error for a change that breaks a rule.
    pub(crate) fn invalid(reason: impl ToString) -> Self {
        Error::Invalid {
            reason: reason.to_string().into(),
        }
    }

    /// Gets the numbered code that an operator is told.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::Retention { .. } => ResultCode::SettingsInvalid,
            Error::Invalid { .. } => ResultCode::ChangeInvalid,
            Error::Stale { .. } => ResultCode::ChangeRaced,
            Error::Incomplete => ResultCode::NotReady,
        }
    }
}

/// Result of checking options or a proposal.
pub type Result<T> = std::result::Result<T, Error>;
