//! Answers an executor's calls.

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
use crate::serve::{Act, Handler, no_such_path, read_json};

use super::options::{Payload, UpstreamFaults, UpstreamOptions};
use super::tasks::{Arrival, Attempt, StartRecord, TaskBook, Wake};

/// Characters of a payload that a start's record keeps.
const CONTENT_CHARS: usize = 64;

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;

/// The stand-in.
#[derive(Clone)]
pub struct Executor {
    inner: Rc<Inner>,
}

struct Inner {
    options: UpstreamOptions,
    tasks: RefCell<TaskBook>,
    faults: RefCell<UpstreamFaults>,
    is_draining: Cell<bool>,
    usage: RefCell<(Instant, Usage)>,
}

/// How a task ended and what it brought.
struct End {
    state: TaskState,
    body: Vec<u8>,
    service: Duration,
}

impl End {
    fn unstarted(why: &str) -> Self {
        End {
            state: TaskState::Refused,
            body: why.into(),
            service: Duration::ZERO,
        }
    }
}

impl Executor {
    /// Makes an idle executor.
    pub fn new(options: UpstreamOptions) -> Self {
        let tasks = TaskBook::new(options.slots, options.queue_max);
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

    /// Gets what answers requests.
    pub fn handler(&self) -> Handler {
        let executor = self.clone();
        Rc::new(move |call| {
            let executor = executor.clone();
            Box::pin(async move { executor.answer(call).await })
        })
    }

    /// Takes the usage report anew each time its lag has passed, until dropped.
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

    async fn answer(&self, call: Call) -> Act {
        if call.path().starts_with("/control/") {
            return self.control(&call);
        }
        let act = match (call.method(), task_of(call.path())) {
            (Method::Get, None) if call.path() == USAGE_PATH => self.usage(),
            (Method::Post, Some(task)) => self.post(task, call).await,
            (Method::Delete, Some(task)) => self.delete(task, &call),
            (Method::Get, Some(task)) => self.sight(task),
            _ => no_such_path(),
        };
        let is_silent = self.inner.faults.borrow().silent;
        match is_silent {
            true => future::pending().await,
            false => act,
        }
    }

    fn control(&self, call: &Call) -> Act {
        match (call.method(), call.path()) {
            (Method::Get, "/control/starts") => {
                Act::Reply(Reply::json(OK, &self.inner.tasks.borrow().starts()))
            }
            (Method::Get, "/control/load") => {
                let load = self.inner.tasks.borrow().load(self.inner.is_draining.get());
                Act::Reply(Reply::json(OK, &load))
            }
            (Method::Post, "/control/drain") => {
                self.inner.is_draining.set(true);
                Act::Reply(Reply::bytes(OK, ""))
            }
            (Method::Post, "/control/faults") => match read_json(&call.body) {
                Ok(faults) => {
                    self.inner.faults.replace(faults);
                    Act::Reply(Reply::bytes(OK, ""))
                }
                Err(act) => act,
            },
            _ => no_such_path(),
        }
    }

    fn usage(&self) -> Act {
        let (taken_at, mut usage) = self.inner.usage.borrow().clone();
        let age_ms = u64::try_from(taken_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        usage.age_ms = Millis(age_ms);
        Act::Reply(Reply::json(OK, &usage))
    }

    fn delete(&self, task: TaskId, call: &Call) -> Act {
        let Some(by) = read_attempt(call) else {
            return Act::Reply(Reply::bytes(BAD_REQUEST, "a header is missing or wrong"));
        };
        let (state, body) = self.inner.tasks.borrow_mut().stop(task, by);
        let end = End {
            state,
            body,
            service: Duration::ZERO,
        };
        Act::Reply(self.report(task, OK, end))
    }

    fn sight(&self, task: TaskId) -> Act {
        let sighting = self.inner.tasks.borrow().sight(task);
        let reply = Reply::bytes(OK, "")
            .header(TASK_HEADER, format_smolstr!("{task}"))
            .header(STATE_HEADER, sighting.as_str());
        Act::Reply(reply)
    }

    async fn post(&self, task: TaskId, call: Call) -> Act {
        let Some(start) = read_start(task, &call) else {
            return Act::Reply(Reply::bytes(BAD_REQUEST, "a header is missing or wrong"));
        };
        let mut end = self.run(&start, call.body).await;
        let faults = self.inner.faults.borrow().clone();
        if faults.late_ms > 0 {
            Timer::after(Duration::from_millis(faults.late_ms)).await;
        }
        let mut named = task;
        if faults.wrong_task_id {
            named.index ^= 1;
            end.body = b"another task's result".to_vec();
        }
        let status = status_of(end.state);
        let reply = self.report(named, status, end);
        match faults.close_mid_body {
            true => Act::CutShort(reply),
            false => Act::Reply(reply),
        }
    }

    async fn run(&self, start: &StartRequest, payload: Vec<u8>) -> End {
        let lapses_at = Instant::now() + start.lease_ms.into();
        if self.inner.faults.borrow().refuse_all {
            return End::unstarted("refuses everything");
        }
        let arrival = self.inner.tasks.borrow_mut().arrive(
            start.task,
            Attempt {
                starter: start.starter,
                number: start.attempt,
            },
        );
        match arrival {
            Arrival::Refused => End::unstarted("stopped before, or the queue is full"),
            Arrival::Run => self.work(start, payload, lapses_at).await,
            Arrival::Wait(woken) => {
                let lapse = async {
                    Timer::at(lapses_at).await;
                    None
                };
                let woken = async { woken.recv().await.ok() }.or(lapse).await;
                match woken {
                    Some(Wake::Run) => self.work(start, payload, lapses_at).await,
                    Some(Wake::Removed) => End::unstarted("stopped in the queue"),
                    None => {
                        self.inner.tasks.borrow_mut().leave_queue(start.task);
                        End::unstarted("its lease lapsed in the queue")
                    }
                }
            }
        }
    }

    /// Runs a task that has a slot.
    async fn work(&self, start: &StartRequest, payload: Vec<u8>, lapses_at: Instant) -> End {
        let text = String::from_utf8_lossy(&payload);
        let record = StartRecord {
            task: start.task,
            starter: start.starter,
            at_ms: now_ms(),
            content: text.chars().take(CONTENT_CHARS).collect(),
        };
        if self.inner.options.logs_starts {
            eprintln!(
                "{}",
                serde_json::to_string(&record).expect("a record is plain JSON")
            );
        }
        let stop = self.inner.tasks.borrow_mut().start(record);
        let asked = Payload::read(&payload);
        let began = Instant::now();
        let finish = async {
            self.serve_for(&asked).await;
            None
        };
        let lapse = async {
            Timer::at(lapses_at).await;
            Some(TaskState::Lapsed)
        };
        let stop = async {
            let _ = stop.recv().await;
            Some(TaskState::Stopped)
        };
        let broken_off = stop.or(finish).or(lapse).await;
        let fails = asked.fail || self.inner.faults.borrow().fail_all;
        let (state, body) = match broken_off {
            Some(state) => (state, Vec::new()),
            None if fails => (TaskState::Failed, b"failed on purpose".to_vec()),
            None => (TaskState::Finished, asked.result(payload)),
        };
        let mut tasks = self.inner.tasks.borrow_mut();
        tasks.end(start.task, state, body.clone());
        End {
            state,
            body,
            service: began.elapsed(),
        }
    }

    /// Waits for as long as the task's service takes here and now.
    async fn serve_for(&self, asked: &Payload) {
        let options = &self.inner.options;
        let (factor, fails_at_once) = {
            let faults = self.inner.faults.borrow();
            (faults.slow_factor / options.speed, faults.fail_all)
        };
        let service_ms = asked.service_ms.unwrap_or(options.service_ms.0);
        if service_ms > 0 && !fails_at_once {
            Timer::after(Duration::from_millis(service_ms).mul_f64(factor)).await;
        }
    }

    fn report(&self, task: TaskId, status: u16, end: End) -> Reply {
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

/// Reads the task's id from a path.
fn task_of(path: &str) -> Option<TaskId> {
    path.strip_prefix(TASKS_PATH)?
        .strip_prefix('/')?
        .parse()
        .ok()
}

fn read_attempt(call: &Call) -> Option<Attempt> {
    Some(Attempt {
        starter: call.header(STARTER_HEADER)?.parse().ok()?,
        number: call.header(ATTEMPT_HEADER)?.parse().ok()?,
    })
}

fn read_start(task: TaskId, call: &Call) -> Option<StartRequest> {
    let by = read_attempt(call)?;
    Some(StartRequest {
        task,
        lease_ms: Millis(call.header(LEASE_HEADER)?.parse().ok()?),
        class: call.header(CLASS_HEADER)?.into(),
        starter: by.starter,
        attempt: by.number,
    })
}

/// Gets the HTTP status that goes with a task's end; the state header is what counts.
fn status_of(state: TaskState) -> u16 {
    match state {
        TaskState::Finished => OK,
        TaskState::Failed => 500,
        TaskState::Refused => 429,
        TaskState::Stopped => 409,
        TaskState::Lapsed => 408,
    }
}
