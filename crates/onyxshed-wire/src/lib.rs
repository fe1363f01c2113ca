//! Bodies and headers of the interfaces to callers, upstreams and the platform.
//!
//! This crate defines the contents of HTTP bodies and headers and how they are encoded and decoded; it
//! makes no calls. Each decoder limits the input that it accepts, and its error names the defect.
//! docs/CALLERS.md, docs/UPSTREAMS.md and docs/PLATFORM.md describe the same interfaces to their users.

pub mod admin;
pub mod caller;
pub mod content;
pub mod error;
pub mod platform;
pub mod record;
pub mod upstream;

pub use content::ContentHash;
pub use error::{Error, Result};
