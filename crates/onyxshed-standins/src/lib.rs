//! Stand-ins for the services that onyxshed depends on, for tests and trials only.
//!
//! [`platform`] keeps a log and a host list in memory, [`upstream`] is one executor, [`fleet`] is the
//! users' platform with its store and executors, and [`faults`] is a TCP proxy that breaks connections
//! on command. Each binary wraps one of them and prints one [`ready::ReadyLine`] on standard output
//! once it accepts connections.

pub mod error;
pub mod faults;
pub mod fleet;
pub mod history;
pub mod platform;
pub mod ready;
pub mod serve;
pub mod upstream;

pub use error::{Error, Result};
