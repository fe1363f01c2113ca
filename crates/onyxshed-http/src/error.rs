//! Errors of opening an address and of calling another process.

use std::io;
use std::net::SocketAddr;

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

/// What went wrong with an address.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's words.
        source: io::Error,
    },
}

impl Error {
    /// Gets the numbered code.
    pub fn code(&self) -> ResultCode {
        ResultCode::AddressInUse
    }
}

/// Result of opening an address.
pub type Result<T> = std::result::Result<T, Error>;

/// Whether the other end may have seen any of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendState {
    /// No byte of the request left this process.
    NotSent,
    /// Some of it was handed to the system; the other end may have acted on it.
    MaybeSent,
}

/// Why a call brought no reply.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct CallError {
    /// Whether the other end may have seen it.
    pub sent: SendState,
    /// Whether it was given up because its time ran out.
    pub is_timeout: bool,
    /// What happened, in words.
    pub reason: SmolStr,
}

impl CallError {
    /// Makes an error for a call of which nothing was sent.
    pub fn unsent(reason: impl ToString) -> Self {
        CallError {
            sent: SendState::NotSent,
            is_timeout: false,
            reason: reason.to_string().into(),
        }
    }

    /// Makes an error for a call that broke.
    pub fn broken(sent: SendState, reason: impl ToString) -> Self {
        CallError {
            sent,
            is_timeout: false,
            reason: reason.to_string().into(),
        }
    }

    /// Makes an error for a call whose time ran out.
    pub fn timeout(sent: SendState) -> Self {
        CallError {
            sent,
            is_timeout: true,
            reason: SmolStr::new_static("no reply in time"),
        }
    }
}
