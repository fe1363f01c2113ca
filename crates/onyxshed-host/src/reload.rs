//! Reads the settings file again while the process runs, and logs changes and errors.
//!
//! The platform sends SIGHUP after a change, or changes the file without a signal. No change takes
//! effect before the next start of the process: the addresses on which it listens stay the same,
//! and all other settings that it uses are fixed for the lifetime of a host.

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

/// Interval at which the file is read; a change without a signal is detected within that time.
const POLL_PERIOD: Duration = Duration::from_millis(2_000);

/// Service that reloads the settings file and logs changes and errors.
pub struct ReloadService {
    path: PathBuf,
    settings: HostSettings,
}

impl ReloadService {
    /// Creates the service for a settings file and the settings that were read from it at startup.
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

async fn watch(kernel: Kernel, mut signals: Signals, path: PathBuf, mut current: HostSettings) {
    loop {
        let signal = async { signals.next().await.is_some() };
        let poll = async {
            Timer::after(POLL_PERIOD).await;
            false
        };
        let was_signalled = signal.or(poll).await;
        match HostSettings::load(&path) {
            Ok(settings) => {
                let is_changed = settings != current;
                if was_signalled || is_changed {
                    let detail = format_smolstr!("told: {was_signalled}, changed: {is_changed}");
                    kernel.emit(Event::new(EventKind::SettingsReloaded).detail(detail));
                }
                current = settings;
            }
            Err(error) => {
                let event = Event::new(EventKind::SettingsRejected);
                kernel.emit(event.detail(format_smolstr!("{error}")));
            }
        }
    }
}
