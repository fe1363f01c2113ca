//! The HTTP interface of the executor: starts, stops and queries tasks, and executes the commands
//! of tests under `/control/`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{FutureExt, future};
use http_types::Method;
use onyxshed_core::{Millis, TaskId};
use onyxshed_http::{Call, Reply};
use onyxshed_wire::upstream::{
    ATTEMPT_HEADER, CLASS_HEADER, DRAINING_HEADER, LEASE_HEADER, QUEUED_HEADER, RUNNING_HEADER,
    SERVICE_HEADER, STARTER_HEADER, STATE_HEADER, StartRequest, TASK_HEADER, TASKS_PATH, TaskState,
    USAGE_PATH, Usage,
};
use smol_str::format_smolstr;

use crate::platform::service::now_ms;
use crate::serve::{Handler, ServerAction, no_such_path, read_json};

use super::options::{Payload, UpstreamFaults, UpstreamOptions};
use super::tasks::{Admission, Attempt, StartRecord, TaskTable, WakeReason};

/// The number of characters of a payload that the record of a start keeps.
const PAYLOAD_PREFIX_CHARS: usize = 64;

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;

/// The stand-in of an upstream's executor; clones share its state.
#[derive(Clone)]
pub struct Executor {
    inner: Rc<Inner>,
}

struct Inner {
    options: UpstreamOptions,
    tasks: RefCell<TaskTable>,
    faults: RefCell<UpstreamFaults>,
    is_draining: Cell<bool>,
    usage: RefCell<(Instant, Usage)>,
}

/// The outcome of a start or stop request: the state to report, the body of the reply, and how long
/// the task was in service.
struct TaskEnd {
    state: TaskState,
    body: Vec<u8>,
    service: Duration,
}

impl TaskEnd {
    fn refused(reason: &str) -> Self {
        TaskEnd {
            state: TaskState::Refused,
            body: reason.into(),
            service: Duration::ZERO,
        }
    }
}

impl Executor {
    /// Creates an executor without tasks, with the slots and the queue limit of `options`.
    pub fn new(options: UpstreamOptions) -> Self {
        let tasks = TaskTable::new(options.slots, options.queue_max);
        let usage = Usage {
            age_ms: Millis(0),
            load: tasks.load(false),
            slots: options.slots,
            started: 0,
        };
        Executor {
            inner: Rc::new(Inner {
                options,
                tasks: RefCell::new(tasks),
                faults: RefCell::default(),
                is_draining: Cell::new(false),
                usage: RefCell::new((Instant::now(), usage)),
            }),
        }
    }

    /// Returns the HTTP handler of the executor's interface and of the commands under `/control/`.
    pub fn handler(&self) -> Handler {
        let executor = self.clone();
        Rc::new(move |call| {
            let executor = executor.clone();
            Box::pin(async move { executor.handle(call).await })
        })
    }

    /// Renews the usage report every `usage_lag_ms` until the future is dropped.
    pub async fn report_usage(self) {
        let lag = self.inner.options.usage_lag_ms.into();
        loop {
            Timer::after(lag).await;
            let load = self.inner.tasks.borrow().load(self.inner.is_draining.get());
            let usage = Usage {
                age_ms: Millis(0),
                load,
                slots: self.inner.options.slots,
                started: self.inner.tasks.borrow().started(),
            };
            self.inner.usage.replace((Instant::now(), usage));
        }
    }

    async fn handle(&self, call: Call) -> ServerAction {
        if call.path().starts_with("/control/") {
            return self.control(&call);
        }
        let action = match (call.method(), parse_task_path(call.path())) {
            (Method::Get, None) if call.path() == USAGE_PATH => self.usage(),
            (Method::Post, Some(task)) => self.post(task, call).await,
            (Method::Delete, Some(task)) => self.delete(task, &call),
            (Method::Get, Some(task)) => self.task_status(task),
            _ => no_such_path(),
        };
        let is_silent = self.inner.faults.borrow().silent;
        match is_silent {
            true => future::pending().await,
            false => action,
        }
    }

    fn control(&self, call: &Call) -> ServerAction {
        match (call.method(), call.path()) {
            (Method::Get, "/control/starts") => {
                ServerAction::Reply(Reply::json(OK, &self.inner.tasks.borrow().starts()))
            }
            (Method::Get, "/control/load") => {
                let load = self.inner.tasks.borrow().load(self.inner.is_draining.get());
                ServerAction::Reply(Reply::json(OK, &load))
            }
            (Method::Post, "/control/drain") => {
                self.inner.is_draining.set(true);
                ServerAction::Reply(Reply::bytes(OK, ""))
            }
            (Method::Post, "/control/faults") => match read_json(&call.body) {
                Ok(faults) => {
                    self.inner.faults.replace(faults);
                    ServerAction::Reply(Reply::bytes(OK, ""))
                }
                Err(action) => action,
            },
            _ => no_such_path(),
        }
    }

    fn usage(&self) -> ServerAction {
        let (renewed_at, mut usage) = self.inner.usage.borrow().clone();
        let age_ms = u64::try_from(renewed_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        usage.age_ms = Millis(age_ms);
        ServerAction::Reply(Reply::json(OK, &usage))
    }

    fn delete(&self, task: TaskId, call: &Call) -> ServerAction {
        let Some(attempt) = parse_attempt(call) else {
            return ServerAction::Reply(Reply::bytes(BAD_REQUEST, "a header is missing or wrong"));
        };
        let (state, body) = self.inner.tasks.borrow_mut().stop(task, attempt);
        let end = TaskEnd {
            state,
            body,
            service: Duration::ZERO,
        };
        ServerAction::Reply(self.task_reply(task, OK, end))
    }

    fn task_status(&self, task: TaskId) -> ServerAction {
        let status = self.inner.tasks.borrow().status(task);
        let reply = Reply::bytes(OK, "")
            .header(TASK_HEADER, format_smolstr!("{task}"))
            .header(STATE_HEADER, status.as_str());
        ServerAction::Reply(reply)
    }

    async fn post(&self, task: TaskId, call: Call) -> ServerAction {
        let Some(start) = parse_start(task, &call) else {
            return ServerAction::Reply(Reply::bytes(BAD_REQUEST, "a header is missing or wrong"));
        };
        let mut end = self.run(&start, call.body).await;
        let faults = self.inner.faults.borrow().clone();
        if faults.late_ms > 0 {
            Timer::after(Duration::from_millis(faults.late_ms)).await;
        }
        let mut reported_task = task;
        if faults.wrong_task_id {
            reported_task.index ^= 1;
            end.body = b"another task's result".to_vec();
        }
        let status = status_of(end.state);
        let reply = self.task_reply(reported_task, status, end);
        match faults.close_mid_body {
            true => ServerAction::CutShort(reply),
            false => ServerAction::Reply(reply),
        }
    }

    async fn run(&self, start: &StartRequest, payload: Vec<u8>) -> TaskEnd {
        let lease_expires_at = Instant::now() + start.lease_ms.into();
        if self.inner.faults.borrow().refuse_all {
            return TaskEnd::refused("refuses everything");
        }
        let admission = self.inner.tasks.borrow_mut().admit(
            start.task,
            Attempt {
                starter: start.starter,
                number: start.attempt,
            },
        );
        match admission {
            Admission::Refused => TaskEnd::refused("stopped before, or the queue is full"),
            Admission::SlotGranted => self.execute(start, payload, lease_expires_at).await,
            Admission::Wait(wake_reason) => {
                let lease_expiry = async {
                    Timer::at(lease_expires_at).await;
                    None
                };
                let wake_reason = async { wake_reason.recv().await.ok() }
                    .or(lease_expiry)
                    .await;
                match wake_reason {
                    Some(WakeReason::SlotGranted) => {
                        self.execute(start, payload, lease_expires_at).await
                    }
                    Some(WakeReason::Removed) => TaskEnd::refused("stopped in the queue"),
                    None => {
                        self.inner.tasks.borrow_mut().remove_from_queue(start.task);
                        TaskEnd::refused("its lease lapsed in the queue")
                    }
                }
            }
        }
    }

    /// Runs a task that has a slot until it finishes, is stopped or its lease expires.
    async fn execute(
        &self,
        start: &StartRequest,
        payload: Vec<u8>,
        lease_expires_at: Instant,
    ) -> TaskEnd {
        let text = String::from_utf8_lossy(&payload);
        let record = StartRecord {
            task: start.task,
            starter: start.starter,
            at_ms: now_ms(),
            content: text.chars().take(PAYLOAD_PREFIX_CHARS).collect(),
        };
        if self.inner.options.logs_starts {
            eprintln!(
                "{}",
                serde_json::to_string(&record).expect("a start record serializes to JSON")
            );
        }
        let stop = self.inner.tasks.borrow_mut().start(record);
        let requested = Payload::parse(&payload);
        let started_at = Instant::now();
        let finish = async {
            self.wait_for_service(&requested).await;
            None
        };
        let lease_expiry = async {
            Timer::at(lease_expires_at).await;
            Some(TaskState::Lapsed)
        };
        let stop = async {
            let _ = stop.recv().await;
            Some(TaskState::Stopped)
        };
        let early_end = stop.or(finish).or(lease_expiry).await;
        let fails = requested.fail || self.inner.faults.borrow().fail_all;
        let (state, body) = match early_end {
            Some(state) => (state, Vec::new()),
            None if fails => (TaskState::Failed, b"failed on purpose".to_vec()),
            None => (TaskState::Finished, requested.result(payload)),
        };
        let mut tasks = self.inner.tasks.borrow_mut();
        tasks.end(start.task, state, body.clone());
        TaskEnd {
            state,
            body,
            service: started_at.elapsed(),
        }
    }

    /// Waits for the task's service time, scaled by the executor's speed and the slow-down in
    /// force. Returns immediately while the fault `fail_all` is in force.
    async fn wait_for_service(&self, requested: &Payload) {
        let options = &self.inner.options;
        let (factor, fails_at_once) = {
            let faults = self.inner.faults.borrow();
            (faults.slow_factor / options.speed, faults.fail_all)
        };
        let service_ms = requested.service_ms.unwrap_or(options.service_ms.0);
        if service_ms > 0 && !fails_at_once {
            Timer::after(Duration::from_millis(service_ms).mul_f64(factor)).await;
        }
    }

    fn task_reply(&self, task: TaskId, status: u16, end: TaskEnd) -> Reply {
        let is_draining = self.inner.is_draining.get();
        let load = self.inner.tasks.borrow().load(is_draining);
        let reply = Reply::bytes(status, end.body)
            .header(TASK_HEADER, format_smolstr!("{task}"))
            .header(STATE_HEADER, end.state.as_str())
            .header(
                SERVICE_HEADER,
                format_smolstr!("{}", end.service.as_micros()),
            )
            .header(RUNNING_HEADER, format_smolstr!("{}", load.running))
            .header(QUEUED_HEADER, format_smolstr!("{}", load.queued));
        match is_draining {
            true => reply.header(DRAINING_HEADER, "1"),
            false => reply,
        }
    }
}

/// Parses the task id of a request path; `None` if the path names no task.
fn parse_task_path(path: &str) -> Option<TaskId> {
    path.strip_prefix(TASKS_PATH)?
        .strip_prefix('/')?
        .parse()
        .ok()
}

fn parse_attempt(call: &Call) -> Option<Attempt> {
    Some(Attempt {
        starter: call.header(STARTER_HEADER)?.parse().ok()?,
        number: call.header(ATTEMPT_HEADER)?.parse().ok()?,
    })
}

fn parse_start(task: TaskId, call: &Call) -> Option<StartRequest> {
    let attempt = parse_attempt(call)?;
    Some(StartRequest {
        task,
        lease_ms: Millis(call.header(LEASE_HEADER)?.parse().ok()?),
        class: call.header(CLASS_HEADER)?.into(),
        starter: attempt.starter,
        attempt: attempt.number,
    })
}

/// Returns the HTTP status for the state of an ended task. Entry hosts read the state header, not
/// this status.
fn status_of(state: TaskState) -> u16 {
    match state {
        TaskState::Finished => OK,
        TaskState::Failed => 500,
        TaskState::Refused => 429,
        TaskState::Stopped => 409,
        TaskState::Lapsed => 408,
    }
}
