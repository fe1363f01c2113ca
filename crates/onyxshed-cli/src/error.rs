//! Errors that an operator sees.

use onyxshed_core::{ChangeId, ResultCode, Revision};
use onyxshed_settings::SettingsError;
use smol_str::SmolStr;
use snafu::Snafu;

/// Why a command did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is wrong.
    #[snafu(display("{reason}"))]
    Usage {
        /// What is wrong with it.
        reason: SmolStr,
    },
    /// The settings can't be used.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Every fault.
        source: SettingsError,
    },
    /// A call of the platform failed.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// What happened.
        source: onyxshed_platform::Error,
    },
    /// The change breaks a rule; nothing was sent.
    #[snafu(display("{reason}; nothing was sent"))]
    ChangeInvalid {
        /// The rule.
        reason: SmolStr,
    },
    /// Another change came first.
    #[snafu(display(
        "another change came first: this one was based on revision {based_on}, in force is {found}; look at it with `onyxshed target list` and publish again"
    ))]
    ChangeRaced {
        /// The revision that the change was based on.
        based_on: Revision,
        /// The revision in force.
        found: Revision,
    },
    /// It can't be told whether the change was accepted.
    #[snafu(display(
        "can't tell whether the change was accepted ({reason}); ask with `onyxshed target history --change {change_id}` before repeating it"
    ))]
    ChangeUndecided {
        /// The change.
        change_id: ChangeId,
        /// What happened last.
        reason: SmolStr,
    },
    /// The log no longer holds what makes up the configuration.
    #[snafu(display(
        "the log has lost records of the configuration and holds no snapshot of it yet; a control process publishes one again, try later"
    ))]
    ConfigIncomplete,
    /// The change is not on the log.
    #[snafu(display("change {change_id} is not on the log so far: it is not accepted"))]
    ChangeNotSeen {
        /// The change.
        change_id: ChangeId,
    },
    /// A log file can't be read.
    #[snafu(display("{file} can't be read: {reason}"))]
    Log {
        /// The file.
        file: SmolStr,
        /// What happened.
        reason: SmolStr,
    },
    /// No such class.
    #[snafu(display("there is no {what}"))]
    NotFound {
        /// What was looked for.
        what: SmolStr,
    },
    /// The change is accepted but not in force everywhere.
    #[snafu(display(
        "revision {revision} is accepted, but not yet in force in {waiting}; ask with `onyxshed status`"
    ))]
    NotInForce {
        /// The revision.
        revision: Revision,
        /// The processes that lack it, with what they have.
        waiting: SmolStr,
    },
    /// A process does not answer.
    #[snafu(display("{process} at its admin address: {reason}"))]
    Process {
        /// The process's name in the settings.
        process: SmolStr,
        /// What happened.
        reason: SmolStr,
    },
    /// A process still drains.
    #[snafu(display("{process} still drains; ask with `onyxshed status`"))]
    StillDraining {
        /// The process's name in the settings.
        process: SmolStr,
    },
}

impl From<onyxshed_state::Error> for Error {
    fn from(error: onyxshed_state::Error) -> Self {
        match error {
            onyxshed_state::Error::Stale { based_on, found } => {
                Error::ChangeRaced { based_on, found }
            }
            onyxshed_state::Error::Incomplete => Error::ConfigIncomplete,
            other => Error::ChangeInvalid {
                reason: other.to_string().into(),
            },
        }
    }
}

impl Error {
    /// Makes an error for a wrong command line.
    pub fn usage(reason: impl ToString) -> Self {
        Error::Usage {
            reason: reason.to_string().into(),
        }
    }

    /// Gets the numbered code.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::Usage { .. } | Error::Log { .. } => ResultCode::Usage,
            Error::Settings { source } => source.code(),
            Error::Platform { source } => source.code(),
            Error::ChangeInvalid { .. } => ResultCode::ChangeInvalid,
            Error::ChangeRaced { .. } => ResultCode::ChangeRaced,
            Error::ChangeUndecided { .. } | Error::ChangeNotSeen { .. } => {
                ResultCode::ChangeUndecided
            }
            Error::ConfigIncomplete => ResultCode::NotReady,
            Error::NotFound { .. } => ResultCode::UnknownClass,
            Error::NotInForce { .. } | Error::StillDraining { .. } => ResultCode::NotInForceYet,
            Error::Process { .. } => ResultCode::PeerUnreachable,
        }
    }

    /// Writes the error as people read it.
    pub fn explain(&self) -> String {
        match self {
            Error::Settings { source } => source.explain(),
            other => format!("error {}: {other}", other.code()),
        }
    }
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;
