//! Load and experiments: what callers would see, measured without flattering the system.
//!
//! Arrivals are planned ahead from a seed ([`plan`]) and sent at their planned time whatever became
//! of earlier ones ([`run`]); latency counts from the planned time, so a system that stalls cannot
//! hide behind a caller that waits for it. The same plans drive the decision core in virtual time
//! ([`sim`]), where policies are set side by side. [`slopes`] measures how one process's memory and
//! processor time grow, for docs/CAPACITY.md.

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
