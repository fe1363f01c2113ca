//! One executor of the users' platform: registers in the store, handles the orders of the pool's owner, and
//! runs tasks that do nothing but take time.
//!
//! A task's spec is a text of the form `MS` or `MS fail`: the time that it takes at speed 1, and whether it
//! fails. Every start and end of a run is recorded; tests read the records from `/control/runs`.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_types::Method;
use onyxshed_core::{Micros, Millis, Mono, UnixMs};
use onyxshed_http::client::call_once;
use onyxshed_http::{Call, Reply};
use onyxshed_kernel::Notifier;
use onyxshed_pool::{
    ExecutorReport, FencingToken, FinishedRun, HoldOrder, RefuseReason, Resources, RunEnd,
    RunNumber, StartAnswer, StartOrder, StopAnswer, StopOrder, TaskId,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};

use super::executor_model::ExecutorModel;
use crate::platform::service::now_ms;
use crate::serve::{Handler, ServerAction, no_such_path, read_json};

const OK: u16 = 200;
const CONFLICT: u16 = 409;
const MISDIRECTED: u16 = 421;

/// The interval between two writes of the executor's entry in the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout of the request that writes an entry.
const PUT_TIMEOUT: Duration = Duration::from_millis(400);

/// The interval at which the executor checks whether the lease that the orders of the pool's owner
/// renew has expired.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The longest time until a run in progress detects that the executor's speed has changed.
const SPEED_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The parsed spec of a task.
#[derive(Debug, Clone, Copy)]
struct TaskSpec {
    /// The time that the task needs at speed 1.
    work: Micros,
    /// Whether the task fails at its end.
    fails: bool,
}

impl TaskSpec {
    fn parse(spec: &str) -> Self {
        let mut words = spec.split(' ');
        let ms: u64 = words.next().and_then(|text| text.parse().ok()).unwrap_or(1);
        TaskSpec {
            work: Micros(ms * 1_000),
            fails: words.next() == Some("fail"),
        }
    }
}

/// The identity, capacity and clock of an executor.
#[derive(Debug, Clone)]
pub struct FleetExecutorOptions {
    /// The id of the executor in the store.
    pub id: SmolStr,
    /// The upstream that the executor belongs to.
    pub upstream: SmolStr,
    /// The availability zone of the executor.
    pub zone: SmolStr,
    /// The CPU capacity in thousandths of a core.
    pub cpu_millis: u32,
    /// The number of tasks that can run at the same time; each occupies an equal part of the CPU.
    pub places: u32,
    /// The speed, by which the times in the specs of tasks are divided.
    pub speed: f64,
    /// The time by which the clock is ahead of the true time, in milliseconds.
    pub clock_ahead_ms: u64,
    /// The part of the elapsed time by which the clock is slow, in thousandths.
    pub clock_slow_millis: u64,
    /// The address of the store.
    pub store: SocketAddr,
    /// The address that the executor registers; the one that it listens on if not set.
    pub advertised: Option<SocketAddr>,
}

/// The record of the start or the end of a run, for tests.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRecord {
    /// The text form of the task's id.
    pub task: SmolStr,
    /// The number of the run among those of the task.
    pub run: u32,
    /// The fencing token of the owner that ordered the run.
    pub token: u64,
    /// The time of the event by the wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The event: `start`, `done`, `failed`, `stopped`, or `lapsed` for a run that ended with its lease.
    #[serde(rename = "what")]
    pub event: SmolStr,
}

#[derive(Deserialize)]
struct StartBody {
    task_id: SmolStr,
    run_id: u32,
    spec: SmolStr,
    expires_ms: u64,
    #[serde(default)]
    fencing_token: u64,
}

#[derive(Deserialize)]
struct StopBody {
    task_id: SmolStr,
    run_id: u32,
    #[serde(default)]
    fencing_token: u64,
}

#[derive(Deserialize)]
struct HoldBody {
    #[serde(default)]
    expires_ms: Option<u64>,
    #[serde(default)]
    fencing_token: u64,
    #[serde(default)]
    last_seen: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// The stand-in of an executor; clones share its state.
#[derive(Clone)]
pub struct FleetExecutor {
    inner: Rc<Inner>,
}

struct Inner {
    options: FleetExecutorOptions,
    executor: Rc<LocalExecutor<'static>>,
    started_at: Instant,
    model: RefCell<ExecutorModel>,
    records: RefCell<Vec<RunRecord>>,
    run_ended: Notifier,
}

/// Returns the resources that each task occupies: an equal part of the executor's CPU for each of its places.
fn demand(options: &FleetExecutorOptions) -> Resources {
    Resources {
        cpu_millis: options.cpu_millis / options.places.max(1),
        memory_mb: 1,
        accelerators: 0,
    }
}

impl FleetExecutor {
    /// Creates an idle executor whose incarnation starts at the present time.
    pub fn new(options: FleetExecutorOptions, executor: Rc<LocalExecutor<'static>>) -> Self {
        let capacity = Resources {
            cpu_millis: options.cpu_millis,
            memory_mb: 1_000_000,
            accelerators: 0,
        };
        let mut model = ExecutorModel::new(
            capacity,
            options.speed,
            options.clock_ahead_ms,
            options.clock_slow_millis,
        );
        model.started_at_ms = now_ms().0;
        FleetExecutor {
            inner: Rc::new(Inner {
                options,
                executor,
                started_at: Instant::now(),
                model: RefCell::new(model),
                records: RefCell::default(),
                run_ended: Notifier::default(),
            }),
        }
    }

    /// Returns the HTTP handler of the owner's orders and of the commands under `/control/`.
    pub fn handler(&self) -> Handler {
        let executor = self.clone();
        Rc::new(move |call| {
            let executor = executor.clone();
            Box::pin(async move { executor.handle(call).await })
        })
    }

    fn now(&self) -> Mono {
        let us = self.inner.started_at.elapsed().as_micros();
        Mono(u64::try_from(us).unwrap_or(u64::MAX))
    }

    /// Writes the executor's entry to the store every 500 ms until the future is dropped.
    pub async fn register(self, address: SocketAddr) {
        let options = &self.inner.options;
        let address = options.advertised.unwrap_or(address);
        let path = format_smolstr!("control/put?topic=keyed.servers&key={}", options.id);
        let mut seq = 0;
        loop {
            seq += 1;
            let entry = json!({
                "service": options.upstream, "address": address, "zone": options.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "capacity": {"cpu": options.cpu_millis, "mem_mb": 1_000_000, "gpus": 0},
                "labels": ["a", "r1-1"], "seq": seq, "born": self.inner.model.borrow().started_at_ms,
            });
            let body = entry.to_string().into_bytes();
            // A failed write is ignored: the next one replaces it.
            let _ = call_once(options.store, Method::Post, &path, body, PUT_TIMEOUT).await;
            Timer::after(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Checks the lease every 10 ms until the future is dropped, and stops all runs when it has
    /// expired.
    pub async fn watch_leases(self) {
        loop {
            Timer::after(LEASE_CHECK_INTERVAL).await;
            self.stop_expired_runs();
        }
    }

    /// Stops all runs if the lease has expired, and records the end of the lease as the time of their ends: a
    /// process that was frozen past that time did no work since, and detects the expiry only now.
    fn stop_expired_runs(&self) {
        let now = self.now();
        let (expired_tasks, late_ms): (Vec<TaskId>, u64) = {
            let model = self.inner.model.borrow();
            if !model.is_lease_expired(now) {
                return;
            }
            let late_ms = now.since(model.lease_expires_at()).as_millis();
            (model.runs.keys().copied().collect(), late_ms.0)
        };
        for task in expired_tasks {
            self.end_run_at(task, RunEnd::Stopped, "lapsed", now_ms().0 - late_ms);
        }
    }

    async fn handle(&self, call: Call) -> ServerAction {
        if call.path() == "/control/runs" {
            return ServerAction::Reply(Reply::json(OK, &*self.inner.records.borrow()));
        }
        let target = call.header("x-onyxshed-target-instance");
        if target.is_some_and(|target| target != self.inner.options.id) {
            return ServerAction::Reply(Reply::json(MISDIRECTED, &json!({})));
        }
        match (call.method(), call.path()) {
            (Method::Post, "/run-start") => self.start(&call),
            (Method::Post, "/run-stop") => self.stop(&call),
            (Method::Post, "/hold") => self.hold(&call).await,
            (Method::Post, "/control/speed") => self.set_speed(&call),
            _ => no_such_path(),
        }
    }

    fn record_event(&self, task: TaskId, run: (RunNumber, FencingToken), event: &str) {
        self.record_event_at(task, run, event, now_ms().0);
    }

    /// Records an event of a run, which its number and the token of the order that started it identify.
    fn record_event_at(
        &self,
        task: TaskId,
        (run, token): (RunNumber, FencingToken),
        event: &str,
        at_ms: u64,
    ) {
        self.inner.records.borrow_mut().push(RunRecord {
            task: format_smolstr!("{task}"),
            run: run.0,
            token: token.0,
            at_ms,
            event: event.into(),
        });
    }

    /// Returns the number of the run in progress of a task, and the token of the order that started it.
    fn run_of(&self, task: TaskId) -> Option<(RunNumber, FencingToken)> {
        let model = self.inner.model.borrow();
        let run = model.runs.get(&task)?;
        Some((run.number, run.token))
    }

    fn clock_ms(&self) -> u64 {
        self.inner.model.borrow().clock_ms(self.now())
    }

    fn refuse(&self, reason: &str) -> ServerAction {
        let reply = json!({ "clock_ms": self.clock_ms(), "reason": reason });
        ServerAction::Reply(Reply::json(CONFLICT, &reply))
    }

    fn accept(&self) -> ServerAction {
        ServerAction::Reply(Reply::json(OK, &json!({ "clock_ms": self.clock_ms() })))
    }

    fn start(&self, call: &Call) -> ServerAction {
        let order: StartBody = match read_json(&call.body) {
            Ok(order) => order,
            Err(action) => return action,
        };
        let Some(task) = parse_task(&order.task_id) else {
            return ServerAction::Reply(Reply::bytes(400, "no such task"));
        };
        self.stop_expired_runs();
        let start = StartOrder {
            task,
            run: RunNumber(order.run_id),
            spec: order.spec.clone(),
            expires: UnixMs(order.expires_ms),
            token: FencingToken(order.fencing_token),
        };
        let now = self.now();
        let demand = demand(&self.inner.options);
        let spec = TaskSpec::parse(&order.spec);
        let (answer, is_new) = self
            .inner
            .model
            .borrow_mut()
            .start(now, &start, demand, spec.work);
        if is_new {
            self.record_event(task, (start.run, start.token), "start");
            let work = self.clone().execute(task, start.run, spec);
            self.inner.executor.spawn(work).detach();
        }
        match answer {
            StartAnswer::Started { .. } => self.accept(),
            StartAnswer::Refused(RefuseReason::Fenced) => self.refuse("fence"),
            StartAnswer::Refused(RefuseReason::Ended) => self.refuse("old"),
            StartAnswer::Refused(RefuseReason::Expired) => self.refuse("late"),
            _ => self.refuse("room"),
        }
    }

    async fn execute(self, task: TaskId, run: RunNumber, spec: TaskSpec) {
        while let Some(remaining) = self.remaining_time(task, run) {
            Timer::after(remaining.min(SPEED_CHECK_INTERVAL)).await;
        }
        self.stop_expired_runs();
        let is_running = {
            let model = self.inner.model.borrow();
            model
                .runs
                .get(&task)
                .is_some_and(|run_in_progress| run_in_progress.number == run)
        };
        if is_running {
            match spec.fails {
                true => self.end_run(task, RunEnd::Failed, "failed"),
                false => self.end_run(task, RunEnd::Done, "done"),
            }
        }
    }

    /// Returns the time that a run still needs at the present speed; `None` if its work is done or
    /// it is no longer in progress.
    fn remaining_time(&self, task: TaskId, run: RunNumber) -> Option<Duration> {
        let model = self.inner.model.borrow();
        let is_running = model
            .runs
            .get(&task)
            .is_some_and(|run_in_progress| run_in_progress.number == run);
        let remaining = model.ends_at(task)?.since(self.now());
        (is_running && remaining.0 > 0).then(|| Duration::from_micros(remaining.0))
    }

    /// Sets the speed that the body of the call contains, also for runs in progress.
    fn set_speed(&self, call: &Call) -> ServerAction {
        match read_json::<f64>(&call.body) {
            Ok(speed) if speed > 0.0 => {
                self.inner.model.borrow_mut().set_speed(self.now(), speed);
                self.accept()
            }
            Ok(_) => ServerAction::Reply(Reply::bytes(400, "a speed is above zero")),
            Err(action) => action,
        }
    }

    fn end_run(&self, task: TaskId, end: RunEnd, event: &str) {
        self.end_run_at(task, end, event, now_ms().0);
    }

    fn end_run_at(&self, task: TaskId, end: RunEnd, event: &str, at_ms: u64) {
        let run = self.run_of(task);
        self.inner.model.borrow_mut().end(task, end);
        if let Some(run) = run {
            self.record_event_at(task, run, event, at_ms);
        }
        self.inner.run_ended.notify();
    }

    fn stop(&self, call: &Call) -> ServerAction {
        let order: StopBody = match read_json(&call.body) {
            Ok(order) => order,
            Err(action) => return action,
        };
        let Some(task) = parse_task(&order.task_id) else {
            return ServerAction::Reply(Reply::bytes(400, "no such task"));
        };
        let stop = StopOrder {
            task,
            run: RunNumber(order.run_id),
            token: FencingToken(order.fencing_token),
        };
        self.stop_expired_runs();
        let was_running = self.run_of(task);
        match self.inner.model.borrow_mut().stop(&stop) {
            StopAnswer::Fenced => return self.refuse("fence"),
            StopAnswer::Accepted | StopAnswer::OtherIncarnation | StopAnswer::Unknown => {}
        }
        if let Some(run) = was_running
            && self.run_of(task).is_none()
        {
            self.record_event(task, run, "stopped");
            self.inner.run_ended.notify();
        }
        self.accept()
    }

    async fn hold(&self, call: &Call) -> ServerAction {
        let order: HoldBody = match read_json(&call.body) {
            Ok(order) => order,
            Err(action) => return action,
        };
        let hold = HoldOrder {
            expires: order.expires_ms.map(UnixMs),
            token: FencingToken(order.fencing_token),
            last_seen: order.last_seen,
            wait: Millis(order.wait_ms),
            answer_within: Millis(0),
        };
        self.stop_expired_runs();
        let now = self.now();
        let result = self.inner.model.borrow_mut().hold(now, &hold);
        if result.is_err() {
            return self.refuse("fence");
        }
        let deadline = Instant::now() + Duration::from_millis(order.wait_ms);
        while !self.inner.model.borrow().has_ends() && Instant::now() < deadline {
            let subscription = self.inner.run_ended.subscribe();
            let timeout = async {
                Timer::at(deadline).await;
            };
            subscription.wait().or(timeout).await;
        }
        self.report()
    }

    fn report(&self) -> ServerAction {
        let report = self.inner.model.borrow().report(self.now());
        let ExecutorReport::Lists(lists) = report else {
            return no_such_path();
        };
        let running: Vec<Value> = lists
            .running
            .iter()
            .map(|row| json!([task_name(row.task), row.run.0, "", 100, 1]))
            .collect();
        let finished: Vec<Value> = lists.finished.iter().map(end_row).collect();
        let reply = json!({
            "clock_ms": lists.clock.0, "born": lists.started_at.map(|at| at.0),
            "running": running, "finished": finished,
        });
        ServerAction::Reply(Reply::json(OK, &reply))
    }
}

fn end_row(end: &FinishedRun) -> Value {
    let outcome = match end.end {
        RunEnd::Done => "done",
        RunEnd::Failed => "failed",
        RunEnd::Stopped => "stopped",
    };
    json!([end.number, task_name(end.task), end.run.0, outcome, ""])
}

fn task_name(task: TaskId) -> SmolStr {
    format_smolstr!("{}.0.0.{}", task.job, task.index)
}

fn parse_task(name: &str) -> Option<TaskId> {
    let mut parts = name.split('.');
    let job = parts.next()?.parse().ok()?;
    let index = parts.nth(2)?.parse().ok()?;
    Some(TaskId { job, index })
}
