//! Callers, each of which submits one job after the other and resubmits a job whose outcome is unknown.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use onyxshed_http::client::{ClientOptions, Connection};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use crate::checks::now_ms;
use crate::fleet::executors::TASK_CPU_MILLIS;
use crate::fleet::{ROUTE_HOST, ROUTE_PREFIX};

/// The delay before a job whose outcome is unknown is submitted again.
pub(crate) const RESEND_DELAY: Duration = Duration::from_millis(1_300);

/// The greatest number of times that a job is submitted by default, including the first.
pub(crate) const SENDS_MAX: u32 = 6;

/// The deadline that a caller sends with a job by default, in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 2_500;

/// The time that a caller waits for a reply by default.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The deadline of hurried callers, in milliseconds.
const HURRIED_DEADLINE_MS: u64 = 1_500;

/// The greatest number of times that a hurried caller submits a job: some of its jobs can't end in time.
const HURRIED_SENDS_MAX: u32 = 3;

/// The time after which a hurried caller that gives up early closes its connection, in milliseconds.
const EARLY_MS: std::ops::Range<u64> = 50..1_500;

/// How long callers wait for their jobs, and which jobs they submit.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// The deadline that a caller sends with a job, in milliseconds.
    pub deadline_ms: u64,
    /// The time that a caller waits for a reply; then it closes the connection, and the answer is
    /// [`Answer::Unknown`].
    pub request_timeout: Duration,
    /// The greatest number of times that a job is submitted, including the first.
    pub sends_max: u32,
    /// Whether all callers wait for the same time.
    pub patience: Patience,
    /// The sizes of the jobs.
    pub sizes: JobSizes,
}

/// Whether all callers wait for the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// Every request has the same deadline and timeout.
    Same,
    /// One request in eight is given up early, and one in four has a deadline and a timeout four times as long.
    Varied,
}

/// The sizes of the jobs that callers submit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobSizes {
    /// 1 to 4 tasks of 20 to 500 ms.
    Small,
    /// Many short tasks, or fewer long ones: 2 to 8 tasks of 50 to 760 ms in the mean. The tasks of one job in
    /// four take seven times as long as expected.
    Mixed,
}

impl CallerOptions {
    /// Returns the options of callers that wait no longer than their deadline, which is short for most requests.
    pub fn hurried() -> Self {
        CallerOptions {
            deadline_ms: HURRIED_DEADLINE_MS,
            request_timeout: Duration::from_millis(HURRIED_DEADLINE_MS),
            sends_max: HURRIED_SENDS_MAX,
            patience: Patience::Varied,
            sizes: JobSizes::Mixed,
        }
    }

    /// Returns the options with which every job can be served: without jobs that take longer than expected, and
    /// without early ends of requests.
    pub fn served_soon(&self) -> Self {
        CallerOptions {
            patience: Patience::Same,
            sizes: JobSizes::Small,
            ..self.clone()
        }
    }

    /// Draws the deadline in milliseconds and the timeout of one request.
    fn draw_wait(&self, rng: &mut SmallRng) -> (u64, Duration) {
        let draw = match self.patience {
            Patience::Same => None,
            Patience::Varied => Some(rng.random_range(0..8)),
        };
        match draw {
            Some(0) => {
                let early = Duration::from_millis(rng.random_range(EARLY_MS));
                (self.deadline_ms, early.min(self.request_timeout))
            }
            Some(1 | 2) => (self.deadline_ms * 4, self.request_timeout * 4),
            _ => (self.deadline_ms, self.request_timeout),
        }
    }
}

impl Default for CallerOptions {
    fn default() -> Self {
        CallerOptions {
            deadline_ms: DEADLINE_MS,
            request_timeout: REQUEST_TIMEOUT,
            sends_max: SENDS_MAX,
            patience: Patience::Same,
            sizes: JobSizes::Small,
        }
    }
}

/// The number of requests that a caller sends on one connection before it opens another.
const REQUESTS_PER_CONNECTION: u32 = 20;

/// The answer to one submission of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// All tasks are done.
    Completed,
    /// A task failed and is not retried any more.
    Failed,
    /// The job has not run and will not run.
    NotRun,
    /// The outcome of the job is unknown, or no answer arrived.
    Unknown,
}

/// A job that a caller submitted, and the answers to its submissions.
#[derive(Debug, Clone)]
pub struct SubmittedJob {
    /// The id of the job: 16 hexadecimal digits, which are also sent as the `request-id` header.
    pub job: SmolStr,
    /// The number of its tasks.
    pub tasks: u16,
    /// The time of each submission, in milliseconds since the Unix epoch.
    pub sent_ms: Vec<u64>,
    /// The answer to each submission, in order.
    pub answers: Vec<Answer>,
    /// How each submission was cut off whose connection broke before an answer arrived.
    pub cut_off: Vec<SmolStr>,
    /// The time from the first submission to the last answer.
    pub elapsed: Duration,
}

/// The jobs that the callers of one phase have submitted and will not submit again.
pub type SubmittedJobs = Rc<RefCell<Vec<SubmittedJob>>>;

/// Submits jobs one after another until the time `until`. The seed determines the jobs, the pauses
/// and the hosts.
pub async fn run_caller(
    hosts: Vec<SocketAddr>,
    options: CallerOptions,
    seed: u64,
    until: Instant,
    jobs: SubmittedJobs,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut caller = Caller {
        options,
        hosts,
        connection: None,
        requests_on_connection: 0,
        cut_off: Vec::new(),
    };
    while Instant::now() < until {
        let pause = Duration::from_millis(rng.random_range(5..80));
        Timer::after(pause).await;
        let job = caller.submit_until_answered(&mut rng).await;
        jobs.borrow_mut().push(job);
    }
}

/// One caller, which uses a connection for at most `REQUESTS_PER_CONNECTION` requests.
struct Caller {
    options: CallerOptions,
    hosts: Vec<SocketAddr>,
    connection: Option<Connection>,
    /// The number of requests sent on the connection.
    requests_on_connection: u32,
    /// How the requests for the current job were cut off.
    cut_off: Vec<SmolStr>,
}

/// A job that is about to be submitted.
pub(crate) struct NewJob {
    pub(crate) id: SmolStr,
    pub(crate) tasks: u16,
    pub(crate) body: String,
}

impl NewJob {
    /// Draws a job.
    pub(crate) fn draw(rng: &mut SmallRng, sizes: JobSizes) -> Self {
        let id = format_smolstr!("{:016x}", rng.random::<u64>());
        let (tasks, expected_ms, ms) = match sizes {
            JobSizes::Small => {
                let tasks = rng.random_range(1..5_u16);
                let ms = [20, 60, 200, 500][rng.random_range(0..4)];
                (tasks, ms, ms)
            }
            JobSizes::Mixed => {
                let (tasks, ms) = [(8, 50), (2, 170), (2, 170), (4, 760)][rng.random_range(0..4)];
                let factor = if rng.random_range(0..4) == 0 { 7 } else { 1 };
                (tasks, ms, ms * factor * rng.random_range(60..140) / 100)
            }
        };
        // The tasks of one job in forty fail in every run.
        let spec = match rng.random_range(0..40) {
            0 => format!("{ms} fail"),
            _ => format!("{ms}"),
        };
        let estimate_ms = expected_ms * rng.random_range(50..200) / 100;
        let body = job_body(&spec, tasks, estimate_ms);
        NewJob { id, tasks, body }
    }
}

/// Returns the body of a best-effort job.
pub(crate) fn job_body(spec: &str, tasks: u16, estimate_ms: u64) -> String {
    let body = json!({
        "spec": spec, "best_effort": true,
        "phases": [{"count": tasks, "cpu": TASK_CPU_MILLIS, "mem_mb": 1, "est_runtime_ms": estimate_ms}],
    });
    body.to_string()
}

impl Caller {
    async fn submit_until_answered(&mut self, rng: &mut SmallRng) -> SubmittedJob {
        let NewJob {
            id: job,
            tasks,
            body,
        } = NewJob::draw(rng, self.options.sizes);
        let started_at = Instant::now();
        let (mut sent_ms, mut answers) = (Vec::new(), Vec::new());
        for _ in 0..self.options.sends_max {
            sent_ms.push(now_ms());
            let answer = self.submit(&job, &body, rng).await;
            answers.push(answer);
            if answer != Answer::Unknown {
                break;
            }
            Timer::after(RESEND_DELAY).await;
        }
        SubmittedJob {
            job,
            tasks,
            sent_ms,
            answers,
            cut_off: std::mem::take(&mut self.cut_off),
            elapsed: started_at.elapsed(),
        }
    }

    /// Submits a job once, on the open connection if there is one.
    async fn submit(&mut self, job: &str, body: &str, rng: &mut SmallRng) -> Answer {
        if self.requests_on_connection >= REQUESTS_PER_CONNECTION {
            self.connection = None;
        }
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let host = self.hosts[rng.random_range(0..self.hosts.len())];
                self.requests_on_connection = 0;
                match Connection::open(host, ClientOptions::default()).await {
                    Ok(connection) => connection,
                    Err(_) => return Answer::Unknown,
                }
            }
        };
        self.requests_on_connection += 1;
        let (deadline_ms, timeout) = self.options.draw_wait(rng);
        let headers = [
            ("host", SmolStr::new_static(ROUTE_HOST)),
            ("x-onyxshed-deadline-ms", format_smolstr!("{deadline_ms}")),
            ("request-id", SmolStr::new(job)),
        ];
        let path = format!("{ROUTE_PREFIX}{job}");
        let reply = connection
            .call(Method::Post, &path, &headers, body.into(), timeout)
            .await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                // While a host has ended and has not started again, the proxy accepts connections
                // for it and closes them. A break therefore counts only on a connection on which
                // the host has answered before.
                let has_host_answered = self.requests_on_connection > 1;
                let is_broken =
                    error.sent == onyxshed_http::SendState::MaybeSent && !error.is_timeout;
                if has_host_answered && is_broken {
                    self.cut_off.push(error.reason);
                }
                return Answer::Unknown;
            }
        };
        if reply.header_value("connection") != Some("close") {
            self.connection = Some(connection);
        }
        parse_answer(reply.status, &reply.body)
    }
}

/// Returns the answer that a reply with this status and body gives.
pub(crate) fn parse_answer(status: u16, body: &[u8]) -> Answer {
    let state: Option<SmolStr> = serde_json::from_slice(body)
        .ok()
        .and_then(|body: serde_json::Value| Some(body.get("state")?.as_str()?.into()));
    match (status, state.as_deref()) {
        (200, Some("completed")) => Answer::Completed,
        (200, Some("failed")) => Answer::Failed,
        (429 | 503, _) => Answer::NotRun,
        _ => Answer::Unknown,
    }
}
