//! What a service is.

use std::fmt;
use std::future::{Future, ready};
use std::pin::Pin;

use crate::error::Result;
use crate::kernel::Kernel;

/// A future that stays on its thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Name that a service is found by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceName(&'static str);

impl ServiceName {
    /// Makes a name.
    pub const fn new(name: &'static str) -> Self {
        ServiceName(name)
    }

    /// Gets the name as text.
    pub const fn as_str(self) -> &'static str {
        self.0
    }
}

impl fmt::Display for ServiceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.0)
    }
}

/// A part of a process with a life of its own.
pub trait Service {
    /// Gets the name.
    fn name(&self) -> ServiceName;

    /// Gets the services that must run before this one starts and until it has stopped.
    fn dependencies(&self) -> &[ServiceName] {
        &[]
    }

    /// Tries to start; it registers its handle and opens its addresses here.
    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>>;

    /// Takes no new work from now on and waits until the work in flight is finished.
    fn drain<'a>(&'a self, _kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        Box::pin(ready(()))
    }

    /// Ends whatever is left.
    fn stop<'a>(&'a self, _kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        Box::pin(ready(()))
    }
}
