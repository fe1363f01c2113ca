//! One executor: enters itself in the store, takes orders, and runs tasks by the clock.
//!
//! A task's spec is a text of the form `MS` or `MS fail`: how long an ordinary executor takes, and
//! whether it fails. Every start is recorded, and may be read by a test.

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

use super::run_book::RunBook;
use crate::platform::service::now_ms;
use crate::serve::{Act, Handler, no_such_path, read_json};

const OK: u16 = 200;
const REFUSED: u16 = 409;
const OTHER_LIFE: u16 = 421;

/// Time between two entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// How long the store may take for one.
const PUT_TIMEOUT: Duration = Duration::from_millis(400);

/// How often leases are looked at.
const LEASE_TICK: Duration = Duration::from_millis(10);

/// How often a run looks whether its executor's speed has changed.
const SPEED_TICK: Duration = Duration::from_millis(100);

/// What a task's spec says.
#[derive(Debug, Clone, Copy)]
struct TaskSpec {
    /// How long it takes on an ordinary executor.
    work: Micros,
    /// Whether it ends failed.
    fails: bool,
}

impl TaskSpec {
    fn read(spec: &str) -> Self {
        let mut words = spec.split(' ');
        let ms: u64 = words.next().and_then(|text| text.parse().ok()).unwrap_or(1);
        TaskSpec {
            work: Micros(ms * 1_000),
            fails: words.next() == Some("fail"),
        }
    }
}

/// Who the executor is.
#[derive(Debug, Clone)]
pub struct FleetExecutorOptions {
    /// Its id in the store.
    pub id: SmolStr,
    /// The upstream that it belongs to.
    pub upstream: SmolStr,
    /// Its zone.
    pub zone: SmolStr,
    /// Thousandths of a core.
    pub cpu_millis: u32,
    /// How many times faster than an ordinary executor it is.
    pub speed: f64,
    /// How far its clock is ahead, in milliseconds.
    pub clock_ahead_ms: u64,
    /// By how many thousandths its clock is slow.
    pub clock_slow_millis: u64,
    /// The store.
    pub store: SocketAddr,
    /// Where hosts reach it, if not where it listens.
    pub advertised: Option<SocketAddr>,
}

/// A start or an end, as a test reads it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRecord {
    /// The task's name.
    pub task: SmolStr,
    /// Which run.
    pub run: u32,
    /// When, by the executor's time of day, in milliseconds.
    pub at_ms: u64,
    /// Whether it began or how it ended.
    pub what: SmolStr,
}

#[derive(Deserialize)]
struct Start {
    task_id: SmolStr,
    run_id: u32,
    spec: SmolStr,
    expires_ms: u64,
    #[serde(default)]
    fencing_token: u64,
}

#[derive(Deserialize)]
struct Stop {
    task_id: SmolStr,
    run_id: u32,
    #[serde(default)]
    fencing_token: u64,
}

#[derive(Deserialize)]
struct Hold {
    #[serde(default)]
    expires_ms: Option<u64>,
    #[serde(default)]
    fencing_token: u64,
    #[serde(default)]
    last_seen: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// The executor.
#[derive(Clone)]
pub struct FleetExecutor {
    inner: Rc<Inner>,
}

struct Inner {
    options: FleetExecutorOptions,
    executor: Rc<LocalExecutor<'static>>,
    born: Instant,
    book: RefCell<RunBook>,
    records: RefCell<Vec<RunRecord>>,
    ended: Notifier,
}

/// What each task takes: half of the smallest executor, so that two fit.
fn demand(capacity_cpu_millis: u32) -> Resources {
    Resources {
        cpu_millis: capacity_cpu_millis / 2,
        memory_mb: 1,
        accelerators: 0,
    }
}

impl FleetExecutor {
    /// Makes an idle executor.
    pub fn new(options: FleetExecutorOptions, executor: Rc<LocalExecutor<'static>>) -> Self {
        let capacity = Resources {
            cpu_millis: options.cpu_millis,
            memory_mb: 1_000_000,
            accelerators: 0,
        };
        let mut book = RunBook::new(
            capacity,
            options.speed,
            options.clock_ahead_ms,
            options.clock_slow_millis,
        );
        book.born = now_ms().0;
        FleetExecutor {
            inner: Rc::new(Inner {
                options,
                executor,
                born: Instant::now(),
                book: RefCell::new(book),
                records: RefCell::default(),
                ended: Notifier::default(),
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

    fn now(&self) -> Mono {
        let us = self.inner.born.elapsed().as_micros();
        Mono(u64::try_from(us).unwrap_or(u64::MAX))
    }

    /// Enters itself in the store until dropped.
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
                "labels": ["a", "r1-1"], "seq": seq, "born": self.inner.book.borrow().born,
            });
            let body = entry.to_string().into_bytes();
            // A heartbeat that is lost is made up for by the next one.
            let _ = call_once(options.store, Method::Post, &path, body, PUT_TIMEOUT).await;
            Timer::after(HEARTBEAT).await;
        }
    }

    /// Ends runs whose lease is over, until dropped.
    pub async fn watch_leases(self) {
        loop {
            Timer::after(LEASE_TICK).await;
            self.end_lapsed();
        }
    }

    /// Ends runs whose lease is over, as of the lease's end: a process that stood still did no
    /// work since, and notices only now.
    fn end_lapsed(&self) {
        let now = self.now();
        let (lapsed, late): (Vec<TaskId>, u64) = {
            let book = self.inner.book.borrow();
            if !book.is_lapsed(now) {
                return;
            }
            let late = now.since(book.lapses_at()).as_millis();
            (book.runs.keys().copied().collect(), late.0)
        };
        for task in lapsed {
            self.end_at(task, RunEnd::Stopped, "lapsed", now_ms().0 - late);
        }
    }

    async fn answer(&self, call: Call) -> Act {
        if call.path() == "/control/runs" {
            return Act::Reply(Reply::json(OK, &*self.inner.records.borrow()));
        }
        let target = call.header("x-onyxshed-target-instance");
        if target.is_some_and(|target| target != self.inner.options.id) {
            return Act::Reply(Reply::json(OTHER_LIFE, &json!({})));
        }
        match (call.method(), call.path()) {
            (Method::Post, "/run-start") => self.start(&call),
            (Method::Post, "/run-stop") => self.stop(&call),
            (Method::Post, "/hold") => self.hold(&call).await,
            (Method::Post, "/control/speed") => self.set_speed(&call),
            _ => no_such_path(),
        }
    }

    fn record(&self, task: TaskId, run: RunNumber, what: &str) {
        self.record_at(task, run, what, now_ms().0);
    }

    fn record_at(&self, task: TaskId, run: RunNumber, what: &str, at_ms: u64) {
        self.inner.records.borrow_mut().push(RunRecord {
            task: format_smolstr!("{task}"),
            run: run.0,
            at_ms,
            what: what.into(),
        });
    }

    fn clock_ms(&self) -> u64 {
        self.inner.book.borrow().clock_ms(self.now())
    }

    fn refuse(&self, reason: &str) -> Act {
        let told = json!({ "clock_ms": self.clock_ms(), "reason": reason });
        Act::Reply(Reply::json(REFUSED, &told))
    }

    fn done(&self) -> Act {
        Act::Reply(Reply::json(OK, &json!({ "clock_ms": self.clock_ms() })))
    }

    fn start(&self, call: &Call) -> Act {
        let order: Start = match read_json(&call.body) {
            Ok(order) => order,
            Err(act) => return act,
        };
        let Some(task) = read_task(&order.task_id) else {
            return Act::Reply(Reply::bytes(400, "no such task"));
        };
        self.end_lapsed();
        let start = StartOrder {
            task,
            run: RunNumber(order.run_id),
            spec: order.spec.clone(),
            expires: UnixMs(order.expires_ms),
            token: FencingToken(order.fencing_token),
        };
        let now = self.now();
        let demand = demand(self.inner.options.cpu_millis);
        let spec = TaskSpec::read(&order.spec);
        let (answer, is_new) = self
            .inner
            .book
            .borrow_mut()
            .start(now, &start, demand, spec.work);
        if is_new {
            self.record(task, start.run, "start");
            let work = self.clone().work(task, start.run, spec);
            self.inner.executor.spawn(work).detach();
        }
        match answer {
            StartAnswer::Started { .. } => self.done(),
            StartAnswer::Refused(RefuseReason::Fenced) => self.refuse("fence"),
            StartAnswer::Refused(RefuseReason::Ended) => self.refuse("old"),
            StartAnswer::Refused(RefuseReason::Expired) => self.refuse("late"),
            _ => self.refuse("room"),
        }
    }

    async fn work(self, task: TaskId, run: RunNumber, spec: TaskSpec) {
        while let Some(left) = self.left_of(task, run) {
            Timer::after(left.min(SPEED_TICK)).await;
        }
        self.end_lapsed();
        let is_there = {
            let book = self.inner.book.borrow();
            book.runs.get(&task).is_some_and(|held| held.number == run)
        };
        if is_there {
            match spec.fails {
                true => self.end(task, RunEnd::Failed, "failed"),
                false => self.end(task, RunEnd::Done, "done"),
            }
        }
    }

    /// Gets how long a run still takes at the present speed; none if it is over or gone.
    fn left_of(&self, task: TaskId, run: RunNumber) -> Option<Duration> {
        let book = self.inner.book.borrow();
        let is_there = book.runs.get(&task).is_some_and(|held| held.number == run);
        let left = book.ends_at(task)?.since(self.now());
        (is_there && left.0 > 0).then(|| Duration::from_micros(left.0))
    }

    /// Takes a new speed, also for what runs.
    fn set_speed(&self, call: &Call) -> Act {
        match read_json::<f64>(&call.body) {
            Ok(speed) if speed > 0.0 => {
                self.inner.book.borrow_mut().set_speed(self.now(), speed);
                self.done()
            }
            Ok(_) => Act::Reply(Reply::bytes(400, "a speed is above zero")),
            Err(act) => act,
        }
    }

    fn end(&self, task: TaskId, end: RunEnd, what: &str) {
        self.end_at(task, end, what, now_ms().0);
    }

    fn end_at(&self, task: TaskId, end: RunEnd, what: &str, at_ms: u64) {
        let mut book = self.inner.book.borrow_mut();
        let number = book.runs.get(&task).map(|run| run.number);
        book.end(task, end);
        drop(book);
        if let Some(number) = number {
            self.record_at(task, number, what, at_ms);
        }
        self.inner.ended.notify();
    }

    fn stop(&self, call: &Call) -> Act {
        let order: Stop = match read_json(&call.body) {
            Ok(order) => order,
            Err(act) => return act,
        };
        let Some(task) = read_task(&order.task_id) else {
            return Act::Reply(Reply::bytes(400, "no such task"));
        };
        let stop = StopOrder {
            task,
            run: RunNumber(order.run_id),
            token: FencingToken(order.fencing_token),
        };
        self.end_lapsed();
        let was_there = self.inner.book.borrow().runs.contains_key(&task);
        match self.inner.book.borrow_mut().stop(&stop) {
            StopAnswer::Fenced => return self.refuse("fence"),
            StopAnswer::Accepted | StopAnswer::OtherIncarnation | StopAnswer::Unknown => {}
        }
        if was_there && !self.inner.book.borrow().runs.contains_key(&task) {
            self.record(task, stop.run, "stopped");
            self.inner.ended.notify();
        }
        self.done()
    }

    async fn hold(&self, call: &Call) -> Act {
        let order: Hold = match read_json(&call.body) {
            Ok(order) => order,
            Err(act) => return act,
        };
        let hold = HoldOrder {
            expires: order.expires_ms.map(UnixMs),
            token: FencingToken(order.fencing_token),
            last_seen: order.last_seen,
            wait: Millis(order.wait_ms),
            answer_within: Millis(0),
        };
        self.end_lapsed();
        let now = self.now();
        let taken = self.inner.book.borrow_mut().hold(now, &hold);
        if taken.is_err() {
            return self.refuse("fence");
        }
        let deadline = Instant::now() + Duration::from_millis(order.wait_ms);
        while !self.inner.book.borrow().has_ends() && Instant::now() < deadline {
            let waiting = self.inner.ended.subscribe();
            let over = async {
                Timer::at(deadline).await;
            };
            waiting.wait().or(over).await;
        }
        self.report()
    }

    fn report(&self) -> Act {
        let report = self.inner.book.borrow().report(self.now());
        let ExecutorReport::Lists(lists) = report else {
            return no_such_path();
        };
        let running: Vec<Value> = lists
            .running
            .iter()
            .map(|row| json!([task_name(row.task), row.run.0, "", 100, 1]))
            .collect();
        let finished: Vec<Value> = lists.finished.iter().map(end_row).collect();
        let told = json!({
            "clock_ms": lists.clock.0, "born": lists.started_at.map(|at| at.0),
            "running": running, "finished": finished,
        });
        Act::Reply(Reply::json(OK, &told))
    }
}

fn end_row(end: &FinishedRun) -> Value {
    let how = match end.end {
        RunEnd::Done => "done",
        RunEnd::Failed => "failed",
        RunEnd::Stopped => "stopped",
    };
    json!([end.number, task_name(end.task), end.run.0, how, ""])
}

fn task_name(task: TaskId) -> SmolStr {
    format_smolstr!("{}.0.0.{}", task.job, task.index)
}

fn read_task(name: &str) -> Option<TaskId> {
    let mut parts = name.split('.');
    let job = parts.next()?.parse().ok()?;
    let index = parts.nth(2)?.parse().ok()?;
    Some(TaskId { job, index })
}
