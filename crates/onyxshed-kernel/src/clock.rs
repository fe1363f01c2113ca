//! The monotonic clock, the wall clock and the hybrid logical clock of the process.
//!
//! Services take the time of decisions and the stamps of events from here; only timeouts and
//! durations of single operations use [`Instant`] directly. `onyxshed-host` takes the time of
//! decisions from a clock of its own, which includes the time during which the machine was
//! suspended.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use onyxshed_core::{Hlc, HlcClock, Mono, Now, UnixMs};

/// Reads the monotonic and the wall clock and stamps events. Clones share one hybrid logical clock.
#[derive(Debug, Clone)]
pub struct Clock {
    start: Instant,
    hlc: Rc<RefCell<HlcClock>>,
}

impl Clock {
    /// Creates a clock whose monotonic time starts at zero now.
    pub fn new() -> Self {
        Clock {
            start: Instant::now(),
            hlc: Rc::default(),
        }
    }

    /// Returns the current monotonic and wall-clock time.
    pub fn now(&self) -> Now {
        Now {
            mono: Mono(as_u64(self.start.elapsed().as_micros())),
            wall: wall(),
        }
    }

    /// Returns a new stamp of the hybrid logical clock for an event that happens now.
    pub fn stamp(&self) -> Hlc {
        self.hlc.borrow_mut().stamp(wall())
    }

    /// Advances the hybrid logical clock past a stamp received with a message.
    pub fn observe(&self, remote: Hlc) {
        self.hlc.borrow_mut().observe(remote, wall());
    }

    /// Converts a time on the monotonic clock to an [`Instant`].
    pub fn instant(&self, at: Mono) -> Instant {
        self.start + Duration::from_micros(at.0)
    }

    /// Sleeps until a time on the monotonic clock.
    pub async fn sleep_until(&self, at: Mono) {
        Timer::at(self.instant(at)).await;
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// Reads the wall clock; a time before 1970 is returned as 1970.
fn wall() -> UnixMs {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMs(as_u64(since_epoch.as_millis()))
}

fn as_u64(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}
