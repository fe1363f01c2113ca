//! Measures the cost of membership: what a control process spends on its peers, against the number
//! of entry hosts.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use onyxshed_core::{ClassTarget, ResultCode, Revision, SubmissionId};
use onyxshed_wire::caller::{Answer, CopyMark, JOBS_PATH, Submission};

use super::fit::Slope;
use super::mib;
use crate::error::{Error, Result};
use crate::local::{LocalOptions, LocalSet, call};
use crate::run::{class_name, new_ulid, payload};
use crate::tally::float;

/// Wait after the start of all hosts until each knows all others, before the measurement over
/// [`SPAN`] begins.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const SPAN: Duration = Duration::from_secs(6);
/// Wait between two checks whether an entry host knows a class.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Measures the averages of one control process for memory, processor time and bytes sent to peers,
/// and the time until a change is in force on every entry host.
pub(super) async fn measure_members(binaries: &Path) -> Result<Vec<Slope>> {
    let mut memory = Slope::new("members-memory", "entry hosts", "control MiB");
    let mut core = Slope::new("members-core", "entry hosts", "control % of a core");
    let mut sent = Slope::new("members-bytes", "entry hosts", "bytes/s to peers");
    let mut in_force = Slope::new(
        "members-in-force",
        "entry hosts",
        "ms until in force everywhere",
    );
    for entries in [2, 4, 8, 16, 32, 64] {
        let options = LocalOptions {
            entries,
            executors: 1,
            ..LocalOptions::small(binaries.into())
        };
        let set = match LocalSet::start(&options).await {
            Ok(set) => set,
            Err(error) => {
                eprintln!(
                    "{entries} entry hosts did not start, larger sets are not measured: {error}"
                );
                break;
            }
        };
        Timer::after(SETTLE_TIME).await;
        let (used_ms_before, bytes_before) = (processor_ms(&set)?, peer_bytes(&set)?);
        Timer::after(SPAN).await;
        let (used_ms, bytes) = (processor_ms(&set)?, peer_bytes(&set)?);
        let (count, span_s) = (entries as f64, SPAN.as_secs_f64());
        let resident = set.entries[0].control.usage()?.resident_kib;
        memory.add_point(count, mib(resident));
        core.add_point(
            count,
            float(used_ms - used_ms_before) / count / span_s / 10.0,
        );
        sent.add_point(
            count,
            float(bytes.saturating_sub(bytes_before)) / count / span_s,
        );
        in_force.add_point(count, in_force_ms(&set, &options).await?);
    }
    Ok(vec![memory, core, sent, in_force])
}

/// Returns the processor time of all control processes together, in milliseconds.
fn processor_ms(set: &LocalSet) -> Result<u64> {
    let usages = set.entries.iter().map(|entry| entry.control.usage());
    usages
        .map(|usage| usage.map(|usage| usage.processor_ms))
        .sum()
}

/// Returns the bytes sent, since they were opened, on all open connections between control
/// processes, in both directions.
fn peer_bytes(set: &LocalSet) -> Result<u64> {
    let output = Command::new("ss")
        .args(["-tinHO"])
        .output()
        .map_err(Error::start)?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let addresses: Vec<SocketAddr> = set.entries.iter().map(|entry| entry.control_peer).collect();
    let peer_lines = text.lines().filter(|line| has_peer_end(line, &addresses));
    Ok(peer_lines.filter_map(bytes_sent).sum())
}

/// Returns whether either end of a connection is the peer address of a control process.
fn has_peer_end(line: &str, addresses: &[SocketAddr]) -> bool {
    let ends = line.split_whitespace().skip(3).take(2);
    let ends: Vec<SocketAddr> = ends.filter_map(|end| end.parse().ok()).collect();
    ends.iter().any(|end| addresses.contains(end))
}

fn bytes_sent(line: &str) -> Option<u64> {
    let field = line
        .split_whitespace()
        .find_map(|word| word.strip_prefix("bytes_sent:"))?;
    field.parse().ok()
}

/// Publishes one change and returns the time until every entry host knows its class, in
/// milliseconds.
async fn in_force_ms(set: &LocalSet, options: &LocalOptions) -> Result<f64> {
    const NEW_CLASS: &str = "fresh";
    let target = ClassTarget {
        class: class_name(NEW_CLASS),
        ..options.classes[0].clone()
    };
    let based_on = options.classes.len() as u64;
    set.publish_classes(Revision(based_on), &[target]).await?;
    let published = Instant::now();
    for entry in &set.entries {
        while !has_class(entry.callers, NEW_CLASS).await? {
            Timer::after(POLL_INTERVAL).await;
        }
    }
    Ok(published.elapsed().as_secs_f64() * 1_000.0)
}

async fn has_class(entry: SocketAddr, class: &str) -> Result<bool> {
    let job = Submission {
        submission: SubmissionId::unbound(new_ulid(0)),
        class: class_name(class),
        deadline_ms: None,
        copy: CopyMark::First,
        tasks: vec![payload(0)],
    };
    let body = serde_json::to_vec(&job).expect("submissions are serializable as JSON");
    let reply = call(entry, Method::Post, JOBS_PATH, body).await?;
    let code = Answer::decode(&reply.body)
        .ok()
        .and_then(|answer| answer.code);
    Ok(code != Some(ResultCode::UnknownClass))
}
