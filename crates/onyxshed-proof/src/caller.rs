//! A caller: submits a job and stays with it until its one answer has come or the connection broke.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use async_io::Timer;
use http_types::Method;
use onyxshed_core::{Outcome, ResultCode, SubmissionId, UnixMs};
use onyxshed_http::client::{ClientOptions, Connection};
use onyxshed_http::{CallError, Reply};
use onyxshed_wire::caller::{Answer, CopyMark, JOBS_PATH, Submission};

use crate::remote::WAIT_CEILING;

/// How long a caller stays with one request: past every deadline, so that only a missing answer
/// ends it.
const PATIENCE: Duration = Duration::from_secs(60);

/// Pause before a running job's answer is fetched again.
const FETCH_PAUSE: Duration = Duration::from_millis(20);

/// What a caller heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Heard {
    /// An answer, with its HTTP status.
    Answer(u16, Answer),
    /// An answer that can't be read.
    Garbage(u16, String),
    /// No answer: the connection broke or nothing came.
    Lost(CallError),
}

/// What a caller heard, and when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeardAt {
    /// What.
    pub heard: Heard,
    /// When, on the wall clock that executors stamp starts with.
    pub at_ms: UnixMs,
}

impl fmt::Display for Heard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Heard::Answer(status, answer) => {
                let code = answer.code.map(ResultCode::number);
                write!(f, "{status} {:?} {code:?} {}", answer.outcome, answer.text)
            }
            Heard::Garbage(status, text) => write!(f, "{status} garbage {text:?}"),
            Heard::Lost(error) => write!(f, "lost: {error}"),
        }
    }
}

impl Heard {
    /// Gets the outcome, none if there was no final answer.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Heard::Answer(_, answer) => answer.outcome,
            Heard::Garbage(..) | Heard::Lost(_) => None,
        }
    }
}

/// How often a caller submits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// Once.
    Once,
    /// Again whenever the answer invites it, until the job is run.
    UntilRun,
}

/// Submits and stays until the end.
pub async fn submit(address: SocketAddr, submission: Submission, patience: Patience) -> HeardAt {
    let mut submission = submission;
    let give_up_at = Instant::now() + WAIT_CEILING;
    loop {
        let body = serde_json::to_vec(&submission).unwrap_or_default();
        submission.copy = CopyMark::Again;
        let first = call(address, Method::Post, JOBS_PATH, body).await;
        let heard_at = stay(address, submission.submission, first).await;
        match (patience, repeat_after(&heard_at.heard)) {
            (Patience::UntilRun, Some(wait)) if Instant::now() < give_up_at => {
                Timer::after(wait).await;
            }
            _ => return heard_at,
        }
    }
}

/// Gets how long to wait before a repeat: after "not run", and after "unknown", because the same id
/// is safe to send again.
fn repeat_after(heard: &Heard) -> Option<Duration> {
    let Heard::Answer(_, answer) = heard else {
        return None;
    };
    let may_repeat = matches!(answer.outcome, Some(Outcome::NotRun | Outcome::Unknown));
    may_repeat.then(|| answer.retry_after_ms.map_or(FETCH_PAUSE, Duration::from))
}

/// Fetches the answer and stays until the end.
pub async fn fetch(address: SocketAddr, id: SubmissionId) -> HeardAt {
    let first = call(address, Method::Get, &path_of(id), Vec::new()).await;
    stay(address, id, first).await
}

/// Cancels a job.
pub async fn cancel(address: SocketAddr, id: SubmissionId) -> HeardAt {
    let heard = call(address, Method::Delete, &path_of(id), Vec::new()).await;
    HeardAt {
        heard,
        at_ms: now_ms(),
    }
}

async fn stay(address: SocketAddr, id: SubmissionId, first: Heard) -> HeardAt {
    let mut heard = first;
    while let Heard::Answer(_, answer) = &heard
        && answer.outcome.is_none()
    {
        Timer::after(FETCH_PAUSE).await;
        heard = call(address, Method::Get, &path_of(id), Vec::new()).await;
    }
    HeardAt {
        heard,
        at_ms: now_ms(),
    }
}

async fn call(address: SocketAddr, method: Method, path: &str, body: Vec<u8>) -> Heard {
    match try_call(address, method, path, body).await {
        Ok(reply) => read(&reply),
        Err(error) => Heard::Lost(error),
    }
}

async fn try_call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Reply, CallError> {
    let options = ClientOptions {
        reply_max_bytes: 64 << 20,
        ..ClientOptions::default()
    };
    let mut connection = Connection::open(address, options).await?;
    connection.call(method, path, &[], body, PATIENCE).await
}

fn read(reply: &Reply) -> Heard {
    match Answer::decode(&reply.body) {
        Ok(answer) => Heard::Answer(reply.status, answer),
        Err(_) => {
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            Heard::Garbage(reply.status, text)
        }
    }
}

fn path_of(id: SubmissionId) -> String {
    format!("{JOBS_PATH}/{id}")
}

/// Reads the wall clock.
pub fn now_ms() -> UnixMs {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    UnixMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
