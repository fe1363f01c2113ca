//! Whether the platform's store answers one of this host's followers, for the log.

use std::cell::Cell;
use std::time::Duration;

use async_io::Timer;
use onyxshed_adapter::Error;
use onyxshed_core::{Event, EventKind, Mono};
use onyxshed_kernel::Kernel;
use smol_str::format_smolstr;

use crate::boot_clock;

/// How long an answer of the store may take, beyond what it was asked to wait; its slowest ones take
/// about 300 ms.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a failed call before a topic is read anew.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Tells once when the store stops answering, and once when it answers again.
pub struct StoreWatch {
    kernel: Kernel,
    user: &'static str,
    lost_at: Cell<Option<Mono>>,
    recovered_at: Cell<Option<Mono>>,
}

impl StoreWatch {
    /// Makes a watch for one follower, named for the log.
    pub fn new(kernel: &Kernel, what: &'static str) -> Self {
        StoreWatch {
            kernel: kernel.clone(),
            user: what,
            lost_at: Cell::new(None),
            recovered_at: Cell::new(None),
        }
    }

    /// Notes an answer.
    pub fn record_answer(&self) {
        let Some(since) = self.lost_at.take() else {
            return;
        };
        let now = boot_clock::now();
        self.recovered_at.set(Some(now));
        let away = now.since(since).as_millis();
        let detail = format_smolstr!("after {away}");
        let event = Event::new(EventKind::StoreBack).party(self.user);
        self.kernel.emit(event.detail(detail));
    }

    /// Takes in why a follower of a topic reads it anew, and pauses before it does; not where only
    /// the history that it was about to read is gone.
    pub async fn pause_before_reread(&self, error: &Error) {
        if !matches!(error, Error::Trimmed { .. }) {
            self.record_failure(error);
            Timer::after(RETRY_PAUSE).await;
        }
    }

    /// Gets when the store answered again after it was lost; none if it never was.
    pub fn recovered_at(&self) -> Option<Mono> {
        self.recovered_at.get()
    }

    /// Tells whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.lost_at.get().is_some()
    }

    /// Notes a call that failed.
    pub fn record_failure(&self, error: &Error) {
        if self.is_lost() {
            return;
        }
        self.lost_at.set(Some(boot_clock::now()));
        let event = Event::new(EventKind::StoreLost).party(self.user);
        self.kernel.emit(event.detail(format_smolstr!("{error}")));
    }
}
