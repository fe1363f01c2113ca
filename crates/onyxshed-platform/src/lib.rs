//! Client of the platform: its append-only log and its list of hosts.
//!
//! A [`PlatformClient`] holds one connection and opens a new one when that breaks. It repeats
//! nothing by itself: an append whose answer was lost may have taken effect, and only the caller
//! knows how to find out.

pub mod client;
pub mod error;

pub use client::{PlatformClient, PlatformOptions};
pub use error::{Error, Result};
