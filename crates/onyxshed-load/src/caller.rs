//! Callers: the connections to the entry hosts, and the steps of one submission from its first copy
//! to the final answer.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use http_types::Method;
use onyxshed_core::{Incarnation, Millis, Outcome, SubmissionId};
use onyxshed_http::{CallError, ClientOptions, Connection, SendState};
use onyxshed_wire::caller::{Answer, CopyMark, JOBS_PATH, Submission};

use crate::tally::Wasted;

/// Retry, binding and timeout rules of the callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerOptions {
    /// Maximum number of times that a submission is sent again. Default 2.
    pub repeats_max: u32,
    /// Whether ids are bound to the entry host that they are sent to, as soon as an answer has
    /// given its incarnation. Default false.
    pub may_bind: bool,
    /// Time by which the timeout of each call exceeds the target of the job's class. Default 5 s.
    pub wait_past_target: Duration,
}

impl Default for CallerOptions {
    fn default() -> Self {
        CallerOptions {
            repeats_max: 2,
            may_bind: false,
            wait_past_target: Duration::from_secs(5),
        }
    }
}

/// The address of an entry host, the idle connections to it, and its incarnation, which is `None`
/// until an answer contains it.
#[derive(Debug)]
struct EntryHost {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    incarnation: RefCell<Option<Incarnation>>,
}

/// The callers of a run, which share connections.
#[derive(Debug)]
pub struct Callers {
    entries: Vec<EntryHost>,
    options: CallerOptions,
    wasted: RefCell<Wasted>,
}

/// The next step of a caller after an answer or a failed call.
enum CallerStep {
    /// Ends the submission: with its final answer, or with `None` if no final answer was received.
    Done(Option<Answer>),
    /// Polls the job's answer at the same entry host after this time.
    Poll(Duration),
    /// Sends the job again, to the next entry host, after this time.
    Repeat(Duration),
}

/// Wait before a submission is sent again after a failed call.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// Wait between two polls of a job that is still running, if the answer names no time.
const POLL_PAUSE: Duration = Duration::from_millis(100);

impl Callers {
    /// Creates callers of these entry hosts, of which there must be at least one.
    pub fn new(addresses: &[SocketAddr], options: CallerOptions) -> Self {
        let entry = |address: &SocketAddr| EntryHost {
            address: *address,
            idle: RefCell::default(),
            incarnation: RefCell::default(),
        };
        Callers {
            entries: addresses.iter().map(entry).collect(),
            options,
            wasted: RefCell::default(),
        }
    }

    /// Returns the numbers of refusals, repeats and polls since the callers were created; the other
    /// kinds are 0.
    pub fn wasted(&self) -> Wasted {
        *self.wasted.borrow()
    }

    /// Binds an id to the incarnation of the entry host that `draw` selects. The id stays unbound
    /// if callers do not bind ids or the incarnation is not known yet.
    pub fn bind_id(&self, draw: u64, id: SubmissionId) -> SubmissionId {
        let incarnation = *self.entry(draw).incarnation.borrow();
        SubmissionId {
            bound_to: incarnation.filter(|_| self.options.may_bind),
            ..id
        }
    }

    /// Submits a job, and polls or sends it again until its final answer. Returns `None` if a call
    /// timed out or the last permitted call failed.
    pub async fn submit(&self, draw: u64, job: &Submission, target: Duration) -> Option<Answer> {
        let timeout = target + self.options.wait_past_target;
        let mut job = job.clone();
        let mut repeats = 0;
        loop {
            let entry = self.entry(draw.wrapping_add(u64::from(repeats)));
            let mut result = entry.post(encode(&job), timeout).await;
            let mut step = self.next_step(&result, repeats);
            while let CallerStep::Poll(pause) = step {
                self.wasted.borrow_mut().polls += 1;
                Timer::after(pause).await;
                result = entry.fetch(&job.submission, timeout).await;
                step = self.next_step(&result, repeats);
            }
            match step {
                CallerStep::Done(answer) => return answer,
                CallerStep::Repeat(pause) | CallerStep::Poll(pause) => Timer::after(pause).await,
            };
            repeats += 1;
            job.copy = copy_mark_after(&result);
            self.wasted.borrow_mut().repeats += 1;
        }
    }

    fn entry(&self, draw: u64) -> &EntryHost {
        let count = u64::try_from(self.entries.len()).unwrap_or(1).max(1);
        let index = usize::try_from(draw % count).unwrap_or_default();
        &self.entries[index]
    }

    fn next_step(&self, result: &Result<Answer, CallError>, repeats: u32) -> CallerStep {
        let may_repeat = repeats < self.options.repeats_max;
        let answer = match result {
            Ok(answer) => answer,
            Err(error) if error.is_timeout || !may_repeat => return CallerStep::Done(None),
            Err(_) => return CallerStep::Repeat(REPEAT_PAUSE),
        };
        match (answer.outcome, answer.retry_after_ms) {
            (None, wait) => CallerStep::Poll(wait.map_or(POLL_PAUSE, Duration::from)),
            (Some(Outcome::NotRun), Some(Millis(wait_ms))) if may_repeat => {
                self.wasted.borrow_mut().refusals += 1;
                CallerStep::Repeat(Duration::from_millis(wait_ms))
            }
            (Some(Outcome::NotRun), _) => {
                self.wasted.borrow_mut().refusals += 1;
                CallerStep::Done(Some(answer.clone()))
            }
            _ => CallerStep::Done(Some(answer.clone())),
        }
    }
}

/// Returns the mark that the next copy of a submission carries. It is [`CopyMark::Again`] only if
/// the copy before it may have been received and was not answered, so that the job may be running.
fn copy_mark_after(result: &Result<Answer, CallError>) -> CopyMark {
    match result {
        Ok(_) => CopyMark::Unmarked,
        Err(error) if error.sent == SendState::NotSent => CopyMark::Unmarked,
        Err(_) => CopyMark::Again,
    }
}

fn encode(job: &Submission) -> Vec<u8> {
    serde_json::to_vec(job).expect("submissions are serializable as JSON")
}

impl EntryHost {
    async fn post(&self, body: Vec<u8>, timeout: Duration) -> Result<Answer, CallError> {
        self.call(Method::Post, JOBS_PATH, body, timeout).await
    }

    async fn fetch(&self, id: &SubmissionId, timeout: Duration) -> Result<Answer, CallError> {
        let path = format!("{JOBS_PATH}/{id}");
        self.call(Method::Get, &path, Vec::new(), timeout).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let mut connection = self.connection().await?;
        let reply = connection.call(method, path, &[], body, timeout).await?;
        let answer = Answer::decode(&reply.body)
            .map_err(|error| CallError::connection_failed(SendState::MaybeSent, error))?;
        if reply.header_value("connection") != Some("close") {
            self.idle.borrow_mut().push(connection);
        }
        if answer.bind_to.is_some() {
            self.incarnation.replace(answer.bind_to);
        }
        Ok(answer)
    }

    async fn connection(&self) -> Result<Connection, CallError> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            match idle {
                Some(connection) if connection.is_open().await => return Ok(connection),
                Some(_) => {}
                None => return Connection::open(self.address, ClientOptions::default()).await,
            }
        }
    }
}
