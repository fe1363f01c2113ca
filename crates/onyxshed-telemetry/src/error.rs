//! Errors of opening log and metrics.

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

/// What went wrong.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The log can't be opened.
    #[snafu(display("the log can't be opened: {reason}"))]
    Log {
        /// The library's words.
        reason: SmolStr,
    },
    /// The metrics can't be set up.
    #[snafu(display("the metrics can't be set up: {reason}"))]
    Metrics {
        /// The library's words.
        reason: SmolStr,
    },
}

impl Error {
    /// Makes an error from the log library's words.
    pub fn log(reason: impl ToString) -> Self {
        Error::Log {
            reason: reason.to_string().into(),
        }
    }

    /// Makes an error from the metrics library's words.
    pub fn metrics(reason: impl ToString) -> Self {
        Error::Metrics {
            reason: reason.to_string().into(),
        }
    }

    /// Gets the numbered code.
    pub fn code(&self) -> ResultCode {
        ResultCode::ServiceFailed
    }
}

/// Result of opening log and metrics.
pub type Result<T> = std::result::Result<T, Error>;
