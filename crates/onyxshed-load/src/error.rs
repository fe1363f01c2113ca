//! Errors of the load tool's commands.

use std::io;
use std::path::PathBuf;

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

/// Why a command could not do its work.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file can't be written.
    #[snafu(display("can't write {}: {source}", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// The system's words.
        source: io::Error,
    },
    /// A plot can't be drawn.
    #[snafu(display("can't draw {}: {reason}", path.display()))]
    Draw {
        /// The file.
        path: PathBuf,
        /// The library's words.
        reason: SmolStr,
    },
    /// A process can't be observed.
    #[snafu(display("can't read the state of process {pid}: {source}"))]
    Process {
        /// The process.
        pid: u32,
        /// The system's words.
        source: io::Error,
    },
    /// An option has a value that can't be used.
    #[snafu(display("{option} is {found:?}: allowed is {allowed}"))]
    Option {
        /// The option.
        option: &'static str,
        /// The value as given.
        found: SmolStr,
        /// What is allowed.
        allowed: &'static str,
    },
    /// A process can't be started.
    #[snafu(display("can't start a process: {reason}"))]
    Start {
        /// What happened.
        reason: SmolStr,
    },
    /// Another process can't be reached.
    #[snafu(display("can't reach {address}: {reason}"))]
    Unreachable {
        /// Its address.
        address: std::net::SocketAddr,
        /// What happened.
        reason: SmolStr,
    },
}

impl Error {
    /// Makes an error for an option's value.
    pub fn option(option: &'static str, found: impl ToString, allowed: &'static str) -> Self {
        Error::Option {
            option,
            found: found.to_string().into(),
            allowed,
        }
    }

    /// Makes an error for a plot.
    pub fn draw(path: impl Into<PathBuf>, reason: impl ToString) -> Self {
        Error::Draw {
            path: path.into(),
            reason: reason.to_string().into(),
        }
    }

    /// Makes an error for a process that did not start.
    pub fn start(reason: impl ToString) -> Self {
        Error::Start {
            reason: reason.to_string().into(),
        }
    }

    /// Makes an error for a process that can't be reached.
    pub fn unreachable(address: std::net::SocketAddr, reason: impl ToString) -> Self {
        Error::Unreachable {
            address,
            reason: reason.to_string().into(),
        }
    }

    /// Gets the numbered code.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::Option { .. } => ResultCode::Usage,
            Error::Unreachable { .. } => ResultCode::PeerUnreachable,
            Error::Write { .. }
            | Error::Draw { .. }
            | Error::Process { .. }
            | Error::Start { .. } => ResultCode::ServiceFailed,
        }
    }
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;
