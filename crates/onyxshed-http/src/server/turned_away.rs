//! Why the server itself turns a request away.

use futures_lite::io;
use http_types::{Error, StatusCode};
use onyxshed_core::ResultCode;
use snafu::Snafu;

/// Why the server itself turns a request away.
#[derive(Debug, Snafu)]
#[snafu(display("turned away with code {code}"))]
pub(super) struct TurnedAway {
    code: ResultCode,
}

/// Makes the error that carries the code past the library.
pub(super) fn turned_away(code: ResultCode) -> Error {
    Error::new(StatusCode::BadRequest, TurnedAway { code })
}

/// Finds the code for a request that could not be read.
pub(super) fn code_of(error: &Error) -> ResultCode {
    if let Some(found) = error.downcast_ref::<TurnedAway>() {
        return found.code;
    }
    match error.downcast_ref::<io::Error>().map(io::Error::kind) {
        Some(io::ErrorKind::TimedOut) => ResultCode::TooSlow,
        Some(io::ErrorKind::FileTooLarge) => ResultCode::BodyTooLarge,
        _ => ResultCode::BadRequest,
    }
}
