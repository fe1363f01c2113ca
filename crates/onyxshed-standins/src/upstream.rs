//! The stand-in of an upstream: one executor with slots, a bounded queue, leases and a record of every
//! start of a task.

pub mod options;
pub mod service;
pub mod tasks;

pub use options::{Payload, UpstreamFaults, UpstreamOptions};
pub use service::Executor;
pub use tasks::StartRecord;
