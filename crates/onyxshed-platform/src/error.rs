//! Errors of calling the platform.

use onyxshed_core::ResultCode;
use onyxshed_http::{CallError, SendState};
use smol_str::SmolStr;
use snafu::Snafu;

/// Reason why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The platform could not be reached. The call had no effect.
    #[snafu(display("the platform can't be reached: {reason}"))]
    Unreachable {
        /// Description of the failure.
        reason: SmolStr,
    },
    /// The answer was lost. The call may have taken effect.
    #[snafu(display("the platform's answer was lost: {reason}"))]
    AnswerLost {
        /// Description of the failure.
        reason: SmolStr,
    },
    /// The platform answered with a status that is not a success.
    #[snafu(display("the platform refused the call with status {status}"))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer could not be decoded.
    #[snafu(display("the platform's answer can't be read: {reason}"))]
    Unreadable {
        /// Description of the defect.
        reason: SmolStr,
    },
}

impl Error {
    /// Returns the numbered result code: [`ResultCode::PlatformUnreachable`],
    /// [`ResultCode::PlatformRefused`] or [`ResultCode::BadMessage`].
    pub fn code(&self) -> ResultCode {
        match self {
            Error::Unreachable { .. } | Error::AnswerLost { .. } => ResultCode::PlatformUnreachable,
            Error::Refused { .. } => ResultCode::PlatformRefused,
            Error::Unreadable { .. } => ResultCode::BadMessage,
        }
    }

    /// Returns whether an append that failed with this error may still be in the log.
    ///
    /// A status of 500 or more does not show that the append failed: a gateway in front of the log may
    /// have timed out on an append that took effect.
    pub fn may_have_taken_effect(&self) -> bool {
        const FIRST_SERVER_ERROR: u16 = 500;
        match self {
            Error::AnswerLost { .. } | Error::Unreadable { .. } => true,
            Error::Refused { status } => *status >= FIRST_SERVER_ERROR,
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

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;
