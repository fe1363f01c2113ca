//! The turns of start and stop orders, of which a limited number is in progress.

use std::cell::RefCell;
use std::collections::BTreeSet;

use async_lock::{Semaphore, SemaphoreGuard};
use onyxshed_pool::{ExecutorId, StopOrder};

/// What tells a stop order apart: the executor, and the order with its fencing token.
type StopKey = (ExecutorId, StopOrder);

/// The turns of start and stop orders.
#[derive(Debug)]
pub struct OrderTurns {
    permits: Semaphore,
    /// Stop orders that wait or are in progress. Each report of an executor repeats those that it has not
    /// accepted; the queue would grow faster than executors answer.
    stops: RefCell<BTreeSet<StopKey>>,
}

impl OrderTurns {
    /// Creates turns for at most `in_progress_max` orders in progress.
    pub fn new(in_progress_max: usize) -> Self {
        OrderTurns {
            permits: Semaphore::new(in_progress_max),
            stops: RefCell::default(),
        }
    }

    /// Waits for the turn of an order, which lasts until the guard is dropped.
    pub async fn wait(&self) -> SemaphoreGuard<'_> {
        self.permits.acquire().await
    }

    /// Enters a stop order. Returns `None` if it waits or is in progress already.
    pub fn enter_stop(&self, id: &ExecutorId, order: &StopOrder) -> Option<StopEntry> {
        let key = (id.clone(), order.clone());
        let is_new = self.stops.borrow_mut().insert(key.clone());
        is_new.then_some(StopEntry(key))
    }

    /// Removes a stop order that has been answered or has timed out.
    pub fn leave_stop(&self, entry: &StopEntry) {
        self.stops.borrow_mut().remove(&entry.0);
    }
}

/// The entry of a stop order that waits or is in progress.
#[derive(Debug)]
pub struct StopEntry(StopKey);
