//! Errors of putting a process together.

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

use crate::service::ServiceName;

/// What went wrong with a service.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No service of that name is registered.
    #[snafu(display("service {name} is not registered"))]
    Missing {
        /// The service looked for.
        name: ServiceName,
    },
    /// A service needs another that the process does not have.
    #[snafu(display("service {needed_by} needs {name}, which this process does not have"))]
    NeedMissing {
        /// The service needed.
        name: ServiceName,
        /// The service that needs it.
        needed_by: ServiceName,
    },
    /// The service is registered with a handle of another type.
    #[snafu(display("service {name} is a {found}, not a {wanted}"))]
    OtherType {
        /// The service looked for.
        name: ServiceName,
        /// Type of its handle.
        found: &'static str,
        /// Type asked for.
        wanted: &'static str,
    },
    /// Two services have the same name.
    #[snafu(display("service {name} is there twice"))]
    Duplicate {
        /// The name.
        name: ServiceName,
    },
    /// Services need each other in a circle.
    #[snafu(display("services need each other in a circle: {names}"))]
    Cycle {
        /// The services that could not be ordered, in words.
        names: SmolStr,
    },
    /// A service did not start.
    #[snafu(display("service {name} did not start: {reason}"))]
    Start {
        /// The service.
        name: ServiceName,
        /// The numbered code of what stopped it.
        code: ResultCode,
        /// What stopped it, in words.
        reason: SmolStr,
    },
    /// The process can't listen to signals.
    #[snafu(display("can't listen to signals: {reason}"))]
    Signals {
        /// The system's words.
        reason: SmolStr,
    },
}

impl Error {
    /// Makes an error for a service that did not start.
    pub fn start(name: ServiceName, code: ResultCode, reason: impl ToString) -> Self {
        Error::Start {
            name,
            code,
            reason: reason.to_string().into(),
        }
    }

    /// Gets the numbered code.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::Missing { .. } | Error::NeedMissing { .. } | Error::OtherType { .. } => {
                ResultCode::ServiceMissing
            }
            Error::Start { code, .. } => *code,
            Error::Duplicate { .. } | Error::Cycle { .. } | Error::Signals { .. } => {
                ResultCode::ServiceFailed
            }
        }
    }
}

/// Result of working with services.
pub type Result<T> = std::result::Result<T, Error>;
