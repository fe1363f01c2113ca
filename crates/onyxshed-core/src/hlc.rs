//! Hybrid logical clock, which orders events across processes with slightly different wall clocks.
//!
//! A timestamp is the highest wall time known to the process plus a counter. A process that
//! receives a message advances its clock past the message's timestamp, so an effect never sorts
//! before its cause.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::error::{Error, Result};
use crate::time::UnixMs;

/// Timestamp of a hybrid logical clock, displayed as `wall_ms.counter`.
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
    /// Highest wall time known to the process when the timestamp was created, from its own clock or
    /// a received timestamp.
    pub wall: UnixMs,
    /// Number that distinguishes timestamps with the same wall time. The clock starts at 0 when the
    /// wall time advances, and adds 1 otherwise.
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
        let invalid = || Error::id("clock stamp", text, "milliseconds, '.' and a counter");
        let (wall, counter) = text.split_once('.').ok_or_else(invalid)?;
        Ok(Self {
            wall: UnixMs(wall.parse().map_err(|_| invalid())?),
            counter: counter.parse().map_err(|_| invalid())?,
        })
    }
}

/// Maximum distance by which a received timestamp may be ahead of the local wall clock, in
/// milliseconds.
///
/// Without a limit, a single host whose clock is years ahead would permanently advance the
/// timestamps of all other hosts.
const MAX_AHEAD_MS: u64 = 60_000;

/// Hybrid logical clock of a process: the highest timestamp that it has created or accepted from a
/// message.
#[derive(Debug, Clone, Default)]
pub struct HlcClock {
    last: Hlc,
}

impl HlcClock {
    /// Returns the timestamp of a new event that occurs at wall time `wall`. It is greater than the
    /// last timestamp that this clock created or observed.
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

    /// Advances the clock to the timestamp of a received message.
    ///
    /// A timestamp more than `MAX_AHEAD_MS` ahead of `wall` is ignored.
    pub fn observe(&mut self, received: Hlc, wall: UnixMs) {
        if received.wall.0 <= wall.0.saturating_add(MAX_AHEAD_MS) {
            self.last = self.last.max(received);
        }
    }
}
