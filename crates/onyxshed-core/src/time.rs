//! Time as it is handed to decisions.
//!
//! Decisions never read a clock. A shell reads both clocks once, makes a [`Now`] and passes it in
//! with the event. Spans are measured on the monotonic clock; only the age of an id and records on
//! the platform's log use the wall clock.

use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

use crate::units::{Micros, Millis};

/// Point on a process's monotonic clock, in microseconds since an arbitrary start.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Mono(pub u64);

impl Mono {
    /// Gets the span since `earlier`, zero if `earlier` lies ahead.
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

/// Point on the wall clock, in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// Gets the span since `earlier`, zero if `earlier` lies ahead.
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

/// Both clocks, read together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Now {
    /// The monotonic clock.
    pub mono: Mono,
    /// The wall clock.
    pub wall: UnixMs,
}

impl Now {
    /// Makes a point that lies `span` later on both clocks.
    pub fn later(self, span: Millis) -> Now {
        Now {
            mono: self.mono + span,
            wall: self.wall + span,
        }
    }
}
