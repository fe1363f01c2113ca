//! The platform's stand-in: an append-only log with streams, and a lagging host list.

pub mod log;
pub mod service;
pub mod state;

pub use service::Platform;
pub use state::{Counts, Faults, Hosts, PlatformOptions, Truncation};
