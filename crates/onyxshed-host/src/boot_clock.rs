//! A steady clock that counts the time in which the machine was suspended.
//!
//! Failure guarded against: a host is suspended for seconds; the monotonic clock stands still, and
//! after it leases and deadlines that have long passed look fresh. Symptom: tasks start whose jobs
//! run elsewhere by now. `CLOCK_BOOTTIME` goes on while the machine sleeps.

use onyxshed_core::Mono;
use rustix::time::{ClockId, clock_gettime};

/// Reads the clock.
pub fn now() -> Mono {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Mono(seconds * 1_000_000 + nanos / 1_000)
}
