//! Conversion between times and floating-point microseconds.

use std::time::Duration;

use onyxshed_core::Micros;

/// Microseconds in a second.
const US_PER_S: f64 = 1e6;

/// Returns a time in microseconds as a floating-point number.
pub fn as_us(span: Micros) -> f64 {
    span.0 as f64
}

/// Converts to whole microseconds. A negative or undefined value becomes zero, and a value that is
/// too large becomes the maximum.
pub fn to_micros(us: f64) -> Micros {
    if us.is_nan() || us <= 0.0 {
        return Micros(0);
    }
    let us = Duration::try_from_secs_f64(us / US_PER_S).map_or(u128::MAX, |d| d.as_micros());
    Micros(u64::try_from(us).unwrap_or(u64::MAX))
}
