//! Identifier of one start of an entry process.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::error::{Error, Result};

/// Identifier of one start of an entry process; every restart gets a new incarnation.
///
/// A random 64-bit number drawn at startup, displayed as 16 lower-case hexadecimal digits.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Incarnation(pub u64);

/// Number of hexadecimal digits in the text form of an incarnation.
const HEX_DIGITS: usize = 16;

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
        let invalid = || Error::id("incarnation", text, "16 lower-case hexadecimal digits");
        let is_well_formed = text.len() == HEX_DIGITS
            && text
                .bytes()
                .all(|b| b.is_ascii_digit() || matches!(b, b'a'..=b'f'));
        if !is_well_formed {
            return Err(invalid());
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| invalid())
    }
}
