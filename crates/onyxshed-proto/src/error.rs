//! Errors of decoding a message between processes.

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

/// Reason why a message could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The message violates the schema or its limits.
    #[snafu(display("the message can't be read: {reason}"))]
    Message {
        /// Message of the Cap'n Proto library.
        reason: SmolStr,
    },
    /// A field contains a value that its type does not allow.
    #[snafu(display("field {field}: {reason}"))]
    Field {
        /// Name of the field in the schema, or `class` for an invalid class target.
        field: &'static str,
        /// Value found and values allowed.
        reason: SmolStr,
    },
    /// A list is longer than the maximum.
    #[snafu(display("list {field} has {found} entries, allowed are {max}"))]
    TooLong {
        /// Name of the list in the schema.
        field: &'static str,
        /// Number of entries in the list.
        found: u32,
        /// Maximum number of entries.
        max: u32,
    },
}

impl Error {
    /// Creates an error for a field with an invalid value.
    pub fn field(field: &'static str, reason: impl ToString) -> Self {
        Error::Field {
            field,
            reason: reason.to_string().into(),
        }
    }

    /// Returns the numbered code of the error, which is always [`ResultCode::BadMessage`].
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

/// Result of decoding a message between processes.
pub type Result<T> = std::result::Result<T, Error>;
