//! A guard that decrements a gauge of [`ServerStats`] on drop.

use std::cell::Cell;
use std::rc::Rc;

use super::ServerStats;

/// Counts one open connection or one request in flight in [`ServerStats`] until dropped.
pub(super) struct GaugeGuard {
    stats: Rc<ServerStats>,
    counter: fn(&ServerStats) -> &Cell<usize>,
}

impl GaugeGuard {
    /// Increments a gauge; dropping the guard decrements it.
    pub(super) fn new(stats: &Rc<ServerStats>, counter: fn(&ServerStats) -> &Cell<usize>) -> Self {
        counter(stats).set(counter(stats).get() + 1);
        GaugeGuard {
            stats: stats.clone(),
            counter,
        }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        let counter = (self.counter)(&self.stats);
        counter.set(counter.get() - 1);
    }
}
