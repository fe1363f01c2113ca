//! Hybrid logical clock: orders events over processes whose clocks differ a little.
//!
//! A stamp is the highest wall time seen so far plus a counter. A process that hears from another
//! moves its own clock past the stamp it was sent, so an effect never sorts before its cause.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::error::{Error, Result};
use crate::time::UnixMs;

/// One stamp of a hybrid logical clock, written `wall_ms.counter`.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Hlc {
    /// Highest wall time seen.
    pub wall: UnixMs,
    /// Counts stamps of the same wall time.
    pub counter: u32,
}

impl fmt::Display for Hlc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall, self.counter)
    }
}

impl FromStr for Hlc {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let bad = || Error::id("clock stamp", text, "milliseconds, '.' and a counter");
        let (wall, counter) = text.split_once('.').ok_or_else(bad)?;
        Ok(Self {
            wall: UnixMs(wall.parse().map_err(|_| bad())?),
            counter: counter.parse().map_err(|_| bad())?,
        })
    }
}

/// How far ahead of our wall clock another's stamp may pull us, in milliseconds.
///
/// Without a bound one host with a clock years ahead would pull every stamp with it for good.
const MAX_AHEAD_MS: u64 = 60_000;

/// A process's hybrid logical clock.
#[derive(Debug, Clone, Default)]
pub struct HlcClock {
    last: Hlc,
}

impl HlcClock {
    /// Gets the stamp for an event that happens at `wall`.
    pub fn stamp(&mut self, wall: UnixMs) -> Hlc {
        self.last = if wall > self.last.wall {
            Hlc { wall, counter: 0 }
        } else {
            Hlc {
                wall: self.last.wall,
                counter: self.last.counter.saturating_add(1),
            }
        };
        self.last
    }

    /// Takes in a stamp that came with a message, unless it lies absurdly far ahead.
    pub fn observe(&mut self, theirs: Hlc, wall: UnixMs) {
        if theirs.wall.0 <= wall.0.saturating_add(MAX_AHEAD_MS) {
            self.last = self.last.max(theirs);
        }
    }
}
