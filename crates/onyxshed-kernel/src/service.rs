//! The interface that every service of a process implements.

use std::fmt;
use std::future::{Future, ready};
use std::pin::Pin;

use crate::error::Result;
use crate::kernel::Kernel;

/// A boxed future that is not `Send` and stays on the thread that created it.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// The name under which a service is registered and found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceName(&'static str);

impl ServiceName {
    /// Creates a name, which must be unique among the services of a process.
    pub const fn new(name: &'static str) -> Self {
        ServiceName(name)
    }

    /// Returns the text that was passed to [`ServiceName::new`], as events and errors show it.
    pub const fn as_str(self) -> &'static str {
        self.0
    }
}

impl fmt::Display for ServiceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.0)
    }
}

/// A part of a process that is started, drained and stopped with it.
pub trait Service {
    /// Returns the name, by which other services can depend on this service.
    fn name(&self) -> ServiceName;

    /// Returns the services that must have started before this one starts and that stop after it.
    fn dependencies(&self) -> &[ServiceName] {
        &[]
    }

    /// Starts the service: registers its handle and opens its addresses.
    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>>;

    /// Notes that the process has begun to drain; called for every service before any is drained.
    fn begin_drain(&self, _kernel: &Kernel) {}

    /// Stops accepting new work and waits until the work in flight is finished.
    fn drain<'a>(&'a self, _kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        Box::pin(ready(()))
    }

    /// Stops the service, including work that is still in flight.
    fn stop<'a>(&'a self, _kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        Box::pin(ready(()))
    }
}
