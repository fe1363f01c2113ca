//! Errors of playing a scenario.

use std::io;

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

/// Why a scenario could not be played, or did not hold.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file or process of the test can't be used.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What was tried.
        what: SmolStr,
        /// The system's words.
        source: io::Error,
    },
    /// A process did not come up.
    #[snafu(display("{process} did not come up: {reason}"))]
    NotReady {
        /// The process.
        process: SmolStr,
        /// What was seen instead.
        reason: SmolStr,
    },
    /// A test's own call to a process brought no good answer.
    #[snafu(display("{what}: {reason}"))]
    Call {
        /// What was asked.
        what: SmolStr,
        /// What came back.
        reason: SmolStr,
    },
    /// The script names something that does not exist.
    #[snafu(display("{found:?} is no {kind} here; there are {allowed}"))]
    NoSuch {
        /// Kind of thing.
        kind: &'static str,
        /// The name as given.
        found: SmolStr,
        /// The names that there are.
        allowed: SmolStr,
    },
    /// Something awaited did not happen.
    #[snafu(display("waited in vain until {what}"))]
    InVain {
        /// What was awaited, with what was seen last.
        what: SmolStr,
    },
    /// An expectation does not hold.
    #[snafu(display("{what}"))]
    Unmet {
        /// What was expected and what was found.
        what: SmolStr,
    },
}

impl Error {
    /// Makes an error for an expectation that does not hold.
    pub fn unmet(what: impl Into<SmolStr>) -> Self {
        Error::Unmet { what: what.into() }
    }

    /// Makes an error for a test's own call.
    pub fn call(what: impl Into<SmolStr>, reason: impl ToString) -> Self {
        Error::Call {
            what: what.into(),
            reason: reason.to_string().into(),
        }
    }

    /// Gets the numbered code.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::System { .. } | Error::NotReady { .. } => ResultCode::ServiceFailed,
            Error::Call { .. } => ResultCode::PeerUnreachable,
            Error::NoSuch { .. } => ResultCode::Usage,
            Error::InVain { .. } | Error::Unmet { .. } => ResultCode::TaskFailed,
        }
    }
}

/// Result of playing a scenario.
pub type Result<T> = std::result::Result<T, Error>;
