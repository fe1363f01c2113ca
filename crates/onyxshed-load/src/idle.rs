//! `onyxshed-load idle`: holds many connections, or many requests in flight, and reads what that
//! costs the process at the other end.

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

/// What to hold.
#[derive(Debug, Clone)]
pub struct IdleOptions {
    /// The process's address.
    pub address: SocketAddr,
    /// Its process id, to read memory and processor time.
    pub pid: Option<u32>,
    /// How many connections.
    pub count: u32,
    /// Send one job on each, of this class.
    pub class: Option<SmolStr>,
    /// How long each job's one task runs, in milliseconds.
    pub service_ms: u32,
    /// How long to hold before reading the use of the machine.
    pub hold: Duration,
    /// Whether the answers of the jobs are waited for; without it their connections are closed.
    pub awaits_answers: bool,
}

/// What holding them cost.
#[derive(Debug, Clone, Serialize)]
pub struct IdleReport {
    /// Connections opened.
    pub open: u32,
    /// Connections refused or broken while opening.
    pub refused: u32,
    /// Use of the machine before.
    pub before: Usage,
    /// Use of the machine while all are held.
    pub held: Usage,
    /// Jobs answered complete, if jobs were sent.
    pub complete: u32,
    /// Jobs answered otherwise or not at all.
    pub other: u32,
}

const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Tries to hold the connections and read the other end's use of the machine.
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

/// Submits one job and tells whether it was complete.
async fn submit(mut connection: Connection, options: Rc<IdleOptions>) -> bool {
    let class = options.class.as_deref().unwrap_or_default();
    let job = Submission {
        submission: SubmissionId::unbound(new_ulid(rand::random())),
        class: class_name(class),
        deadline_ms: None,
        copy: CopyMark::First,
        tasks: vec![payload(options.service_ms)],
    };
    let body = serde_json::to_vec(&job).expect("submissions hold only what JSON can write");
    let reply = connection
        .call(Method::Post, JOBS_PATH, &[], body, ANSWER_TIMEOUT)
        .await;
    let answer = reply
        .ok()
        .and_then(|reply| Answer::decode(&reply.body).ok());
    answer.is_some_and(|answer| answer.results.is_some())
}
