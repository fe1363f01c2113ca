//! Startup of the host process: parses the command line, loads the settings and runs the services
//! until the process is requested to stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use clap::{Arg, ArgAction, Command};
use onyxshed_adapter::HostSettings;
use onyxshed_adapter::settings::SETTINGS_VARIABLE;
use onyxshed_core::{Incarnation, Millis};
use onyxshed_http::{CallerIdentity, ServerOptions};
use onyxshed_kernel::{Kernel, RunEnd, RunOptions, Service};
use onyxshed_pool::{OverloadMode, PeerIncarnation, PoolOptions};
use onyxshed_settings::{LogFormat, LogLevel, LogSettings};
use onyxshed_telemetry::admin::AdminService;
use onyxshed_telemetry::log::Log;
use onyxshed_telemetry::{Telemetry, TelemetryOptions};

use crate::callers::{CallerOptions, CallerService};
use crate::capacity;
use crate::engine::{CallLimits, Engine, EngineService};
use crate::evacuations::ZoneEvacuations;
use crate::links::{LinkOptions, LinkService, Links};
use crate::manifest::{ManifestService, manifest_unknown_max};
use crate::ownership::{OwnershipOptions, OwnershipService};
use crate::peer_state::PeerStateService;
use crate::ready::ReadyService;
use crate::reload::ReloadService;
use crate::shard_layouts::{ShardLayoutService, ShardLayouts};
use crate::topic::Topics;
use crate::topic_relay::TopicRelayService;

/// Name of the binary, as shown in its help, log and error messages.
const NAME: &str = "onyxshed-host";

/// Default port of the admin endpoint, which serves metrics, status and the time line, on the
/// host's own address.
pub const ADMIN_PORT_DEFAULT: u16 = 9_464;

/// Number of events that the time line keeps: about the last ten seconds of a busy host, in half a
/// megabyte.
const TIMELINE_EVENTS_MAX: usize = 1_000;

/// Time between the end of the longest drain and the platform's kill, reserved for writing the last
/// log lines.
const DRAIN_MARGIN: Millis = Millis(500);

/// Time between the last replies of a stopping host and the platform's kill: a host at its CPU
/// limit needs a few hundred milliseconds to write a hundred replies.
const FINAL_REPLIES_MARGIN: Millis = Millis(1_000);

/// How long a caller's connection may be idle before it is closed; the manifest specifies 15 s.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(60);

fn command() -> Command {
    Command::new(NAME)
        .about("Serves callers and owns pools of executors on the users' platform")
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
                .help("Lowest severity that is logged"),
        )
        .arg(
            Arg::new("admin-port")
                .long("admin-port")
                .value_parser(clap::value_parser!(u16))
                .default_value("9464")
                .help("Port of the admin endpoint: metrics, status and time line"),
        )
        .arg(
            Arg::new("advertise")
                .long("advertise")
                .value_name("ADDRESS")
                .value_parser(clap::value_parser!(SocketAddr))
                .help("Address at which other hosts reach this host, if not on its own address"),
        )
        .arg(
            Arg::new("overload")
                .long("overload")
                .value_parser(clap::value_parser!(OverloadMode))
                .default_value("off")
                .help("Overload decisions: off, shadow (logged without effect) or on"),
        )
        .arg(
            Arg::new("caller-identity")
                .long("caller-identity")
                .value_name("IDENTITY")
                .value_parser(clap::value_parser!(CallerIdentity))
                .default_value("address")
                .help("What identifies a caller: address or header:NAME"),
        )
        .arg(
            Arg::new("transfers")
                .long("transfers")
                .value_parser(["off", "on"])
                .default_value("off")
                .help("Choose pools by when a job ends there, and pass refused jobs on once: off or on"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings file and exit"),
        )
}

/// Runs the process until it is stopped or fails.
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    let path: &PathBuf = matches
        .get_one("settings")
        .expect("`--settings` is a required argument");
    let settings = match HostSettings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{NAME}: {error}");
            return ExitCode::FAILURE;
        }
    };
    if matches.get_flag("check") {
        println!("{NAME}: the settings of {} are valid", settings.host);
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
        overload: matches.get_one("overload").copied().unwrap_or_default(),
        transfers_work: matches
            .get_one::<String>("transfers")
            .is_some_and(|mode| mode == "on"),
        caller_identity: matches
            .get_one("caller-identity")
            .cloned()
            .unwrap_or_default(),
    };
    run(&options, &settings)
}

/// Options from the command line.
struct HostOptions {
    settings_path: PathBuf,
    level: LogLevel,
    admin_port: u16,
    advertised: Option<SocketAddr>,
    overload: OverloadMode,
    /// Whether jobs go to the pool in which they end first.
    transfers_work: bool,
    caller_identity: CallerIdentity,
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

/// Returns the default options of a pool, adjusted to the platform's settings.
///
/// The lease is capped at the longest lease that executors grant: they shorten a longer lease, and
/// a run would then end while its owner still considers it leased.
fn pool_options(settings: &HostSettings, overload: OverloadMode) -> PoolOptions {
    let options = PoolOptions::default();
    PoolOptions {
        lease_ms: options.lease_ms.min(settings.lease_max_ms),
        remote_millis: settings.remote_millis.unwrap_or(options.remote_millis),
        evacuation_grace_ms: evacuation_grace(settings, options.evacuation_grace_ms),
        overload,
        ..options
    }
}

/// Returns how long jobs that have started may start further tasks in an evacuated zone.
///
/// This is at most a quarter of the time that the platform allows, since a host observes an
/// evacuation some time after it was confirmed.
fn evacuation_grace(settings: &HostSettings, default: Millis) -> Millis {
    let limit = settings.evacuated_within_ms;
    limit.map_or(default, |limit| default.min(Millis(limit.0 / 4)))
}

fn services(
    kernel: &Kernel,
    options: &HostOptions,
    settings: &HostSettings,
    telemetry: Rc<Telemetry>,
) -> Vec<Box<dyn Service>> {
    let capacity = capacity::divide(kernel, settings);
    let incarnation = PeerIncarnation(rand::random());
    let default_address = SocketAddr::new(settings.ip, settings.first_own_port);
    let peer_address = settings.peer_address.unwrap_or(default_address);
    let evacuations = ZoneEvacuations::new(kernel, settings.zones.clone());
    let engine = Engine::new(
        kernel,
        incarnation,
        PoolOptions {
            jobs_memory: capacity.jobs,
            unanswered_starts_max: capacity.calls_max,
            ..pool_options(settings, options.overload)
        },
        CallLimits {
            in_progress_max: capacity.calls_max,
            idle_max: capacity.idle_calls_max,
        },
        evacuations.clone(),
    );
    let link_options = LinkOptions {
        address: peer_address,
        advertised: options.advertised.unwrap_or(peer_address),
        cpu_millis: settings.cpu_millis,
        zone: settings.zone.clone(),
        host: settings.host.clone(),
        peers_max: capacity.peers_max,
    };
    let shard_layouts = ShardLayouts::new(settings.zones.clone());
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
        shard_layouts.clone(),
        evacuations.clone(),
        link_options,
        options.transfers_work,
    );
    let topics = Topics::new();
    let drain_timeout = Millis(settings.grace_ms.0.saturating_sub(FINAL_REPLIES_MARGIN.0)).into();
    let callers = CallerOptions {
        address: settings.caller_address,
        limits: capacity.callers,
        server: ServerOptions {
            idle_timeout: IDLE_TIMEOUT,
            cancels_on_disconnect: true,
            bodies_max_bytes: capacity.large_bodies.0,
            small_bodies_max_bytes: capacity.small_bodies.0,
            ..ServerOptions::default()
        },
        drain_timeout,
        identity: options.caller_identity.clone(),
    };
    vec![
        Box::new(
            AdminService::new(telemetry, SocketAddr::new(settings.ip, options.admin_port))
                .with_limits(capacity.minor)
                .with_reply_memory(capacity.replies),
        ),
        Box::new(ReloadService::new(
            options.settings_path.clone(),
            settings.clone(),
        )),
        Box::new(ManifestService::new(
            settings.store_address,
            manifest_unknown_max(settings.manifest_within_ms),
            evacuations.clone(),
            topics.clone(),
        )),
        Box::new(EngineService::new(engine.clone(), drain_timeout)),
        Box::new(ShardLayoutService::new(
            shard_layouts.clone(),
            settings.store_address,
            topics.clone(),
        )),
        Box::new(LinkService::new(links.clone(), topics.clone())),
        Box::new(TopicRelayService::new(topics.clone())),
        Box::new(OwnershipService::new(
            ownership,
            shard_layouts,
            engine,
            links,
            topics,
        )),
        Box::new(PeerStateService::new(
            advertised,
            settings.seeds.clone(),
            evacuations,
        )),
        Box::new(ReadyService::new(settings.ready_address, capacity.minor)),
        Box::new(CallerService::new(callers)),
    ]
}
