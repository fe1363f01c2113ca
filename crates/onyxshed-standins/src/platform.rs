//! The stand-in of the platform: an append-only log with streams, and a host list that lags.

pub mod log;
pub mod service;
pub mod state;

pub use service::Platform;
pub use state::{Counts, Faults, HostSet, PlatformOptions, Truncation};
