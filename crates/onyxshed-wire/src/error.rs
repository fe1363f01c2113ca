//! Errors of reading a body or header.

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

/// What was wrong with a body or header.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The body is no JSON of the expected shape.
    #[snafu(display("the body can't be read: {reason}"))]
    Body {
        /// The decoder's words, with line and column.
        reason: SmolStr,
    },
    /// A submission has no task or too many.
    #[snafu(display("a submission has 1 to {max} tasks, this one {found}"))]
    TaskCount {
        /// Tasks found.
        found: usize,
        /// Tasks allowed.
        max: usize,
    },
    /// A header is missing or wrong.
    #[snafu(display("header {header}: {reason}"))]
    Header {
        /// The header's name.
        header: &'static str,
        /// What was found and what is allowed.
        reason: SmolStr,
    },
}

impl Error {
    /// Makes an error from the JSON decoder's words.
    pub fn body(reason: impl ToString) -> Self {
        Error::Body {
            reason: reason.to_string().into(),
        }
    }

    /// Makes an error for a missing or wrong header.
    pub fn header(header: &'static str, reason: impl ToString) -> Self {
        Error::Header {
            header,
            reason: reason.to_string().into(),
        }
    }

    /// Gets the numbered code that a caller is told.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::Body { .. } | Error::Header { .. } => ResultCode::BadRequest,
            Error::TaskCount { .. } => ResultCode::TaskCount,
        }
    }
}

/// Result of reading a body or header.
pub type Result<T> = std::result::Result<T, Error>;
