//! Errors of test processes and scenarios.

use std::io;

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

/// Reason why a scenario or a test with real processes failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An operation on a file or process of the test failed.
    #[snafu(display("{operation}: {source}"))]
    System {
        /// The operation that was attempted.
        operation: SmolStr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A process is not ready: it printed no valid ready line, or it was killed.
    #[snafu(display("process {process} is not ready: {reason}"))]
    NotReady {
        /// Name of the process.
        process: SmolStr,
        /// What was observed instead of the ready line.
        reason: SmolStr,
    },
    /// A request of the test itself to one of its processes failed.
    #[snafu(display("{request}: {reason}"))]
    Call {
        /// The request, such as its method and path.
        request: SmolStr,
        /// The error, or the reply that was not accepted.
        reason: SmolStr,
    },
    /// A scenario refers to a host or an executor that does not exist.
    #[snafu(display("no {kind} is named {found:?}; known names: {allowed}"))]
    NoSuch {
        /// What the name was looked up as, such as `executor`.
        kind: &'static str,
        /// The name that was not found.
        found: SmolStr,
        /// The existing names, separated by commas.
        allowed: SmolStr,
    },
    /// A condition was not met in time.
    #[snafu(display("timed out waiting for {condition}"))]
    TimedOut {
        /// The condition, and the state that was observed last.
        condition: SmolStr,
    },
    /// An expectation or a promise is not met, or a statement can't be carried out.
    #[snafu(display("{detail}"))]
    ExpectationNotMet {
        /// The expectation, and what was found instead.
        detail: SmolStr,
    },
}

impl Error {
    /// Creates an error for an expectation that is not met.
    pub fn unmet(detail: impl Into<SmolStr>) -> Self {
        Error::ExpectationNotMet {
            detail: detail.into(),
        }
    }

    /// Creates an [`Error::Call`] for a request of the test itself that failed.
    pub fn call(request: impl Into<SmolStr>, reason: impl ToString) -> Self {
        Error::Call {
            request: request.into(),
            reason: reason.to_string().into(),
        }
    }

    /// Returns the result code that corresponds to the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::System { .. } | Error::NotReady { .. } => ResultCode::ServiceFailed,
            Error::Call { .. } => ResultCode::PeerUnreachable,
            Error::NoSuch { .. } => ResultCode::Usage,
            Error::TimedOut { .. } | Error::ExpectationNotMet { .. } => ResultCode::TaskFailed,
        }
    }
}

/// Result of an operation of a test with real processes.
pub type Result<T> = std::result::Result<T, Error>;
