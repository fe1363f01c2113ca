//! `onyxshed-load claims`: the cost of at-most-once execution, and the answers during an outage of
//! the platform's log.
//!
//! One caller submits jobs of one short task, one after another, to the first of three entry hosts:
//! with each kind of id, first in normal operation and then while the platform refuses every
//! connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use async_io::Timer;
use hdrhistogram::Histogram;
use http_types::Method;
use onyxshed_core::{Incarnation, SubmissionId};
use onyxshed_http::{ClientOptions, Connection};
use onyxshed_wire::caller::{Answer, CopyMark, JOBS_PATH, Submission};
use serde::Serialize;

use crate::error::{Error, Result};
use crate::local::{BENCH_CLASS, LocalOptions, LocalSet, call};
use crate::report::Percentiles;
use crate::run::{class_name, new_ulid, payload};
use crate::tally::histogram;

/// Whether the ids of submissions are bound to an entry host, and to which one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IdKind {
    /// A ULID without a host, which is claimed in the log.
    Unbound,
    /// An id bound to the host that receives the job.
    Bound,
    /// An id bound to another host, to which the receiving host forwards the job.
    BoundElsewhere,
}

/// Results of the jobs with one kind of id, either in normal operation or during the outage.
#[derive(Debug, Clone, Serialize)]
pub struct ClaimRun {
    /// Whether the ids of the jobs were bound, and to which entry host.
    pub ids: IdKind,
    /// Whether the platform refused every connection during these jobs.
    pub is_platform_down: bool,
    /// Number of jobs sent, one after another to the first entry host.
    pub sent: u32,
    /// Number of answers by result code; 0 is the key of answers without a code.
    pub codes: BTreeMap<u16, u32>,
    /// Response times of complete jobs, in milliseconds.
    pub complete_ms: Percentiles,
    /// Response times of other answers, in milliseconds.
    pub other_ms: Percentiles,
}

const ENTRIES: usize = 3;
const JOBS: u32 = 400;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two jobs, long enough that a claim never waits for the entry host's append budget.
const JOB_INTERVAL: Duration = Duration::from_millis(40);

/// Time in which the entry hosts detect the outage before the measurement starts.
const OUTAGE_DETECTION: Duration = Duration::from_secs(3);

/// Measures every kind of id, in normal operation and then during an outage of the platform.
pub async fn measure_claims(binaries: PathBuf) -> Result<Vec<ClaimRun>> {
    let options = LocalOptions {
        entries: ENTRIES,
        ..LocalOptions::small(binaries)
    };
    let set = LocalSet::start(&options).await?;
    let mut runs = Vec::new();
    for is_platform_down in [false, true] {
        if is_platform_down {
            take_platform_down(&set).await?;
        }
        for ids in [IdKind::Unbound, IdKind::Bound, IdKind::BoundElsewhere] {
            runs.push(measure_kind(&set, ids, is_platform_down).await?);
        }
    }
    Ok(runs)
}

async fn take_platform_down(set: &LocalSet) -> Result<()> {
    let faults = br#"{"down":"refuse"}"#.to_vec();
    call(
        set.platform.address,
        Method::Post,
        "/control/faults",
        faults,
    )
    .await?;
    Timer::after(OUTAGE_DETECTION).await;
    Ok(())
}

async fn measure_kind(set: &LocalSet, ids: IdKind, is_platform_down: bool) -> Result<ClaimRun> {
    let bound_to = read_incarnation(set, ids).await?;
    let mut codes = BTreeMap::new();
    let (mut complete_us, mut other_us) = (histogram(), histogram());
    let address = set.entries[0].callers;
    let mut connection = connect(set, 0).await?;
    for _ in 0..JOBS {
        Timer::after(JOB_INTERVAL).await;
        let started_at = Instant::now();
        let answer = submit(&mut connection, address, bound_to).await?;
        let code = answer.code.map_or(0, |code| code.number());
        *codes.entry(code).or_default() += 1;
        let times = if answer.results.is_some() {
            &mut complete_us
        } else {
            &mut other_us
        };
        record_duration(times, started_at.elapsed());
    }
    Ok(ClaimRun {
        ids,
        is_platform_down,
        sent: JOBS,
        codes,
        complete_ms: Percentiles::of(&complete_us, 1_000.0),
        other_ms: Percentiles::of(&other_us, 1_000.0),
    })
}

fn record_duration(times: &mut Histogram<u64>, took: Duration) {
    let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    times.saturating_record(took_us);
}

/// Returns the incarnation that ids are bound to, read from an answer of the host concerned.
/// Returns `None` for unbound ids.
async fn read_incarnation(set: &LocalSet, ids: IdKind) -> Result<Option<Incarnation>> {
    let host = match ids {
        IdKind::Unbound => return Ok(None),
        IdKind::Bound => 0,
        IdKind::BoundElsewhere => 1,
    };
    let address = set.entries[host].callers;
    let answer = submit(&mut connect(set, host).await?, address, None).await?;
    Ok(answer.bind_to)
}

async fn connect(set: &LocalSet, host: usize) -> Result<Connection> {
    let address = set.entries[host].callers;
    let opened = Connection::open(address, ClientOptions::default()).await;
    opened.map_err(|error| Error::unreachable(address, error))
}

async fn submit(
    connection: &mut Connection,
    address: SocketAddr,
    bound_to: Option<Incarnation>,
) -> Result<Answer> {
    let job = Submission {
        submission: SubmissionId {
            ulid: new_ulid(rand::random()),
            bound_to,
        },
        class: class_name(BENCH_CLASS),
        deadline_ms: None,
        copy: CopyMark::First,
        tasks: vec![payload(0)],
    };
    let body = serde_json::to_vec(&job).expect("submissions are serializable as JSON");
    let reply = connection
        .call(Method::Post, JOBS_PATH, &[], body, TIMEOUT)
        .await;
    let reply = reply.map_err(|error| Error::unreachable(address, error))?;
    Answer::decode(&reply.body).map_err(|error| Error::unreachable(address, error))
}
