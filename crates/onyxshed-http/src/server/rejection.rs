//! Result codes of requests that the server itself rejects, without a reply from its handler.

use futures_lite::io;
use http_types::{Error, StatusCode};
use onyxshed_core::ResultCode;
use snafu::Snafu;

/// The error of a request that the server itself rejects.
#[derive(Debug, Snafu)]
#[snafu(display("rejected with code {code}"))]
pub(super) struct Rejection {
    code: ResultCode,
}

/// Creates an error that carries the result code through `async-h1`; see [`code_of`].
pub(super) fn rejection_error(code: ResultCode) -> Error {
    Error::new(StatusCode::BadRequest, Rejection { code })
}

/// Returns the result code for a request that failed with an error: that of a [`Rejection`], or one
/// that follows from the kind of an I/O error.
pub(super) fn code_of(error: &Error) -> ResultCode {
    if let Some(found) = error.downcast_ref::<Rejection>() {
        return found.code;
    }
    match error.downcast_ref::<io::Error>().map(io::Error::kind) {
        Some(io::ErrorKind::TimedOut) => ResultCode::TooSlow,
        Some(io::ErrorKind::FileTooLarge) => ResultCode::BodyTooLarge,
        _ => ResultCode::BadRequest,
    }
}
