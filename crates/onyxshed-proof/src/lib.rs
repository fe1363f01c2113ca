//! Whole-system tests with real processes and scripted scenarios.
//!
//! [`process`] starts binaries and sends them signals, [`cluster`] connects entry hosts, executors
//! and a stand-in for the platform through the fault-injecting proxy, [`caller`] is a client that
//! submits jobs, and [`scenario`] parses and runs the files in `scenarios/`. After every scenario,
//! [`truth`] checks the answers that callers received against the task starts that the executors
//! recorded. [`zone`] contains helpers for tests that are not written as scenarios.
//! docs/SCENARIOS.md describes the language.

pub mod caller;
pub mod cluster;
pub mod error;
pub mod process;
pub mod remote;
pub mod scenario;
pub mod truth;
pub mod zone;

pub use error::{Error, Result};
