//! Client of the platform: its append-only log and its list of hosts.
//!
//! A [`PlatformClient`] holds one connection and replaces it if it was closed, a call on it has
//! failed or its last reply is too old. The client never retries a call: an append whose answer was
//! lost may have taken effect, and only the caller of the client can determine whether it did.

pub mod client;
pub mod error;

pub use client::{PlatformClient, PlatformOptions};
pub use error::{Error, Result};
