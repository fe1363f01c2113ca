//! `onyxshed timeline`: the events of all processes, merged into one order.

pub mod collapse;
pub mod merge;
pub mod render;

use std::collections::BTreeSet;

use http_types::Url;
use onyxshed_core::{ResultCode, UnixMs, UpstreamName};
use onyxshed_platform::{PlatformClient, PlatformOptions};
use onyxshed_wire::admin::{TIMELINE_PATH, TimelinePage};
use smol_str::SmolStr;

use crate::args::{EventSource, PlatformArgs, ProcessArgs, TimelineArgs};
use crate::clock;
use crate::error::Result;
use crate::logs::read_logs;
use crate::output::Format;
use crate::progress::Progress;
use crate::query::query_all;
use crate::run::CommandOutput;

/// Maximum number of events requested from one process.
const EVENTS_MAX: usize = 5_000;

/// Collects the events of all processes or logs and shows them as one time line.
pub async fn run(args: &TimelineArgs, format: Format) -> Result<CommandOutput> {
    let (mut merged, is_complete) = match &args.source {
        EventSource::Processes(processes) => query_events(args, processes).await?,
        EventSource::Logs(files) => {
            let mut merged = merge::merge_logs(read_logs(files)?);
            merged.retain_matching(args);
            (merged, true)
        }
    };
    if args.general_events_only {
        merged.retain_process_events();
    }
    Ok(CommandOutput {
        text: render::render(&merged, args, format),
        incomplete: (!is_complete).then_some(ResultCode::PeerUnreachable),
    })
}

/// Queries every process for its events. The flag is `true` if all have answered.
async fn query_events(
    args: &TimelineArgs,
    processes: &ProcessArgs,
) -> Result<(merge::Timeline, bool)> {
    let executors = match &args.upstream {
        Some((upstream, platform)) => Some(executors_of(upstream, *platform).await?),
        None => None,
    };
    let path = request_path(args, clock::now());
    let timeout = processes.timeout_ms.into();
    let replies = query_all(&processes.processes, &path, timeout, TimelinePage::decode).await;
    let is_complete = replies.iter().all(|reply| reply.answer.is_ok());
    let mut merged = merge::merge(replies);
    if let Some(executors) = executors {
        merged.retain_parties(&executors);
    }
    Ok((merged, is_complete))
}

/// Returns the names of an upstream's executors from the platform's host list.
async fn executors_of(
    upstream: &UpstreamName,
    platform: PlatformArgs,
) -> Result<BTreeSet<SmolStr>> {
    let options = PlatformOptions {
        timeout: platform.timeout_ms.into(),
        ..PlatformOptions::default()
    };
    let mut client = PlatformClient::new(platform.address, options);
    let progress = Progress::new("the platform's host list");
    let hosts = progress.during(client.hosts()).await?;
    let serving = hosts
        .executors
        .iter()
        .filter(|host| host.upstream == *upstream);
    Ok(serving.map(|host| host.name.as_str().into()).collect())
}

/// Builds the path and query that request the wanted events from a process.
pub fn request_path(args: &TimelineArgs, now: UnixMs) -> String {
    let mut url = Url::parse("http://process").expect("the base is a URL");
    url.set_path(TIMELINE_PATH);
    let mut pairs = url.query_pairs_mut();
    pairs.append_pair("limit", &EVENTS_MAX.to_string());
    if let Some(submission) = &args.submission {
        pairs.append_pair("submission", &submission.to_string());
    }
    if let Some(class) = &args.class {
        pairs.append_pair("class", class.as_str());
    }
    if let Some(party) = &args.party {
        pairs.append_pair("party", party);
    }
    if let Some(since) = args.since_ms {
        pairs.append_pair("since_ms", &(now - since).to_string());
    }
    drop(pairs);
    format!("{}?{}", url.path(), url.query().unwrap_or_default())
}
