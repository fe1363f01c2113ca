//! Errors of decoding a body or header.

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

/// Reason why a body or header could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The body is not JSON in the expected format.
    #[snafu(display("the body can't be read: {reason}"))]
    Body {
        /// Message of the JSON decoder, with line and column.
        reason: SmolStr,
    },
    /// A submission has no task or more than the maximum.
    #[snafu(display("a submission has 1 to {max} tasks, this one {found}"))]
    TaskCount {
        /// Number of tasks in the submission.
        found: usize,
        /// Maximum number of tasks.
        max: usize,
    },
    /// A header is missing or has an invalid value.
    #[snafu(display("header {header}: {reason}"))]
    Header {
        /// Name of the header, such as `onyxshed-state` for a response's task state.
        header: &'static str,
        /// Value found and values allowed.
        reason: SmolStr,
    },
}

impl Error {
    /// Creates an error from a message of the JSON decoder.
    pub fn body(reason: impl ToString) -> Self {
        Error::Body {
            reason: reason.to_string().into(),
        }
    }

    /// Creates an error for a header that is missing or has an invalid value.
    pub fn header(header: &'static str, reason: impl ToString) -> Self {
        Error::Header {
            header,
            reason: reason.to_string().into(),
        }
    }

    /// Returns the numbered code that the answer to the caller carries.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::Body { .. } | Error::Header { .. } => ResultCode::BadRequest,
            Error::TaskCount { .. } => ResultCode::TaskCount,
        }
    }
}

/// Result of decoding a body or header.
pub type Result<T> = std::result::Result<T, Error>;
