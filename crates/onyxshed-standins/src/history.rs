//! A value as it was some time ago.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Remembers a value's changes for as long as a lagging view needs them.
#[derive(Debug)]
pub struct History<T> {
    lag: Duration,
    changes: VecDeque<(Instant, T)>,
}

impl<T> History<T> {
    /// Starts with a value that a view at any lag shows until the first change is old enough.
    pub fn new(lag: Duration, value: T) -> Self {
        History {
            lag,
            changes: VecDeque::from([(Instant::now(), value)]),
        }
    }

    /// Sets the value from now on.
    pub fn set(&mut self, value: T) {
        self.changes.push_back((Instant::now(), value));
        self.forget(Instant::now());
    }

    /// Gets the newest value.
    pub fn newest(&self) -> &T {
        &self.changes[self.changes.len() - 1].1
    }

    /// Gets the value as it was the lag before `now`.
    pub fn view_at(&self, now: Instant) -> &T {
        let seen = self.changes.iter().rev();
        seen.clone()
            .find(|(at, _)| *at + self.lag <= now)
            .map_or(&self.changes[0].1, |(_, value)| value)
    }

    fn forget(&mut self, now: Instant) {
        while self.changes.len() > 1 && self.changes[1].0 + self.lag <= now {
            self.changes.pop_front();
        }
    }
}
