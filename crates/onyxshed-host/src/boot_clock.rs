//! A monotonic clock that includes the time during which the machine was suspended.
//!
//! `CLOCK_MONOTONIC` stops while a machine is suspended, so that leases which expired long ago
//! would appear valid. `CLOCK_BOOTTIME` continues.

use onyxshed_core::Mono;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since boot in microseconds, including the time spent suspended.
pub fn now() -> Mono {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Mono(seconds * 1_000_000 + nanos / 1_000)
}
