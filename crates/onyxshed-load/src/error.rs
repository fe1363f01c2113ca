//! Errors of the load tool's commands.

use std::io;
use std::path::PathBuf;

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

/// The error that ended a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file or its folder can't be written.
    #[snafu(display("can't write {}: {source}", path.display()))]
    Write {
        /// Path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A plot can't be drawn.
    #[snafu(display("can't draw {}: {reason}", path.display()))]
    Draw {
        /// Path of the plot's file.
        path: PathBuf,
        /// The message of the plotting library.
        reason: SmolStr,
    },
    /// The memory and processor time of a process can't be read.
    #[snafu(display("can't read the state of process {pid}: {source}"))]
    Process {
        /// Id of the process.
        pid: u32,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An option has a value that is not allowed.
    #[snafu(display("{option} is {found:?}, expected {allowed}"))]
    Option {
        /// The option, such as `--mix`.
        option: &'static str,
        /// The value that was given.
        found: SmolStr,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// A process can't be started, or a resource for it, such as a folder or a free port, can't be
    /// obtained.
    #[snafu(display("can't start a process: {reason}"))]
    Start {
        /// Text of the underlying error, or a sentence that says what is missing or went wrong.
        reason: SmolStr,
    },
    /// A process did not answer a call, or its reply can't be used.
    #[snafu(display("can't reach {address}: {reason}"))]
    Unreachable {
        /// The address that was called.
        address: std::net::SocketAddr,
        /// Text of the error or of the rejected reply, or a sentence that says what is wrong.
        reason: SmolStr,
    },
}

impl Error {
    /// Returns an error for an option's value that is not allowed.
    pub fn option(option: &'static str, found: impl ToString, allowed: &'static str) -> Self {
        Error::Option {
            option,
            found: found.to_string().into(),
            allowed,
        }
    }

    /// Returns an error for a plot that can't be drawn.
    pub fn draw(path: impl Into<PathBuf>, reason: impl ToString) -> Self {
        Error::Draw {
            path: path.into(),
            reason: reason.to_string().into(),
        }
    }

    /// Returns an error for a process that did not start.
    pub fn start(reason: impl ToString) -> Self {
        Error::Start {
            reason: reason.to_string().into(),
        }
    }

    /// Returns an error for a process that can't be reached.
    pub fn unreachable(address: std::net::SocketAddr, reason: impl ToString) -> Self {
        Error::Unreachable {
            address,
            reason: reason.to_string().into(),
        }
    }

    /// Returns the result code that the command prints with the error.
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
