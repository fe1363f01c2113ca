//! Fingerprint of a submission's content, used to detect different jobs under one submission id.

use std::fmt;
use std::str::FromStr;

use onyxshed_core::ClassName;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use xxhash_rust::xxh3::Xxh3;

/// 64-bit XXH3 hash over the class and, for each payload, its length and its bytes.
///
/// Distinguishes a copy of a submission from another submission that reuses its id by mistake. It does
/// not protect against a caller that forges a collision: such a caller harms only its own submission.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct ContentHash(pub u64);

impl ContentHash {
    /// Computes the fingerprint of a submission's class and payloads.
    pub fn of(class: &ClassName, payloads: &[Vec<u8>]) -> Self {
        let mut hash = Xxh3::new();
        hash.update(class.as_str().as_bytes());
        for payload in payloads {
            hash.update(&(payload.len() as u64).to_le_bytes());
            hash.update(payload);
        }
        ContentHash(hash.digest())
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ContentHash {
    type Err = onyxshed_core::Error;

    fn from_str(text: &str) -> onyxshed_core::Result<Self> {
        u64::from_str_radix(text, 16)
            .map(ContentHash)
            .map_err(|_| onyxshed_core::Error::id("content hash", text, "16 hexadecimal digits"))
    }
}
