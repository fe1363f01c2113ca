//! Takes up settings that change while the process runs.
//!
//! The platform says so with SIGHUP, or changes the file without a word. Addresses that this
//! process listens on stay as they are until its next start; everything else that it uses of the
//! file holds for the life of a host.

use std::path::PathBuf;
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use onyxshed_adapter::HostSettings;
use onyxshed_core::{Event, EventKind};
use onyxshed_kernel::{Kernel, LocalFuture, Result, Service, ServiceName};
use smol_str::format_smolstr;

use crate::names::RELOAD;

/// How often the file is looked at; a change without a signal is taken up within that time.
const POLL_PERIOD: Duration = Duration::from_millis(2_000);

/// Reloading as a service.
pub struct ReloadService {
    path: PathBuf,
    settings: HostSettings,
}

impl ReloadService {
    /// Makes the service for a file and what was read from it at the start.
    pub fn new(path: PathBuf, settings: HostSettings) -> Self {
        ReloadService { path, settings }
    }
}

impl Service for ReloadService {
    fn name(&self) -> ServiceName {
        RELOAD
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let signals = Signals::new([Signal::Hup]).map_err(|error| {
                onyxshed_kernel::Error::start(
                    RELOAD,
                    onyxshed_core::ResultCode::ServiceFailed,
                    error,
                )
            })?;
            let watch = watch(
                kernel.clone(),
                signals,
                self.path.clone(),
                self.settings.clone(),
            );
            kernel.spawn(watch).detach();
            Ok(())
        })
    }
}

async fn watch(kernel: Kernel, mut signals: Signals, path: PathBuf, mut held: HostSettings) {
    loop {
        let signal = async { signals.next().await.is_some() };
        let look = async {
            Timer::after(POLL_PERIOD).await;
            false
        };
        let was_told = signal.or(look).await;
        match HostSettings::load(&path) {
            Ok(settings) => {
                let is_new = settings != held;
                if was_told || is_new {
                    let detail = format_smolstr!("told: {was_told}, changed: {is_new}");
                    kernel.emit(Event::new(EventKind::SettingsReloaded).detail(detail));
                }
                held = settings;
            }
            Err(error) => {
                let event = Event::new(EventKind::SettingsRejected);
                kernel.emit(event.detail(format_smolstr!("{error}")));
            }
        }
    }
}
