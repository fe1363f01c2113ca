//! Notices when the whole process stood still.
//!
//! Failure guarded against: the process is frozen, starved or swapped out, or one of its own tasks
//! does not yield. Symptom: requests, leases and heartbeats all run late at the same time, and
//! nothing in the time line says why. A timer that comes back late tells how long it lasted.

use std::time::{Duration, Instant};

use async_io::Timer;
use onyxshed_core::{Event, EventKind, Millis};
use smol_str::format_smolstr;

use crate::bus::Bus;

/// How often the watch looks.
const PERIOD: Duration = Duration::from_millis(100);

/// Emits an event whenever the process stood still for at least `least`; never ends.
pub(crate) async fn watch(bus: Bus, least: Millis) {
    loop {
        let due = Instant::now() + PERIOD;
        Timer::at(due).await;
        let late = due.elapsed();
        if late >= least.into() {
            let detail = format_smolstr!("stood still for {} ms", late.as_millis());
            bus.emit(Event::new(EventKind::PauseDetected).detail(detail));
        }
    }
}
