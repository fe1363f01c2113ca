//! Load generator and experiments: measures what callers see.
//!
//! Arrivals are planned in advance from a seed ([`plan`]) and each job is sent at its planned time,
//! even if earlier jobs are still unanswered ([`run`]). Latency counts from the planned time, so
//! time during which the system stalls is part of the measurement (no coordinated omission). The
//! same plans drive the decision core in virtual time ([`sim`]), which compares policies.
//! [`slopes`] measures how the memory and processor time of one process grow, for docs/CAPACITY.md.

pub mod bench;
pub mod caller;
pub mod claims;
pub mod cli;
pub mod direct;
pub mod error;
pub mod idle;
pub mod local;
pub mod mix;
pub mod plan;
pub mod plot;
pub mod process;
pub mod report;
pub mod run;
pub mod sim;
pub mod slopes;
pub mod tally;
pub mod throughput;
pub mod whole_path;

pub use error::{Error, Result};
