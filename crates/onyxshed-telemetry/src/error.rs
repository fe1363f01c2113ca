//! Errors of opening the log and installing the metrics.

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

/// An error of opening the log or installing the metrics.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The log can't be opened.
    #[snafu(display("cannot open the log: {reason}"))]
    Log {
        /// The log library's error message.
        reason: SmolStr,
    },
    /// The metrics recorder can't be installed.
    #[snafu(display("cannot install the metrics recorder: {reason}"))]
    Metrics {
        /// The metrics library's error message.
        reason: SmolStr,
    },
}

impl Error {
    /// Creates an error from the log library's error.
    pub fn log(reason: impl ToString) -> Self {
        Error::Log {
            reason: reason.to_string().into(),
        }
    }

    /// Creates an error from the metrics library's error.
    pub fn metrics(reason: impl ToString) -> Self {
        Error::Metrics {
            reason: reason.to_string().into(),
        }
    }

    /// Returns the numbered result code, which is always [`ResultCode::ServiceFailed`].
    pub fn code(&self) -> ResultCode {
        ResultCode::ServiceFailed
    }
}

/// The result of opening the log or installing the metrics.
pub type Result<T> = std::result::Result<T, Error>;
