//! Errors of reading a message between processes.

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

/// What was wrong with a message.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The message breaks the schema or its bounds.
    #[snafu(display("the message can't be read: {reason}"))]
    Message {
        /// The library's words.
        reason: SmolStr,
    },
    /// A field holds a text that is none of its kind.
    #[snafu(display("field {field}: {reason}"))]
    Field {
        /// The field.
        field: &'static str,
        /// What was found and what is allowed.
        reason: SmolStr,
    },
    /// A list is longer than its bound.
    #[snafu(display("list {field} has {found} entries, allowed are {max}"))]
    TooLong {
        /// The list.
        field: &'static str,
        /// Entries found.
        found: u32,
        /// Entries allowed.
        max: u32,
    },
}

impl Error {
    /// Makes an error for a field that can't be read.
    pub fn field(field: &'static str, reason: impl ToString) -> Self {
        Error::Field {
            field,
            reason: reason.to_string().into(),
        }
    }

    /// Gets the numbered code.
    pub fn code(&self) -> ResultCode {
        ResultCode::BadMessage
    }
}

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        Error::Message {
            reason: error.to_string().into(),
        }
    }
}

impl From<Error> for capnp::Error {
    fn from(error: Error) -> Self {
        capnp::Error::failed(error.to_string())
    }
}

/// Result of reading a message between processes.
pub type Result<T> = std::result::Result<T, Error>;
