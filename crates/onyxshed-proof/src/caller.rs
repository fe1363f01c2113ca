//! A client that submits a job and polls for its answer until the answer is final or a request fails.

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

/// Timeout of one request. It exceeds every job deadline of the tests, so a request only times out
/// when the host does not answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two requests for the answer of a job that is still running.
const FETCH_INTERVAL: Duration = Duration::from_millis(20);

/// The result of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The HTTP status and the decoded answer.
    Answer(u16, Answer),
    /// The HTTP status and the body of a reply that can't be decoded as an answer.
    Unreadable(u16, String),
    /// No reply: the connection failed or the request timed out.
    Lost(CallError),
}

/// The result of a caller's request and the time when it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedCallResult {
    /// The result of the last request that was sent for the job.
    pub result: CallResult,
    /// Time of receipt on the wall clock, comparable with the start times that executors record.
    pub received_at_ms: UnixMs,
}

impl fmt::Display for CallResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallResult::Answer(status, answer) => {
                let code = answer.code.map(ResultCode::number);
                write!(f, "{status} {:?} {code:?} {}", answer.outcome, answer.text)
            }
            CallResult::Unreadable(status, text) => write!(f, "{status} unreadable {text:?}"),
            CallResult::Lost(error) => write!(f, "no reply: {error}"),
        }
    }
}

impl CallResult {
    /// Returns the job's outcome, `None` if no final answer was received.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            CallResult::Answer(_, answer) => answer.outcome,
            CallResult::Unreadable(..) | CallResult::Lost(_) => None,
        }
    }
}

/// Whether a caller submits a job again after a "not run" or "unknown" answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResubmitPolicy {
    /// Submits the job once.
    Once,
    /// Submits the job again as long as the answer is "not run" or "unknown", for up to
    /// [`WAIT_TIMEOUT`].
    UntilRun,
}

/// Submits a job, polls for its answer, and submits it again if `policy` requires that. Returns the
/// result of the last request.
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

/// Returns how long to wait before the same job is submitted again, or `None` if it may not be
/// submitted again. It may be after "not run", and after "unknown" because submissions are
/// deduplicated by their id.
fn resubmit_delay(result: &CallResult) -> Option<Duration> {
    let CallResult::Answer(_, answer) = result else {
        return None;
    };
    let can_resubmit = matches!(answer.outcome, Some(Outcome::NotRun | Outcome::Unknown));
    can_resubmit.then(|| answer.retry_after_ms.map_or(FETCH_INTERVAL, Duration::from))
}

/// Fetches the answer of a submitted job, and polls until it is final.
pub async fn fetch(address: SocketAddr, id: SubmissionId) -> TimedCallResult {
    let first_result = call(address, Method::Get, &job_path(id), Vec::new()).await;
    poll_until_final(address, id, first_result).await
}

/// Cancels a job and returns the answer to the cancellation.
pub async fn cancel(address: SocketAddr, id: SubmissionId) -> TimedCallResult {
    let result = call(address, Method::Delete, &job_path(id), Vec::new()).await;
    TimedCallResult {
        result,
        received_at_ms: now_ms(),
    }
}

/// Fetches the answer of a job until it has an outcome or a request fails.
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

/// Returns the current time of the wall clock.
pub fn now_ms() -> UnixMs {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    UnixMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
