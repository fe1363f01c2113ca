//! Quantities with their units, each a newtype with the unit's suffix in its text form.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

macro_rules! unit_type {
    ($(#[$doc:meta])* $name:ident($inner:ty), $kind:literal, $suffix:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                text.strip_suffix($suffix)
                    .and_then(|digits| digits.trim_end().parse().ok())
                    .map(Self)
                    .ok_or_else(|| Error::quantity($kind, text, $suffix))
            }
        }
    };
}

unit_type!(
    /// Duration in microseconds; `250us` as text, a bare number when serialized.
    Micros(u64), "span in microseconds", "us"
);
unit_type!(
    /// Duration in milliseconds; `250ms` as text, a bare number when serialized.
    Millis(u64), "span in milliseconds", "ms"
);
unit_type!(
    /// Size in bytes; `4096B` as text, a bare number when serialized.
    Bytes(u64), "size in bytes", "B"
);
unit_type!(
    /// Rate in events per second; `20/s` as text, a bare number when serialized.
    RatePerS(u32), "rate a second", "/s"
);
unit_type!(
    /// Number of tasks that can run concurrently.
    Slots(u32), "number of slots", "slots"
);

/// Share of a whole in thousandths, 0 to 1,000.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share(u16);

impl Share {
    /// The whole.
    pub const ALL: Share = Share(1_000);

    /// Nothing.
    pub const NONE: Share = Share(0);

    /// Creates a share; values above 1,000 become 1,000.
    #[allow(clippy::cast_possible_truncation)]
    pub const fn from_millis(millis: u64) -> Self {
        match millis < Share::ALL.0 as u64 {
            true => Share(millis as u16),
            false => Share::ALL,
        }
    }

    /// Returns `part` of `whole`, rounded down; everything if `whole` is 0.
    pub fn of(part: u64, whole: u64) -> Self {
        let millis = u128::from(part) * 1_000 / u128::from(whole.max(1));
        match whole {
            0 => Share::ALL,
            _ => Share::from_millis(u64::try_from(millis).unwrap_or(u64::MAX)),
        }
    }

    /// Returns the share in thousandths, 0 to 1,000.
    pub fn millis(self) -> u16 {
        self.0
    }
}

impl Default for Share {
    fn default() -> Self {
        Share::ALL
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}%", self.0 / 10, self.0 % 10)
    }
}

impl FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let parsed = text.strip_suffix('%').and_then(|number| {
            let (whole, tenths) = number.split_once('.')?;
            let tenths: u16 = tenths.parse().ok().filter(|tenths| *tenths < 10)?;
            let whole: u16 = whole.parse().ok()?;
            whole.checked_mul(10)?.checked_add(tenths)
        });
        parsed
            .filter(|millis| *millis <= Share::ALL.0)
            .map(Share)
            .ok_or_else(|| Error::id("share", text, "0.0% to 100.0%, with one decimal"))
    }
}

impl Micros {
    /// Returns the duration in milliseconds, rounded down.
    pub fn as_millis(self) -> Millis {
        Millis(self.0 / 1_000)
    }
}

impl From<Millis> for Micros {
    fn from(span: Millis) -> Micros {
        Micros(span.0.saturating_mul(1_000))
    }
}

impl From<Micros> for std::time::Duration {
    fn from(span: Micros) -> Self {
        std::time::Duration::from_micros(span.0)
    }
}

impl From<Millis> for std::time::Duration {
    fn from(span: Millis) -> Self {
        std::time::Duration::from_millis(span.0)
    }
}
