//! The host process from its settings to its end.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use clap::{Arg, ArgAction, Command};
use onyxshed_adapter::HostSettings;
use onyxshed_adapter::settings::SETTINGS_VARIABLE;
use onyxshed_core::{Incarnation, Millis};
use onyxshed_http::ServerOptions;
use onyxshed_kernel::{Kernel, RunEnd, RunOptions, Service};
use onyxshed_pool::{PeerIncarnation, PoolOptions};
use onyxshed_settings::{LogFormat, LogLevel, LogSettings};
use onyxshed_telemetry::admin::AdminService;
use onyxshed_telemetry::log::Log;
use onyxshed_telemetry::{Telemetry, TelemetryOptions};

use crate::callers::{CallerOptions, CallerService};
use crate::engine::{Engine, EngineService};
use crate::evacuations::ZoneEvacuations;
use crate::links::{LinkOptions, LinkService, Links};
use crate::manifest::{ManifestService, long_poll_wait};
use crate::ownership::{OwnershipOptions, OwnershipService};
use crate::peer_state::PeerStateService;
use crate::ready::ReadyService;
use crate::reload::ReloadService;
use crate::shard_layouts::{ShardLayoutService, ShardLayouts};

/// The binary's name.
const NAME: &str = "onyxshed-host";

/// Port of the metrics, the status and the time line, on the host's own address.
pub const ADMIN_PORT_DEFAULT: u16 = 9_464;

/// Events kept for the time line: about the last ten seconds of a busy host, in half a megabyte.
const TIMELINE_EVENTS_MAX: usize = 1_000;

/// Left between the longest drain and the platform's kill, for the last lines of the log.
const DRAIN_MARGIN: Millis = Millis(500);

/// Left between the last answers of a stopping host and the platform's kill: a host at its processor
/// limit takes a few hundred milliseconds to write a hundred answers.
const FINAL_REPLIES_MARGIN: Millis = Millis(1_000);

/// Most callers' connections at a time, well below the descriptors that a host has.
const CONNECTIONS_MAX: usize = 1_500;

/// How long a caller's connection may idle; the manifest's own figure is 15 s.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(60);

fn command() -> Command {
    Command::new(NAME)
        .about("Faces callers and owns pools of executors on the users' platform")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .env(SETTINGS_VARIABLE)
                .required(true)
                .value_parser(clap::value_parser!(PathBuf))
                .help("The platform's settings file"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_parser(["debug", "info", "warn", "error"])
                .default_value("info")
                .help("The quietest level that is logged"),
        )
        .arg(
            Arg::new("admin-port")
                .long("admin-port")
                .value_parser(clap::value_parser!(u16))
                .default_value("9464")
                .help("Port of metrics, status and time line"),
        )
        .arg(
            Arg::new("advertise")
                .long("advertise")
                .value_name("ADDRESS")
                .value_parser(clap::value_parser!(SocketAddr))
                .help("Where other hosts reach this one, if not on its own address"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings file and end"),
        )
}

/// Runs the process.
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    let path: &PathBuf = matches
        .get_one("settings")
        .expect("the argument is required");
    let settings = match HostSettings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{NAME}: {error}");
            return ExitCode::FAILURE;
        }
    };
    if matches.get_flag("check") {
        println!("{NAME}: the settings of {} are well-formed", settings.host);
        return ExitCode::SUCCESS;
    }
    let level = match matches.get_one::<String>("log-level").map(String::as_str) {
        Some("debug") => LogLevel::Debug,
        Some("warn") => LogLevel::Warn,
        Some("error") => LogLevel::Error,
        _ => LogLevel::Info,
    };
    let admin_port = matches.get_one("admin-port").copied();
    let options = HostOptions {
        settings_path: path.clone(),
        level,
        admin_port: admin_port.unwrap_or(ADMIN_PORT_DEFAULT),
        advertised: matches.get_one("advertise").copied(),
    };
    run(&options, &settings)
}

/// What the command line says.
struct HostOptions {
    settings_path: PathBuf,
    level: LogLevel,
    admin_port: u16,
    advertised: Option<SocketAddr>,
}

fn run(options: &HostOptions, settings: &HostSettings) -> ExitCode {
    let level = options.level;
    let kernel = Kernel::new();
    let boot = Incarnation(rand::random());
    let log = LogSettings {
        format: LogFormat::Json,
        level,
    };
    let opened = Log::open_on_stdout(log).and_then(|opened| {
        let options = TelemetryOptions {
            process: NAME.into(),
            version: env!("CARGO_PKG_VERSION").into(),
            host: settings.host.clone(),
            boot,
            log,
            timeline_events_max: TIMELINE_EVENTS_MAX,
        };
        Telemetry::with_log(&kernel, options, opened)
    });
    let telemetry = match opened {
        Ok(telemetry) => telemetry,
        Err(error) => {
            eprintln!("{NAME}: {error}");
            return ExitCode::FAILURE;
        }
    };
    let services = services(&kernel, options, settings, telemetry);
    let run_options = RunOptions {
        drain_timeout_ms: Millis(settings.grace_ms.0.saturating_sub(DRAIN_MARGIN.0)),
        has_ready_line: false,
        ..RunOptions::new(NAME)
    };
    let end = kernel.run(services, run_options);
    if let RunEnd::Failed(error) = &end {
        eprintln!("{NAME}: error {}: {error}", error.code());
    }
    end.into()
}

/// Gets the pool's options; executors shorten a lease that is longer than they grant, and a run that
/// its owner takes to be leased would end.
fn pool_options(settings: &HostSettings) -> PoolOptions {
    let options = PoolOptions::default();
    PoolOptions {
        lease_ms: options.lease_ms.min(settings.lease_max_ms),
        remote_millis: settings.remote_millis.unwrap_or(options.remote_millis),
        evacuation_grace_ms: evacuation_grace(settings, options.evacuation_grace_ms),
        ..options
    }
}

/// Gets how long begun jobs may start tasks in an evacuated zone: a quarter of what the platform allows at
/// most, since the evacuation is known here some time after it was confirmed.
fn evacuation_grace(settings: &HostSettings, default: Millis) -> Millis {
    let within = settings.evacuated_within_ms;
    within.map_or(default, |within| default.min(Millis(within.0 / 4)))
}

fn services(
    kernel: &Kernel,
    options: &HostOptions,
    settings: &HostSettings,
    telemetry: Rc<Telemetry>,
) -> Vec<Box<dyn Service>> {
    let own = PeerIncarnation(rand::random());
    let own_port = SocketAddr::new(settings.ip, settings.first_own_port);
    let peer_address = settings.peer_address.unwrap_or(own_port);
    let evacuations = ZoneEvacuations::new(kernel, settings.zones.clone());
    let engine = Engine::new(kernel, own, pool_options(settings), evacuations.clone());
    let link_options = LinkOptions {
        address: peer_address,
        advertised: options.advertised.unwrap_or(peer_address),
        cpu_millis: settings.cpu_millis,
        zone: settings.zone.clone(),
        host: settings.host.clone(),
    };
    let divisions = ShardLayouts::new(settings.zones.clone());
    let advertised = link_options.advertised;
    let ownership = OwnershipOptions {
        zone: settings.zone.clone(),
        address: advertised,
        store: settings.store_address,
        ttl_min_ms: settings.member_ttl_min_ms,
        cpu_millis: settings.cpu_millis,
        is_first_start: settings.is_first_start,
    };
    let links = Links::new(
        kernel,
        engine.clone(),
        divisions.clone(),
        evacuations.clone(),
        link_options,
    );
    let callers = CallerOptions {
        address: settings.caller_address,
        server: ServerOptions {
            connections_max: CONNECTIONS_MAX,
            idle_timeout: IDLE_TIMEOUT,
            gives_up_with_peer: true,
            ..ServerOptions::default()
        },
        drain_timeout: Millis(settings.grace_ms.0.saturating_sub(FINAL_REPLIES_MARGIN.0)).into(),
    };
    vec![
        Box::new(AdminService::new(
            telemetry,
            SocketAddr::new(settings.ip, options.admin_port),
        )),
        Box::new(ReloadService::new(
            options.settings_path.clone(),
            settings.clone(),
        )),
        Box::new(ManifestService::new(
            settings.store_address,
            long_poll_wait(settings.manifest_within_ms),
            evacuations.clone(),
        )),
        Box::new(EngineService::new(engine.clone())),
        Box::new(ShardLayoutService::new(
            divisions.clone(),
            settings.store_address,
        )),
        Box::new(LinkService::new(links.clone())),
        Box::new(OwnershipService::new(ownership, divisions, engine, links)),
        Box::new(PeerStateService::new(
            advertised,
            settings.seeds.clone(),
            evacuations,
        )),
        Box::new(ReadyService::new(settings.ready_address)),
        Box::new(CallerService::new(callers)),
    ]
}
