//! A process from its settings to its end.

use std::process::ExitCode;
use std::rc::Rc;

use onyxshed_core::{HostName, Incarnation, Millis};
use onyxshed_kernel::{Kernel, RunEnd, RunOptions, Service};
use onyxshed_settings::{LogSettings, Settings};
use onyxshed_telemetry::{Telemetry, TelemetryOptions};

/// Settings that every process has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommonSettings {
    /// The entry host it runs on.
    pub host: HostName,
    /// The log.
    pub log: LogSettings,
    /// Most events kept for the time line.
    pub timeline_events_max: usize,
    /// Longest drain, in milliseconds.
    pub drain_timeout_ms: Millis,
}

/// What a process's services are made from.
pub struct ServiceContext {
    /// The kernel.
    pub kernel: Kernel,
    /// Log, metrics and time line.
    pub telemetry: Rc<Telemetry>,
    /// This run of the process.
    pub boot: Incarnation,
}

/// One kind of process.
pub trait Process {
    /// Its settings.
    type Settings: Settings;

    /// The binary's name.
    const NAME: &'static str;

    /// What it does, in one line.
    const ABOUT: &'static str;

    /// What signals do to it.
    const SIGNALS: &'static str;

    /// Gets the settings that every process has.
    fn common_settings(settings: &Self::Settings) -> CommonSettings;

    /// Makes its services.
    fn services(settings: &Self::Settings, parts: ServiceContext) -> Vec<Box<dyn Service>>;
}

/// Runs a process from start to end.
pub fn run<P: Process>(settings: &P::Settings) -> ExitCode {
    let common = P::common_settings(settings);
    let kernel = Kernel::new();
    let boot = Incarnation(rand::random());
    let telemetry = match Telemetry::open(&kernel, telemetry_options::<P>(&common, boot)) {
        Ok(telemetry) => telemetry,
        Err(error) => {
            eprintln!("{}: {error}", P::NAME);
            return ExitCode::FAILURE;
        }
    };
    let parts = ServiceContext {
        kernel: kernel.clone(),
        telemetry,
        boot,
    };
    let services = P::services(settings, parts);
    let options = RunOptions {
        drain_timeout_ms: common.drain_timeout_ms,
        ..RunOptions::new(P::NAME)
    };
    let end = kernel.run(services, options);
    if let RunEnd::Failed(error) = &end {
        eprintln!("{}: error {}: {error}", P::NAME, error.code());
    }
    end.into()
}

fn telemetry_options<P: Process>(common: &CommonSettings, boot: Incarnation) -> TelemetryOptions {
    TelemetryOptions {
        process: P::NAME.into(),
        version: env!("CARGO_PKG_VERSION").into(),
        host: common.host.as_str().into(),
        boot,
        log: common.log,
        timeline_events_max: common.timeline_events_max,
    }
}
