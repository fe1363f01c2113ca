//! A steady clock that counts the time in which the machine was suspended.
//!
//! The monotonic clock stands still while a machine is suspended, and leases that have long lapsed would
//! look fresh. `CLOCK_BOOTTIME` goes on.

use onyxshed_core::Mono;
use rustix::time::{ClockId, clock_gettime};

/// Reads the clock.
pub fn now() -> Mono {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Mono(seconds * 1_000_000 + nanos / 1_000)
}
