//! The micro-kernel of every onyxshed process.
//!
//! A process is a [`Kernel`] plus services. The kernel owns the one executor, the [`Clock`], the
//! event [`Bus`] and a [`Registry`] in which services find each other by name. [`Kernel::run`]
//! starts services in the order of their needs, waits for a signal, drains and stops them in
//! reverse. Everything runs on one thread.

pub mod bus;
pub mod change;
pub mod clock;
pub mod error;
pub mod kernel;
pub mod order;
pub mod process;
pub mod readiness;
pub mod registry;
pub mod service;
pub mod signal;

mod pause;

pub use bus::Bus;
pub use change::Notifier;
pub use clock::Clock;
pub use error::{Error, Result};
pub use kernel::Kernel;
pub use process::{Building, Draining, Process, RunEnd, RunOptions, Running};
pub use readiness::Readiness;
pub use registry::{Descriptor, Registry};
pub use service::{LocalFuture, Service, ServiceName};
pub use signal::StopRequest;
