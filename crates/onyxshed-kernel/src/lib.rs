//! The runtime that every onyxshed process is built on.
//!
//! A process is a [`Kernel`] plus services. The kernel owns the executor, the [`Clock`], the event
//! [`Bus`] and a [`Registry`] in which services find each other by name. [`Kernel::run`] starts
//! services in dependency order, waits for a stop request, then drains and stops them in reverse
//! order. Everything runs on one thread.

pub mod bus;
pub mod clock;
pub mod error;
pub mod kernel;
pub mod notifier;
pub mod order;
pub mod process;
pub mod readiness;
pub mod registry;
pub mod service;
pub mod signal;

mod pause;

pub use bus::Bus;
pub use clock::Clock;
pub use error::{Error, Result};
pub use kernel::Kernel;
pub use notifier::Notifier;
pub use process::{Building, Draining, Process, RunEnd, RunOptions, Running};
pub use readiness::Readiness;
pub use registry::{Descriptor, Registry};
pub use service::{LocalFuture, Service, ServiceName};
pub use signal::StopRequest;
