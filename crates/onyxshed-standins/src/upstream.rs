//! An upstream's stand-in: one executor with slots, a bounded queue, leases and a record of every
//! start.

pub mod options;
pub mod service;
pub mod tasks;

pub use options::{Payload, UpstreamFaults, UpstreamOptions};
pub use service::Executor;
pub use tasks::StartRecord;
