//! Errors of calling the platform.

use onyxshed_core::ResultCode;
use onyxshed_http::{CallError, SendState};
use smol_str::SmolStr;
use snafu::Snafu;

/// Why a call of the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The platform was not reached: the call had no effect.
    #[snafu(display("the platform can't be reached: {reason}"))]
    Unreachable {
        /// What happened.
        reason: SmolStr,
    },
    /// The answer was lost: the call may have had its effect.
    #[snafu(display("the platform's answer was lost: {reason}"))]
    AnswerLost {
        /// What happened.
        reason: SmolStr,
    },
    /// The platform refused the call.
    #[snafu(display("the platform refused the call with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The answer can't be read.
    #[snafu(display("the platform's answer can't be read: {reason}"))]
    Unreadable {
        /// What was wrong.
        reason: SmolStr,
    },
}

impl Error {
    /// Gets the numbered code.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::Unreachable { .. } | Error::AnswerLost { .. } => ResultCode::PlatformUnreachable,
            Error::Refused { .. } => ResultCode::PlatformRefused,
            Error::Unreadable { .. } => ResultCode::BadMessage,
        }
    }

    /// Tells whether an append that ended so may stand in the log.
    ///
    /// A status of 500 or more proves nothing: something between the log and us may have given up
    /// on an append that took effect.
    pub fn may_have_taken_effect(&self) -> bool {
        const SERVER_FAULTS: u16 = 500;
        match self {
            Error::AnswerLost { .. } | Error::Unreadable { .. } => true,
            Error::Refused { status } => *status >= SERVER_FAULTS,
            Error::Unreachable { .. } => false,
        }
    }
}

impl From<CallError> for Error {
    fn from(error: CallError) -> Self {
        match error.sent {
            SendState::NotSent => Error::Unreachable {
                reason: error.reason,
            },
            SendState::MaybeSent => Error::AnswerLost {
                reason: error.reason,
            },
        }
    }
}

/// Result of calling the platform.
pub type Result<T> = std::result::Result<T, Error>;
