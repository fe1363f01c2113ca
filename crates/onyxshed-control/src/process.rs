//! Assembles the control process from its settings.

use std::rc::Rc;

use onyxshed_kernel::{Kernel, Service};
use onyxshed_platform::PlatformOptions;
use onyxshed_process::{CommonSettings, Process, ServiceContext};
use onyxshed_settings::ControlSettings;
use onyxshed_state::{ConfigOptions, MemberOptions};
use onyxshed_telemetry::telemetry::StatusParts;
use onyxshed_telemetry::{AdminService, Telemetry};
use serde_json::json;

use crate::config_follower::ConfigFollower;
use crate::entry_link::{EntryLink, EntryLinkService};
use crate::host_follower::HostFollower;
use crate::names::ENTRY_LINK;
use crate::peers::{PeerOptions, PeerService};
use crate::republisher::Republisher;
use crate::shared_state::{SharedState, SharedStateService};

/// The process `onyxshed-control`, as run by [`onyxshed_process::command::main`].
pub struct ControlProcess;

impl Process for ControlProcess {
    type Settings = ControlSettings;

    const NAME: &'static str = "onyxshed-control";

    const ABOUT: &'static str =
        "Supplies the entry process of one entry host with configuration, executors and peers";

    const SIGNALS: &'static str = "It may crash, hang or restart without affecting requests: the entry process continues with the last \
                           state that it received.\nSignals: SIGTERM or SIGINT stop it gracefully; SIGQUIT ends it at once.";

    fn common_settings(settings: &ControlSettings) -> CommonSettings {
        CommonSettings {
            host: settings.host.clone(),
            log: settings.log,
            timeline_events_max: settings.timeline_events_max,
            drain_timeout_ms: settings.drain_timeout_ms,
        }
    }

    fn services(settings: &ControlSettings, context: ServiceContext) -> Vec<Box<dyn Service>> {
        services(&context, settings)
    }
}

/// Creates the services of the process; the kernel sorts them by their dependencies.
fn services(context: &ServiceContext, settings: &ControlSettings) -> Vec<Box<dyn Service>> {
    let kernel = &context.kernel;
    let telemetry = context.telemetry.clone();
    let options = ConfigOptions {
        retention_ms: settings.platform_retention_ms,
    };
    let shared_state = SharedState::new(kernel, options);
    register_status_source(kernel, &telemetry, &shared_state);
    let platform = PlatformOptions::default();
    let address = settings.platform_address;
    vec![
        Box::new(AdminService::new(telemetry, settings.admin_address)),
        Box::new(SharedStateService::new(shared_state)),
        Box::new(ConfigFollower::new(address, platform)),
        Box::new(Republisher::new(address, platform)),
        Box::new(PeerService::new(peer_options(settings))),
        Box::new(HostFollower::new(address, settings.zone.clone(), platform)),
        Box::new(EntryLinkService::new(settings.entry_control_address)),
    ]
}

fn peer_options(settings: &ControlSettings) -> PeerOptions {
    PeerOptions {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        address: settings.peer_address,
        advertised_address: settings.peer_advertised_address,
        seeds: settings.peers.clone(),
        heartbeat_ms: settings.heartbeat_ms,
        members: MemberOptions {
            suspect_ms: settings.suspect_after_ms,
            gone_ms: settings.gone_after_ms,
            ..MemberOptions::default()
        },
    }
}

/// Registers the function that supplies the process's own part of the status: the configuration's
/// revision and next offset, and the incarnation and revision that the entry process last reported.
fn register_status_source(kernel: &Kernel, telemetry: &Telemetry, shared_state: &Rc<SharedState>) {
    let (kernel, shared_state) = (kernel.clone(), shared_state.clone());
    telemetry.set_status_source(Box::new(move || {
        let entry = kernel
            .find::<EntryLink>(ENTRY_LINK)
            .ok()
            .and_then(|link| link.status());
        let details = json!({
            "config_next_offset": shared_state.next_config_offset(),
            "entry_incarnation": entry.as_ref().map(|status| status.incarnation.to_string()),
            "entry_config_revision": entry.and_then(|status| status.config_revision),
        });
        StatusParts {
            config_revision: shared_state.revision(),
            details,
        }
    }));
}
