//! One life of one entry host.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::error::{Error, Result};

/// One run of an entry process, from start to end; a restart is another incarnation.
///
/// Drawn at random at start, 64 bits, written as 16 hexadecimal digits.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Incarnation(pub u64);

/// Digits of a written incarnation.
const DIGITS: usize = 16;

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Incarnation {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let bad = || Error::id("incarnation", text, "16 lower-case hexadecimal digits");
        let is_plain = text.len() == DIGITS
            && text
                .bytes()
                .all(|b| b.is_ascii_digit() || matches!(b, b'a'..=b'f'));
        if !is_plain {
            return Err(bad());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| bad())
    }
}
