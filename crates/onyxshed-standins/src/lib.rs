//! Stand-ins for what surrounds onyxshed, for tests and trials only.
//!
//! [`platform`] keeps a log and a host list in memory, [`upstream`] is one executor, [`fleet`] is the
//! users' platform with its store and executors, [`faults`] is a TCP proxy that breaks connections on
//! command. Each binary is a thin shell around one of them and
//! prints one [`ready::ReadyLine`] on standard output when it serves.

pub mod error;
pub mod faults;
pub mod fleet;
pub mod history;
pub mod platform;
pub mod ready;
pub mod serve;
pub mod upstream;

pub use error::{Error, Result};
