//! Errors in options and in proposed configuration changes.

use onyxshed_core::{Millis, ResultCode, Revision};
use smol_str::SmolStr;
use snafu::Snafu;

/// Why options are invalid, or why a change was rejected before it was appended.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The log's retention is too short: claims would expire while some host still accepts their
    /// ids.
    #[snafu(display("the log's retention is {found}, but it must exceed {needed}"))]
    Retention {
        /// The configured retention.
        found: Millis,
        /// The value that the retention has to exceed.
        needed: Millis,
    },
    /// The change violates a rule for class targets or for the set of classes.
    #[snafu(display("the change is invalid: {reason}"))]
    Invalid {
        /// Description of the violated rule.
        reason: SmolStr,
    },
    /// The change is based on a revision other than the one in force.
    #[snafu(display(
        "the change is based on revision {based_on}, but revision {found} is in force"
    ))]
    Stale {
        /// The revision on which the operator based the change.
        based_on: Revision,
        /// The revision in force, which differs from `based_on`.
        found: Revision,
    },
    /// The fold is partial, so it can't decide whether the change is valid.
    #[snafu(display("the configuration has not been read completely"))]
    Incomplete,
}

impl Error {
    /// Creates an error for a retention that is too short.
    pub(crate) fn retention(found: Millis, needed: Millis) -> Self {
        Error::Retention { found, needed }
    }

    /// Creates an error for a change that violates a rule.
    pub(crate) fn invalid(reason: impl ToString) -> Self {
        Error::Invalid {
            reason: reason.to_string().into(),
        }
    }

    /// Returns the numbered result code that is reported to the operator.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::Retention { .. } => ResultCode::SettingsInvalid,
            Error::Invalid { .. } => ResultCode::ChangeInvalid,
            Error::Stale { .. } => ResultCode::ChangeRaced,
            Error::Incomplete => ResultCode::NotReady,
        }
    }
}

/// Result of validating options or preparing a proposal.
pub type Result<T> = std::result::Result<T, Error>;
