//! Proof by real processes and scripted scenarios.
//!
//! [`process`] starts binaries and sends them signals, [`cluster`] arranges entry hosts, executors
//! and the platform's stand-in around the fault-injecting proxy, [`caller`] is a client, and
//! [`scenario`] reads and plays the files in `scenarios/`. [`truth`] checks what must hold after
//! every scenario against the starts that the executors recorded. [`zone`] serves tests that are no scenario. docs/SCENARIOS.md describes the
//! language.

pub mod caller;
pub mod cluster;
pub mod error;
pub mod process;
pub mod remote;
pub mod scenario;
pub mod truth;
pub mod zone;

pub use error::{Error, Result};
