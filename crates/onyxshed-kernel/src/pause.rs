//! Detects pauses of the whole process.
//!
//! If the process is frozen, starved or swapped out, or one of its tasks does not yield, then
//! requests, leases and heartbeats are all late at the same time and nothing in the time line shows
//! the cause. A timer that fires late measures how long the pause lasted.

use std::time::{Duration, Instant};

use async_io::Timer;
use onyxshed_core::{Event, EventKind, Millis};
use smol_str::format_smolstr;

use crate::bus::Bus;

/// Duration of each timer whose lateness is measured.
const TIMER_PERIOD: Duration = Duration::from_millis(100);

/// Emits an event whenever a timer fires at least `min` late, that is, the process was paused for
/// at least that long. Never returns.
pub(crate) async fn monitor(bus: Bus, min: Millis) {
    loop {
        let due = Instant::now() + TIMER_PERIOD;
        Timer::at(due).await;
        let lateness = due.elapsed();
        if lateness >= min.into() {
            let detail = format_smolstr!("paused for {} ms", lateness.as_millis());
            bus.emit(Event::new(EventKind::PauseDetected).detail(detail));
        }
    }
}
