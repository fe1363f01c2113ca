//! Progress of whatever takes more than a second, on standard error.

use std::time::{Duration, Instant};

/// Least time between two lines.
const PERIOD: Duration = Duration::from_secs(1);

/// Says now and then what is being waited for.
#[derive(Debug)]
pub struct Progress {
    last: Instant,
}

impl Progress {
    /// Starts; nothing is said in the first second.
    pub fn start() -> Self {
        Progress {
            last: Instant::now(),
        }
    }

    /// Says what is being waited for, if a second has passed since it was last said.
    pub fn tell(&mut self, what: impl FnOnce() -> String) {
        if self.last.elapsed() >= PERIOD {
            self.last = Instant::now();
            eprintln!("waiting: {}", what());
        }
    }
}
