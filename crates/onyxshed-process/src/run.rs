//! Runs a process, from its settings to its exit code.

use std::process::ExitCode;
use std::rc::Rc;

use onyxshed_core::{HostName, Incarnation, Millis};
use onyxshed_kernel::{Kernel, RunEnd, RunOptions, Service};
use onyxshed_settings::{LogSettings, Settings};
use onyxshed_telemetry::{Telemetry, TelemetryOptions};

/// Settings that every process has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommonSettings {
    /// Name of the entry host on which the process runs.
    pub host: HostName,
    /// Format and level of the log.
    pub log: LogSettings,
    /// Largest number of events kept in the time line.
    pub timeline_events_max: usize,
    /// Longest time that a drain may take, in milliseconds.
    pub drain_timeout_ms: Millis,
}

/// What the constructors of a process's services have access to.
pub struct ServiceContext {
    /// The kernel that runs the services.
    pub kernel: Kernel,
    /// Log, metrics and time line.
    pub telemetry: Rc<Telemetry>,
    /// The incarnation of the process: drawn at random at each start.
    pub boot: Incarnation,
}

/// A kind of process, defined by its settings and services.
pub trait Process {
    /// The settings of this kind of process.
    type Settings: Settings;

    /// The name of the binary, used in error messages and as the process name in the telemetry.
    const NAME: &'static str;

    /// A one-line description for the help text.
    const ABOUT: &'static str;

    /// The effect of signals on the process, for the help text.
    const SIGNALS: &'static str;

    /// Extracts the settings that every process has.
    fn common_settings(settings: &Self::Settings) -> CommonSettings;

    /// Creates the services, which the kernel then runs until the process ends.
    fn services(settings: &Self::Settings, context: ServiceContext) -> Vec<Box<dyn Service>>;
}

/// Runs a process from start to exit and returns its exit code.
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
    let context = ServiceContext {
        kernel: kernel.clone(),
        telemetry,
        boot,
    };
    let services = P::services(settings, context);
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
