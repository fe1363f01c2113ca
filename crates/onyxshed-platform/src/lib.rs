//! Client of the platform: its append-only log and its list of hosts.
//!
//! A [`PlatformClient`] holds one connection and opens a new one after that has failed. It never retries
//! a call: an append whose answer was lost may have taken effect, and only the caller of the client can
//! determine whether it did.

pub mod client;
pub mod error;

pub use client::{PlatformClient, PlatformOptions};
pub use error::{Error, Result};
