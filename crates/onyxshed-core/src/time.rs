//! Points in time, as passed to the state machines.
//!
//! State machines never read a clock. The surrounding process reads both clocks once per event and
//! passes them in as a [`Now`]. Durations are measured on the monotonic clock; only the age of an
//! id and records in the platform's log use the wall clock.

use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

use crate::units::{Micros, Millis};

/// Reading of a process's monotonic clock, in microseconds since an arbitrary origin.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Mono(pub u64);

impl Mono {
    /// Returns the duration since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Mono) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Micros> for Mono {
    type Output = Mono;

    fn add(self, span: Micros) -> Mono {
        Mono(self.0.saturating_add(span.0))
    }
}

impl Add<Millis> for Mono {
    type Output = Mono;

    fn add(self, span: Millis) -> Mono {
        self + Micros::from(span)
    }
}

/// Reading of the wall clock, in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// Returns the duration since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: UnixMs) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for UnixMs {
    type Output = UnixMs;

    fn add(self, span: Millis) -> UnixMs {
        UnixMs(self.0.saturating_add(span.0))
    }
}

impl Sub<Millis> for UnixMs {
    type Output = UnixMs;

    fn sub(self, span: Millis) -> UnixMs {
        UnixMs(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for UnixMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Readings of both clocks, taken at the same time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Now {
    /// Monotonic clock; used to measure durations.
    pub mono: Mono,
    /// Wall clock; used for the age of ids and for log records.
    pub wall: UnixMs,
}

impl Now {
    /// Returns the point in time that is `span` later on both clocks.
    pub fn later(self, span: Millis) -> Now {
        Now {
            mono: self.mono + span,
            wall: self.wall + span,
        }
    }
}
