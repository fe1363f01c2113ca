//! Assembles the entry process from its settings.

use std::rc::Rc;

use onyxshed_dispatch::{Dispatch, DispatchOptions};
use onyxshed_http::listen::LISTEN_BACKLOG;
use onyxshed_http::{CallerIdentity, ClientOptions, ListenerLimits, ServerOptions};
use onyxshed_kernel::{Kernel, Service};
use onyxshed_platform::PlatformOptions;
use onyxshed_policy::PolicyOptions;
use onyxshed_policy::placement::PlacementKind;
use onyxshed_process::{CommonSettings, Process, ServiceContext};
use onyxshed_settings::{CallerShareMode, EntrySettings, Placement, ReturnPlanMode};
use onyxshed_state::ClaimOptions;
use onyxshed_telemetry::telemetry::StatusParts;
use onyxshed_telemetry::{AdminService, Telemetry};
use serde_json::json;

use crate::callers::{CallerOptions, CallerService};
use crate::claim_log::{ClaimLog, ClaimLogService};
use crate::control_port::{ControlPort, ControlPortOptions, ControlPortService};
use crate::engine::{Engine, EngineService};
use crate::names::{CONTROL_PORT, UPSTREAMS};
use crate::peers::{PeerService, Peers};
use crate::upstreams::{UpstreamOptions, UpstreamService, Upstreams};

/// The process `onyxshed-entry`, as run by [`onyxshed_process::command::main`].
pub struct EntryProcess;

impl Process for EntryProcess {
    type Settings = EntrySettings;

    const NAME: &'static str = "onyxshed-entry";

    const ABOUT: &'static str =
        "Serves callers and dispatches their tasks to upstreams on one entry host";

    const SIGNALS: &'static str = "Signals: SIGTERM or SIGINT drain it (readiness goes false, work in flight finishes, new jobs are \
                           answered \"not run\"); SIGQUIT ends it at once.";

    fn common_settings(settings: &EntrySettings) -> CommonSettings {
        CommonSettings {
            host: settings.host.clone(),
            log: settings.log,
            timeline_events_max: settings.timeline_events_max,
            drain_timeout_ms: settings.drain_timeout_ms,
        }
    }

    fn services(settings: &EntrySettings, context: ServiceContext) -> Vec<Box<dyn Service>> {
        services(&context, settings)
    }
}

/// Creates the services of the process; the kernel sorts them by their dependencies.
fn services(context: &ServiceContext, settings: &EntrySettings) -> Vec<Box<dyn Service>> {
    let kernel = &context.kernel;
    let telemetry = context.telemetry.clone();
    // The incarnation of the entry host identifies this run of its entry process.
    let incarnation = context.boot;
    let dispatch = Dispatch::new(incarnation, dispatch_options(settings), rand::random());
    let engine = Engine::new(kernel, dispatch, settings.drain_timeout_ms);
    register_status_source(kernel, &telemetry, &engine);
    let upstreams = Upstreams::new(kernel, incarnation, upstream_options(settings));
    let platform = PlatformOptions::default();
    let claims = ClaimLog::new(kernel, engine.clone(), settings.platform_address, platform);
    let control = ControlPortOptions {
        host: settings.host.clone(),
        incarnation,
        control_address: settings.control_address,
        peer_advertised_address: settings.peer_advertised_address,
    };
    vec![
        Box::new(AdminService::new(telemetry, settings.admin_address)),
        Box::new(EngineService::new(engine.clone())),
        Box::new(UpstreamService::new(upstreams)),
        Box::new(ClaimLogService::new(claims)),
        Box::new(PeerService::new(Peers::new(kernel))),
        Box::new(ControlPortService::new(control)),
        Box::new(CallerService::new(engine, caller_options(settings))),
    ]
}

/// Registers the function that supplies the process's own part of the status: the configuration's
/// revision, the dispatch state machine's counts, the number of executors and the age of the last
/// snapshot from the control process.
fn register_status_source(kernel: &Kernel, telemetry: &Telemetry, engine: &Rc<Engine>) {
    let (kernel, engine) = (kernel.clone(), engine.clone());
    telemetry.set_status_source(Box::new(move || {
        let age_ms = kernel
            .find::<ControlPort>(CONTROL_PORT)
            .ok()
            .and_then(|port| port.snapshot_age())
            .map(|age| age.as_millis());
        let executors = kernel
            .find::<Upstreams>(UPSTREAMS)
            .map_or(0, |upstreams| upstreams.count());
        let config_revision =
            engine.inspect(|machine| machine.config().map(|config| config.revision));
        let details = engine.inspect(|machine| {
            json!({
                "is_log_read": machine.is_log_read(),
                "live_jobs": machine.live_jobs(),
                "live_attempts": machine.live_attempts(),
                "remembered_jobs": machine.remembered_jobs(),
                "snapshot_age_ms": age_ms,
                "executors": executors,
                "live_peers": machine.live_peers(),
                "unreadable_records": machine.unreadable_records(),
            })
        });
        StatusParts {
            config_revision,
            details,
        }
    }));
}

fn dispatch_options(settings: &EntrySettings) -> DispatchOptions {
    DispatchOptions {
        jobs_max: settings.jobs_max,
        answers_max_bytes: settings.answers_max_bytes,
        result_max_bytes: settings.result_max_bytes,
        lease_slack_ms: settings.lease_slack_ms,
        claims: ClaimOptions {
            horizon_ms: settings.horizon_ms,
            skew_ms: settings.skew_ms,
            retention_ms: settings.platform_retention_ms,
            log_appends_per_s: settings.log_appends_per_s,
            read_back_timeout_ms: settings.claim_patience_ms,
            ..ClaimOptions::default()
        },
        policy: PolicyOptions {
            placement: placement_of(settings.placement),
            has_caller_shares: settings.caller_shares != CallerShareMode::Off,
            plans_returns: settings.return_plan == ReturnPlanMode::On,
            ..PolicyOptions::default()
        },
        ..DispatchOptions::default()
    }
}

fn placement_of(placement: Placement) -> PlacementKind {
    match placement {
        Placement::LeastExpectedFinish => PlacementKind::LeastFinish,
        Placement::RoundRobin => PlacementKind::RoundRobin,
        Placement::LeastOutstanding => PlacementKind::LeastOutstanding,
    }
}

fn upstream_options(settings: &EntrySettings) -> UpstreamOptions {
    let client = ClientOptions {
        reply_max_bytes: settings.result_max_bytes.0,
        ..ClientOptions::default()
    };
    UpstreamOptions {
        connections_per_executor: settings.connections_per_executor,
        client,
        ..UpstreamOptions::default()
    }
}

fn caller_options(settings: &EntrySettings) -> CallerOptions {
    CallerOptions {
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
        identity: match settings.caller_shares {
            CallerShareMode::Off => None,
            CallerShareMode::Address => Some(CallerIdentity::Address),
        },
        limits: ListenerLimits {
            connections_max: settings.connections_max,
            rejected_max: ServerOptions::default().rejected_max,
            backlog: LISTEN_BACKLOG,
        },
        server: ServerOptions {
            body_max_bytes: settings.body_max_bytes.0,
            head_timeout: settings.head_timeout_ms.into(),
            body_timeout: settings.body_timeout_ms.into(),
            idle_timeout: settings.idle_timeout_ms.into(),
            ..ServerOptions::default()
        },
    }
}
