//! Errors of starting a stand-in.

use std::io;
use std::net::SocketAddr;

use onyxshed_core::ResultCode;
use snafu::Snafu;

/// Why a stand-in could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's words.
        source: io::Error,
    },
    /// The ready line can't be written.
    #[snafu(display("can't write to standard output: {source}"))]
    Ready {
        /// The system's words.
        source: io::Error,
    },
}

impl Error {
    /// Gets the numbered code.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::Listen { .. } => ResultCode::AddressInUse,
            Error::Ready { .. } => ResultCode::ServiceFailed,
        }
    }
}

/// Result of starting a stand-in.
pub type Result<T> = std::result::Result<T, Error>;
