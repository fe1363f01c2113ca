//! The process's clocks, read here and nowhere else.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use onyxshed_core::{Hlc, HlcClock, Mono, Now, UnixMs};

/// Reads the monotonic and the wall clock, and stamps events; clones share one state.
#[derive(Debug, Clone)]
pub struct Clock {
    start: Instant,
    hlc: Rc<RefCell<HlcClock>>,
}

impl Clock {
    /// Makes a clock whose monotonic time starts now.
    pub fn new() -> Self {
        Clock {
            start: Instant::now(),
            hlc: Rc::default(),
        }
    }

    /// Reads both clocks.
    pub fn now(&self) -> Now {
        Now {
            mono: Mono(as_u64(self.start.elapsed().as_micros())),
            wall: wall(),
        }
    }

    /// Gets the stamp for an event that happens now.
    pub fn stamp(&self) -> Hlc {
        self.hlc.borrow_mut().stamp(wall())
    }

    /// Takes in a stamp that came with a message.
    pub fn observe(&self, theirs: Hlc) {
        self.hlc.borrow_mut().observe(theirs, wall());
    }

    /// Gets the system's form of a point on the monotonic clock.
    pub fn instant(&self, at: Mono) -> Instant {
        self.start + Duration::from_micros(at.0)
    }

    /// Waits until a point on the monotonic clock.
    pub async fn sleep_until(&self, at: Mono) {
        Timer::at(self.instant(at)).await;
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// Reads the wall clock; a clock before 1970 counts as 1970.
fn wall() -> UnixMs {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMs(as_u64(since_epoch.as_millis()))
}

fn as_u64(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}
