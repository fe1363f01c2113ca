//! `onyxshed-load idle`: holds many connections, or many requests in flight, and measures the
//! memory and processor time that the process at the other end uses for them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use http_types::Method;
use onyxshed_core::SubmissionId;
use onyxshed_http::{ClientOptions, Connection};
use onyxshed_wire::caller::{Answer, CopyMark, JOBS_PATH, Submission};
use serde::Serialize;
use smol_str::SmolStr;

use crate::error::Result;
use crate::process::{Usage, read_usage};
use crate::run::{class_name, new_ulid, payload};

/// Options of [`hold_connections`].
#[derive(Debug, Clone)]
pub struct IdleOptions {
    /// Address of the measured process.
    pub address: SocketAddr,
    /// Id of the measured process. Without it, memory and processor time are reported as 0.
    pub pid: Option<u32>,
    /// Number of connections to open.
    pub count: u32,
    /// Class of the one job that is sent on each connection. Without it the connections stay idle.
    pub class: Option<SmolStr>,
    /// Run time of each job's one task, in milliseconds.
    pub service_ms: u32,
    /// Time to hold the connections before memory and processor time are read.
    pub hold: Duration,
    /// Whether to wait for the answers of the jobs. If not, their connections are closed after the
    /// measurement.
    pub awaits_answers: bool,
}

/// Memory and processor time of a process while it held the connections.
#[derive(Debug, Clone, Serialize)]
pub struct IdleReport {
    /// Number of connections opened; `refused` counts the rest of those asked for.
    pub open: u32,
    /// Number of connections that could not be opened.
    pub refused: u32,
    /// Memory and processor time before the connections were opened.
    pub before: Usage,
    /// Memory and processor time while all connections were held.
    pub held: Usage,
    /// Number of jobs answered as complete, if jobs were sent.
    pub complete: u32,
    /// Number of jobs with another answer or none.
    pub other: u32,
}

const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Opens the connections, holds them, and reads the memory and processor time of the process at the
/// other end. Fails if its files in `/proc` can't be read.
pub async fn hold_connections(
    executor: &LocalExecutor<'static>,
    options: Rc<IdleOptions>,
) -> Result<IdleReport> {
    let before = read_target_usage(&options)?;
    let connections = open_all(&options).await;
    let open = u32::try_from(connections.len()).unwrap_or(u32::MAX);
    let mut jobs = Vec::new();
    let mut idle_connections = Vec::new();
    for connection in connections {
        match &options.class {
            Some(_) => jobs.push(executor.spawn(submit(connection, options.clone()))),
            None => idle_connections.push(connection),
        }
    }
    Timer::after(options.hold).await;
    let mut report = IdleReport {
        open,
        refused: options.count - open,
        before,
        held: read_target_usage(&options)?,
        complete: 0,
        other: 0,
    };
    for job in jobs.into_iter().filter(|_| options.awaits_answers) {
        match job.await {
            true => report.complete += 1,
            false => report.other += 1,
        }
    }
    Ok(report)
}

fn read_target_usage(options: &IdleOptions) -> Result<Usage> {
    options.pid.map_or(Ok(Usage::default()), read_usage)
}

async fn open_all(options: &IdleOptions) -> Vec<Connection> {
    let client = ClientOptions {
        connect_timeout: OPEN_TIMEOUT,
        ..ClientOptions::default()
    };
    let mut connections = Vec::new();
    for _ in 0..options.count {
        if let Ok(connection) = Connection::open(options.address, client).await {
            connections.push(connection);
        }
    }
    connections
}

/// Submits one job and returns whether it was answered as complete.
async fn submit(mut connection: Connection, options: Rc<IdleOptions>) -> bool {
    let class = options.class.as_deref().unwrap_or_default();
    let job = Submission {
        submission: SubmissionId::unbound(new_ulid(rand::random())),
        class: class_name(class),
        deadline_ms: None,
        copy: CopyMark::First,
        tasks: vec![payload(options.service_ms)],
    };
    let body = serde_json::to_vec(&job).expect("submissions are serializable as JSON");
    let reply = connection
        .call(Method::Post, JOBS_PATH, &[], body, ANSWER_TIMEOUT)
        .await;
    let answer = reply
        .ok()
        .and_then(|reply| Answer::decode(&reply.body).ok());
    answer.is_some_and(|answer| answer.results.is_some())
}
