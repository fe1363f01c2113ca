//! Counts that go down by themselves.

use std::cell::Cell;
use std::rc::Rc;

use super::ServerStats;

/// Counts something for as long as it lives.
pub(super) struct Counted {
    stats: Rc<ServerStats>,
    cell: fn(&ServerStats) -> &Cell<usize>,
}

impl Counted {
    /// Counts one up until it is dropped.
    pub(super) fn new(stats: &Rc<ServerStats>, cell: fn(&ServerStats) -> &Cell<usize>) -> Self {
        cell(stats).set(cell(stats).get() + 1);
        Counted {
            stats: stats.clone(),
            cell,
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let cell = (self.cell)(&self.stats);
        cell.set(cell.get() - 1);
    }
}
