//! Errors of listening on an address and of calling another process.

use std::io;
use std::net::SocketAddr;

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

/// An error of listening on an address.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The address can't be listened on, for instance because another process uses it.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address that was given to [`Server::listen`](crate::Server::listen).
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
}

impl Error {
    /// Returns the numbered result code, which is always [`ResultCode::AddressInUse`].
    pub fn code(&self) -> ResultCode {
        ResultCode::AddressInUse
    }
}

/// The result of listening on an address.
pub type Result<T> = std::result::Result<T, Error>;

/// Whether the peer may have received any byte of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendState {
    /// No byte of the request left this process.
    NotSent,
    /// Some bytes were handed to the operating system; the peer may have acted on them.
    MaybeSent,
}

/// The reason why a call yielded no reply.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct CallError {
    /// Whether the peer may have received any byte of the request.
    pub sent: SendState,
    /// Whether the call timed out.
    pub is_timeout: bool,
    /// The cause as text.
    pub reason: SmolStr,
}

impl CallError {
    /// Creates an error for a call of which nothing was sent.
    pub fn unsent(reason: impl ToString) -> Self {
        CallError {
            sent: SendState::NotSent,
            is_timeout: false,
            reason: reason.to_string().into(),
        }
    }

    /// Creates an error for a call whose connection or reply failed.
    pub fn connection_failed(sent: SendState, reason: impl ToString) -> Self {
        CallError {
            sent,
            is_timeout: false,
            reason: reason.to_string().into(),
        }
    }

    /// Creates an error for a call that timed out.
    pub fn timeout(sent: SendState) -> Self {
        CallError {
            sent,
            is_timeout: true,
            reason: SmolStr::new_static("no reply in time"),
        }
    }
}
