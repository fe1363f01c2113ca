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

use crate::remote::WAIT_TIMEOUT;

/// How long a caller stays with one request: past every deadline, so that only a missing answer
/// ends it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause before a running job's answer is fetched again.
const FETCH_INTERVAL: Duration = Duration::from_millis(20);

/// What a caller heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// An answer, with its HTTP status.
    Answer(u16, Answer),
    /// An answer that can't be read.
    Unreadable(u16, String),
    /// No answer: the connection broke or nothing came.
    Lost(CallError),
}

/// What a caller heard, and when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedCallResult {
    /// What.
    pub result: CallResult,
    /// When, on the wall clock that executors stamp starts with.
    pub received_at_ms: UnixMs,
}

impl fmt::Display for CallResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallResult::Answer(status, answer) => {
                let code = answer.code.map(ResultCode::number);
                write!(f, "{status} {:?} {code:?} {}", answer.outcome, answer.text)
            }
            CallResult::Unreadable(status, text) => write!(f, "{status} garbage {text:?}"),
            CallResult::Lost(error) => write!(f, "lost: {error}"),
        }
    }
}

impl CallResult {
    /// Gets the outcome, none if there was no final answer.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            CallResult::Answer(_, answer) => answer.outcome,
            CallResult::Unreadable(..) | CallResult::Lost(_) => None,
        }
    }
}

/// How often a caller submits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResubmitPolicy {
    /// Once.
    Once,
    /// Again whenever the answer invites it, until the job is run.
    UntilRun,
}

/// Submits and stays until the end.
pub async fn submit(
    address: SocketAddr,
    submission: Submission,
    policy: ResubmitPolicy,
) -> TimedCallResult {
    let mut submission = submission;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let body = serde_json::to_vec(&submission).unwrap_or_default();
        submission.copy = CopyMark::Again;
        let first_result = call(address, Method::Post, JOBS_PATH, body).await;
        let timed_result = poll_until_final(address, submission.submission, first_result).await;
        match (policy, resubmit_delay(&timed_result.result)) {
            (ResubmitPolicy::UntilRun, Some(wait)) if Instant::now() < deadline => {
                Timer::after(wait).await;
            }
            _ => return timed_result,
        }
    }
}

/// Gets how long to wait before a repeat: after "not run", and after "unknown", because the same id
/// is safe to send again.
fn resubmit_delay(result: &CallResult) -> Option<Duration> {
    let CallResult::Answer(_, answer) = result else {
        return None;
    };
    let can_resubmit = matches!(answer.outcome, Some(Outcome::NotRun | Outcome::Unknown));
    can_resubmit.then(|| answer.retry_after_ms.map_or(FETCH_INTERVAL, Duration::from))
}

/// Fetches the answer and stays until the end.
pub async fn fetch(address: SocketAddr, id: SubmissionId) -> TimedCallResult {
    let first_result = call(address, Method::Get, &job_path(id), Vec::new()).await;
    poll_until_final(address, id, first_result).await
}

/// Cancels a job.
pub async fn cancel(address: SocketAddr, id: SubmissionId) -> TimedCallResult {
    let result = call(address, Method::Delete, &job_path(id), Vec::new()).await;
    TimedCallResult {
        result,
        received_at_ms: now_ms(),
    }
}

async fn poll_until_final(
    address: SocketAddr,
    id: SubmissionId,
    first_result: CallResult,
) -> TimedCallResult {
    let mut result = first_result;
    while let CallResult::Answer(_, answer) = &result
        && answer.outcome.is_none()
    {
        Timer::after(FETCH_INTERVAL).await;
        result = call(address, Method::Get, &job_path(id), Vec::new()).await;
    }
    TimedCallResult {
        result,
        received_at_ms: now_ms(),
    }
}

async fn call(address: SocketAddr, method: Method, path: &str, body: Vec<u8>) -> CallResult {
    match try_call(address, method, path, body).await {
        Ok(reply) => decode_reply(&reply),
        Err(error) => CallResult::Lost(error),
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
    connection
        .call(method, path, &[], body, REQUEST_TIMEOUT)
        .await
}

fn decode_reply(reply: &Reply) -> CallResult {
    match Answer::decode(&reply.body) {
        Ok(answer) => CallResult::Answer(reply.status, answer),
        Err(_) => {
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            CallResult::Unreadable(reply.status, text)
        }
    }
}

fn job_path(id: SubmissionId) -> String {
    format!("{JOBS_PATH}/{id}")
}

/// Reads the wall clock.
pub fn now_ms() -> UnixMs {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    UnixMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
