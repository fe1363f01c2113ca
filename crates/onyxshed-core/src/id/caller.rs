//! Identity of a caller.

use std::fmt;
use std::str::FromStr;

use crate::error::{Error, Result};

/// Identity of a caller as a hash of what identifies it; 0 if the caller is not known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

impl CallerId {
    /// The caller is not known, so that no limit applies to it.
    pub const UNKNOWN: CallerId = CallerId(0);
}

impl fmt::Display for CallerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for CallerId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        u64::from_str_radix(text, 16)
            .map(CallerId)
            .map_err(|_| Error::id("caller id", text, "up to 16 hexadecimal digits"))
    }
}
