//! A value that readers see with a fixed delay; the host list of the platform's stand-in is one.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The changes of a value, kept for as long as a view that lags may still show them.
#[derive(Debug)]
pub struct History<T> {
    lag: Duration,
    changes: VecDeque<(Instant, T)>,
}

impl<T> History<T> {
    /// Creates a history whose views lag by `lag` and show `value` until the first change is that old.
    pub fn new(lag: Duration, value: T) -> Self {
        History {
            lag,
            changes: VecDeque::from([(Instant::now(), value)]),
        }
    }

    /// Sets the value; views show it after the lag.
    pub fn set(&mut self, value: T) {
        self.changes.push_back((Instant::now(), value));
        self.drop_unneeded(Instant::now());
    }

    /// Returns the newest value, without lag.
    pub fn newest(&self) -> &T {
        &self.changes[self.changes.len() - 1].1
    }

    /// Returns the value that was in force one lag before `now`.
    pub fn view_at(&self, now: Instant) -> &T {
        let newest_first = self.changes.iter().rev();
        newest_first
            .clone()
            .find(|(at, _)| *at + self.lag <= now)
            .map_or(&self.changes[0].1, |(_, value)| value)
    }

    fn drop_unneeded(&mut self, now: Instant) {
        while self.changes.len() > 1 && self.changes[1].0 + self.lag <= now {
            self.changes.pop_front();
        }
    }
}
