//! Errors that prevent a stand-in from starting.

use std::io;
use std::net::SocketAddr;

use onyxshed_core::ResultCode;
use snafu::Snafu;

/// The reason why a stand-in could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A TCP listener could not be bound.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address that was to be bound.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The ready line could not be written.
    #[snafu(display("can't write to standard output: {source}"))]
    Ready {
        /// The error of the operating system.
        source: io::Error,
    },
}

impl Error {
    /// Returns the result code that is printed with the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::Listen { .. } => ResultCode::AddressInUse,
            Error::Ready { .. } => ResultCode::ServiceFailed,
        }
    }
}

/// Result of starting a stand-in.
pub type Result<T> = std::result::Result<T, Error>;
