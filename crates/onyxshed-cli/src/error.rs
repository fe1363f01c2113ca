//! Errors that commands report to the operator.

use onyxshed_core::{ChangeId, ResultCode, Revision};
use onyxshed_settings::SettingsError;
use smol_str::SmolStr;
use snafu::Snafu;

/// A failed command; [`Error::code`] gives the number from which the exit code is derived.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is invalid.
    #[snafu(display("{reason}"))]
    Usage {
        /// The fault in the command line.
        reason: SmolStr,
    },
    /// The settings can't be used.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Why the file is unreadable, or its faults; its result code becomes that of the command.
        source: SettingsError,
    },
    /// A call of the platform failed.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// The failed call; its result code becomes that of the command.
        source: onyxshed_platform::Error,
    },
    /// The change violates a rule of the configuration; nothing was sent.
    #[snafu(display("{reason}; nothing was sent"))]
    ChangeInvalid {
        /// The violated rule.
        reason: SmolStr,
    },
    /// The change is based on a revision that is no longer in force, so it had no effect.
    #[snafu(display(
        "another change was accepted first: this one is based on revision {based_on}, but {found} is in force; check it with `onyxshed target list` and publish again"
    ))]
    ChangeRaced {
        /// The revision that the change was based on.
        based_on: Revision,
        /// The revision that was in force instead of `based_on`.
        found: Revision,
    },
    /// The time limit passed while the change may be on the log, so its outcome is unknown.
    #[snafu(display(
        "it is not known whether the change was accepted ({reason}); check with `onyxshed target history --change {change_id}` before repeating it"
    ))]
    ChangeUndecided {
        /// Id to look for in the history before the change is repeated.
        change_id: ChangeId,
        /// The last failure before the command ended.
        reason: SmolStr,
    },
    /// The log does not contain every record that makes up the configuration.
    #[snafu(display(
        "the log has lost records of the configuration and holds no snapshot of it yet; a control process will publish one, try again later"
    ))]
    ConfigIncomplete,
    /// The change is not on the log.
    #[snafu(display("change {change_id} is not on the log yet, so it is not accepted"))]
    ChangeNotSeen {
        /// Id given with `--change`, for which the log has no record.
        change_id: ChangeId,
    },
    /// A log file can't be read.
    #[snafu(display("log file {file} can't be read: {reason}"))]
    Log {
        /// Path of the log file.
        file: SmolStr,
        /// The error of the operating system.
        reason: SmolStr,
    },
    /// The requested item does not exist.
    #[snafu(display("there is no {item}"))]
    NotFound {
        /// What is missing, as a phrase such as `class x in revision 3`.
        item: SmolStr,
    },
    /// The change is accepted but not yet in force in every process.
    #[snafu(display(
        "revision {revision} is accepted, but not yet in force in {waiting}; check with `onyxshed status`"
    ))]
    NotInForce {
        /// The revision that the change made.
        revision: Revision,
        /// The processes that lack the revision, with the revision that each has.
        waiting: SmolStr,
    },
    /// A process does not answer.
    #[snafu(display("call to {process} at its admin address failed: {reason}"))]
    Process {
        /// Name of the process in the settings.
        process: SmolStr,
        /// The client's error, an unexpected status, or why the reply can't be decoded.
        reason: SmolStr,
    },
    /// A process has not finished draining in time.
    #[snafu(display("{process} is still draining; check with `onyxshed status`"))]
    StillDraining {
        /// Name of the process in the settings.
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
    /// Creates an error for an invalid command line.
    pub fn usage(reason: impl ToString) -> Self {
        Error::Usage {
            reason: reason.to_string().into(),
        }
    }

    /// Returns the numbered result code, which also determines the exit code.
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

    /// Formats the error for people, with its number.
    pub fn explain(&self) -> String {
        match self {
            Error::Settings { source } => source.explain(),
            other => format!("error {}: {other}", other.code()),
        }
    }
}

/// Result whose error is a failed command, with a numbered result code.
pub type Result<T> = std::result::Result<T, Error>;
