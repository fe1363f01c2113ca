//! The entry process: accepts jobs from callers and dispatches their tasks to executors of upstreams.
//!
//! [`engine`] owns the deterministic dispatch state machine and executes its outputs through the other
//! services, each of which handles one kind of connection: [`callers`] serves requests of callers and
//! peers, [`upstreams`] starts and stops tasks, [`claim_log`] appends and follows claims, [`peers`]
//! forwards requests to other hosts, and [`control_port`] receives snapshots from the control process.

pub mod callers;
pub mod claim_log;
pub mod control_port;
pub mod engine;
pub mod measures;
pub mod names;
pub mod peers;
pub mod process;
pub mod upstreams;
