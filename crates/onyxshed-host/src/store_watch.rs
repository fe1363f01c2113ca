//! Tracks whether the platform's store answers the calls of one module of this process, and logs
//! when this changes.

use std::cell::Cell;
use std::time::Duration;

use async_io::Timer;
use onyxshed_adapter::Error;
use onyxshed_core::{Event, EventKind, Mono};
use onyxshed_kernel::Kernel;
use smol_str::format_smolstr;

use crate::boot_clock;

/// Timeout of a call to the store, in addition to the requested wait; its slowest answers take
/// about 300 ms.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a failed call before a topic is read again from its newest state.
pub const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Logs one event when the store stops answering, and one when it answers again.
pub struct StoreWatch {
    kernel: Kernel,
    user: &'static str,
    lost_at: Cell<Option<Mono>>,
    recovered_at: Cell<Option<Mono>>,
}

impl StoreWatch {
    /// Creates a watch for one module that calls the store; `user` names the module in log events.
    pub fn new(kernel: &Kernel, user: &'static str) -> Self {
        StoreWatch {
            kernel: kernel.clone(),
            user,
            lost_at: Cell::new(None),
            recovered_at: Cell::new(None),
        }
    }

    /// Records a successful call. If the last call failed, logs that the store answers again.
    pub fn record_answer(&self) {
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        let now = boot_clock::now();
        self.recovered_at.set(Some(now));
        let outage = now.since(lost_at).as_millis();
        let detail = format_smolstr!("after {outage}");
        let event = Event::new(EventKind::StoreBack).party(self.user);
        self.kernel.emit(event.detail(detail));
    }

    /// Records the error after which a follower reads its topic again, and pauses. Does neither if
    /// the error only means that the store has trimmed the records that the follower was about to
    /// read.
    pub async fn pause_before_reread(&self, error: &Error) {
        if !matches!(error, Error::Trimmed { .. }) {
            self.record_failure(error);
            Timer::after(RETRY_PAUSE).await;
        }
    }

    /// Returns when the store last answered again after a failure, or `None` if no call has failed
    /// yet or the store has not recovered from its first failure.
    pub fn recovered_at(&self) -> Option<Mono> {
        self.recovered_at.get()
    }

    /// Returns whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.lost_at.get().is_some()
    }

    /// Records a failed call. If the last call did not fail, logs that the store is lost.
    pub fn record_failure(&self, error: &Error) {
        if self.is_lost() {
            return;
        }
        self.lost_at.set(Some(boot_clock::now()));
        let event = Event::new(EventKind::StoreLost).party(self.user);
        self.kernel.emit(event.detail(format_smolstr!("{error}")));
    }
}
