//! Bodies and headers of the interfaces to callers, upstreams and the platform.
//!
//! Only shapes live here: what goes into an HTTP body or header and how it is read back. Each
//! decoder bounds what it takes and names what was wrong. docs/CALLERS.md, docs/UPSTREAMS.md and
//! docs/PLATFORM.md describe the same for people.

pub mod admin;
pub mod caller;
pub mod content;
pub mod error;
pub mod platform;
pub mod record;
pub mod upstream;

pub use content::ContentHash;
pub use error::{Error, Result};
