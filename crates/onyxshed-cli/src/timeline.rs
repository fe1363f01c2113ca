//! `onyxshed timeline`: the events of all processes, merged.

pub mod collapse;
pub mod merge;
pub mod render;

use http_types::Url;
use onyxshed_core::{ResultCode, UnixMs};
use onyxshed_wire::admin::{TIMELINE_PATH, TimelinePage};

use crate::args::TimelineArgs;
use crate::ask::ask_all;
use crate::clock;
use crate::output::Format;
use crate::run::Said;

/// Most events that one process is asked for.
const EVENTS_MAX: usize = 5_000;

/// Asks every process for its events and shows them as one time line.
pub async fn run(args: &TimelineArgs, format: Format) -> Said {
    let path = query(args, clock::now());
    let timeout = args.ask.timeout_ms.into();
    let asked = ask_all(&args.ask.processes, &path, timeout, TimelinePage::decode).await;
    let is_whole = asked.iter().all(|asked| asked.answer.is_ok());
    let merged = merge::merge(asked);
    Said {
        text: render::render(&merged, args, format),
        partly: (!is_whole).then_some(ResultCode::PeerUnreachable),
    }
}

/// Makes the path and query that ask a process for the events wanted.
pub fn query(args: &TimelineArgs, now: UnixMs) -> String {
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
