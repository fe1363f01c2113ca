//! Arrival times of requests that may have waited in their sockets.
//!
//! A request is read as soon as the process runs. After a pause of the process, nothing shows for how long the
//! requests that it reads have waited, and their callers may have submitted the jobs elsewhere. Such requests
//! count as having arrived when the pause began.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_core::{Millis, Mono};

use crate::boot_clock;

/// Interval at which the process records that it is running.
const RECORD_PERIOD: Duration = Duration::from_millis(100);

/// Shortest time without a record that counts as a pause. Callers resubmit a job 1,300 ms after they gave
/// up its request at the earliest, and runs end within a lease and a stop (662 ms), so shorter pauses do
/// no harm.
const PAUSE_MIN: Millis = Millis(600);

/// Time after a pause within which the requests that waited during it are read.
const BACKLOG_TIME: Millis = Millis(500);

/// A time span during which the process did not run.
#[derive(Debug, Clone, Copy)]
struct Pause {
    from: Mono,
    until: Mono,
}

/// Estimates when requests arrived.
#[derive(Debug)]
pub struct ArrivalClock {
    last_running_at: Cell<Mono>,
    last_pause: Cell<Option<Pause>>,
}

impl ArrivalClock {
    /// Creates the clock of a process that runs.
    pub fn new(now: Mono) -> Self {
        ArrivalClock {
            last_running_at: Cell::new(now),
            last_pause: Cell::new(None),
        }
    }

    /// Records that the process runs, and detects a pause that has just ended.
    pub fn record_running(&self, now: Mono) {
        let from = self.last_running_at.replace(now);
        if now.since(from) >= PAUSE_MIN.into() {
            self.last_pause.set(Some(Pause { from, until: now }));
        }
    }

    /// Returns the earliest time at which a request that is read now may have arrived.
    pub fn earliest_arrival(&self, now: Mono) -> Mono {
        self.record_running(now);
        match self.last_pause.get() {
            Some(pause) if now.since(pause.until) < BACKLOG_TIME.into() => pause.from,
            _ => now,
        }
    }

    /// Records periodically that the process runs. Never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.record_running(boot_clock::now());
            Timer::after(RECORD_PERIOD).await;
        }
    }
}
