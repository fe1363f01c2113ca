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
use crate::knowledge::{Knowledge, KnowledgeService};
use crate::names::ENTRY_LINK;
use crate::peers::{PeerOptions, PeerService};
use crate::republisher::Republisher;

/// The process `onyxshed-control`, as run by [`onyxshed_process::command::main`].
pub struct ControlProcess;

impl Process for ControlProcess {
    type Settings = ControlSettings;

    const NAME: &'static str = "onyxshed-control";

    const ABOUT: &'static str = "Keeps the entry process of one entry host informed";

    const SIGNALS: &'static str = "It may die, hang or restart without one request noticing: the entry process goes on with the last \
                           state it was handed.\nSignals: SIGTERM or SIGINT stop it in order; SIGQUIT ends it at once.";

    fn common_settings(settings: &ControlSettings) -> CommonSettings {
        CommonSettings {
            host: settings.host.clone(),
            log: settings.log,
            timeline_events_max: settings.timeline_events_max,
            drain_timeout_ms: settings.drain_timeout_ms,
        }
    }

    fn services(settings: &ControlSettings, parts: ServiceContext) -> Vec<Box<dyn Service>> {
        services(&parts, settings)
    }
}

/// Creates the services of the process.
fn services(parts: &ServiceContext, settings: &ControlSettings) -> Vec<Box<dyn Service>> {
    let kernel = &parts.kernel;
    let telemetry = parts.telemetry.clone();
    let options = ConfigOptions {
        retention_ms: settings.platform_retention_ms,
    };
    let knowledge = Knowledge::new(kernel, options);
    set_status(kernel, &telemetry, &knowledge);
    let platform = PlatformOptions::default();
    let address = settings.platform_address;
    vec![
        Box::new(AdminService::new(telemetry, settings.admin_address)),
        Box::new(KnowledgeService::new(knowledge)),
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

/// Registers the status source: the configuration's offset and what the entry process last reported.
fn set_status(kernel: &Kernel, telemetry: &Telemetry, knowledge: &Rc<Knowledge>) {
    let (kernel, knowledge) = (kernel.clone(), knowledge.clone());
    telemetry.set_status_source(Box::new(move || {
        let entry = kernel
            .find::<EntryLink>(ENTRY_LINK)
            .ok()
            .and_then(|link| link.status());
        let details = json!({
            "config_next_offset": knowledge.config_next(),
            "entry_incarnation": entry.as_ref().map(|found| found.incarnation.to_string()),
            "entry_config_revision": entry.and_then(|found| found.config_revision),
        });
        StatusParts {
            config_revision: knowledge.revision(),
            details,
        }
    }));
}
