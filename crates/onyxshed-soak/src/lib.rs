//! A soak: the real programs as separate processes on one machine, under random faults.
//!
//! [`fleet`] starts the store's and the executors' stand-ins, the hosts and a fault-injecting proxy
//! between all of them. [`callers`] send jobs and stay with them as the platform's callers do.
//! [`faults`] draws a plan from a seed. [`checks`] holds what callers heard against what executors
//! recorded. Every process is ended by its id.

pub mod callers;
pub mod checks;
pub mod faults;
pub mod fleet;
pub mod run;

pub use onyxshed_proof::{Error, Result};
pub use run::{Report, SoakOptions, soak};
