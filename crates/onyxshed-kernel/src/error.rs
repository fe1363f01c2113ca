//! Errors of assembling a process from services and of starting it.

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

use crate::service::ServiceName;

/// An error of registering, finding, ordering or starting services.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No service of this name is registered.
    #[snafu(display("service {name} is not registered"))]
    NotRegistered {
        /// The name that was looked up.
        name: ServiceName,
    },
    /// A service depends on one that is not among the services of this process.
    #[snafu(display("service {needed_by} depends on {name}, which this process does not have"))]
    DependencyMissing {
        /// The service that is depended on but not registered.
        name: ServiceName,
        /// The service that depends on it.
        needed_by: ServiceName,
    },
    /// The service is registered with a handle of another type.
    #[snafu(display("the handle of service {name} is a {found}, not a {requested}"))]
    WrongType {
        /// The name that was looked up.
        name: ServiceName,
        /// The type of the registered handle.
        found: &'static str,
        /// The type of handle that the caller asked for.
        requested: &'static str,
    },
    /// Two services have the same name.
    #[snafu(display("service {name} is registered twice"))]
    Duplicate {
        /// The name used twice.
        name: ServiceName,
    },
    /// Services depend on each other in a cycle.
    #[snafu(display("services depend on each other in a cycle: {names}"))]
    Cycle {
        /// The names of the services that could not be ordered, separated by commas.
        names: SmolStr,
    },
    /// A service failed to start.
    #[snafu(display("service {name} failed to start: {reason}"))]
    Start {
        /// The service that failed.
        name: ServiceName,
        /// The result code of the failure.
        code: ResultCode,
        /// The cause as text.
        reason: SmolStr,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("cannot install signal handlers: {reason}"))]
    SignalHandlers {
        /// The operating system's error message.
        reason: SmolStr,
    },
}

impl Error {
    /// Creates an error for a service that failed to start.
    pub fn start(name: ServiceName, code: ResultCode, reason: impl ToString) -> Self {
        Error::Start {
            name,
            code,
            reason: reason.to_string().into(),
        }
    }

    /// Returns the numbered result code: [`ResultCode::ServiceMissing`],
    /// [`ResultCode::ServiceFailed`] or the code of the service that failed to start.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::NotRegistered { .. }
            | Error::DependencyMissing { .. }
            | Error::WrongType { .. } => ResultCode::ServiceMissing,
            Error::Start { code, .. } => *code,
            Error::Duplicate { .. } | Error::Cycle { .. } | Error::SignalHandlers { .. } => {
                ResultCode::ServiceFailed
            }
        }
    }
}

/// The result of registering, finding or starting services.
pub type Result<T> = std::result::Result<T, Error>;
