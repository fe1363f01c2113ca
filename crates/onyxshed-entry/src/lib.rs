//! The entry process: faces callers and upstreams.
//!
//! [`engine`] owns the deterministic dispatch machine and turns its outputs into calls of the other
//! services, each of which is a shell round one kind of connection: [`callers`] serves requests,
//! [`upstreams`] starts and stops tasks, [`claim_log`] appends and follows claims, [`peers`] passes
//! requests on, [`control_port`] takes snapshots from the control process.

pub mod callers;
pub mod claim_log;
pub mod control_port;
pub mod engine;
pub mod measures;
pub mod names;
pub mod peers;
pub mod process;
pub mod upstreams;
