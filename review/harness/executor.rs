//! Stand-in of an executor, as the page on the protocol describes it. It can crash and start again
//! under the same id and address, as another kind.

use std::collections::{BTreeMap, HashMap};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, json_field, json_number};
use crate::{Record, unix_ms};

/// Longest lease that is granted; longer ones are shortened.
const HOLD_MAX_MS: u64 = 1_000;

/// Interval between two writes of the entry in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Capacity in thousandths of a core; each task of the callers takes 1,000.
const CPU_MILLIS: u64 = 4_000;
const TASK_CPU_MILLIS: u64 = 1_000;

struct Run {
    number: u64,
    ends_at: Instant,
    started_at: Instant,
    needs: Duration,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// State of one life of an executor.
struct Life {
    number: u32,
    kind: &'static str,
    born_ms: u64,
    started_at: Instant,
    token: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    barred: HashMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
    streams: Vec<TcpStream>,
    is_alive: bool,
    /// Whether a hold of this life has been answered.
    has_reported: bool,
}

impl Life {
    fn new(number: u32, kind: &'static str) -> Self {
        Life {
            number,
            kind,
            born_ms: unix_ms(),
            started_at: Instant::now(),
            token: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            barred: HashMap::new(),
            ends: Vec::new(),
            last_end: 0,
            streams: Vec::new(),
            is_alive: true,
            has_reported: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        // The clock starts anew with each life.
        1 + u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(0)
    }

    fn renew(&mut self, expires_ms: u64) {
        let latest = self.clock_ms() + HOLD_MAX_MS;
        self.lease_end_ms = self.lease_end_ms.max(expires_ms.min(latest));
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<u64> {
        let run = self.runs.remove(task)?;
        let barred = self.barred.entry(task.into()).or_default();
        *barred = (*barred).max(run.number);
        self.last_end += 1;
        self.ends.push(End {
            number: self.last_end,
            task: task.into(),
            run: run.number,
            how,
        });
        Some(run.number)
    }

    fn report(&self) -> String {
        let running = self.runs.iter().map(|(task, run)| {
            let done = run.started_at.elapsed().as_millis() * 100 / run.needs.as_millis().max(1);
            format!("[\"{task}\",{},\"\",{},0]", run.number, done.min(100))
        });
        let finished = self.ends.iter().take(500).map(|end| {
            let End {
                number,
                task,
                run,
                how,
            } = end;
            format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
        });
        let running: Vec<String> = running.collect();
        let finished: Vec<String> = finished.collect();
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock_ms(),
            self.born_ms,
            running.join(","),
            finished.join(",")
        )
    }
}

/// An executor.
pub struct Executor {
    pub id: String,
    zone: String,
    store: SocketAddr,
    record: Arc<Record>,
    address: Mutex<Option<SocketAddr>>,
    life: Mutex<Life>,
    changed: Condvar,
}

impl Executor {
    /// Starts the first life and returns when its entry is in the store and it listens.
    pub fn start(
        id: &str,
        zone: &str,
        kind: &'static str,
        store: SocketAddr,
        record: Arc<Record>,
    ) -> Arc<Executor> {
        let executor = Arc::new(Executor {
            id: id.into(),
            zone: zone.into(),
            store,
            record,
            address: Mutex::new(None),
            life: Mutex::new(Life::new(1, kind)),
            changed: Condvar::new(),
        });
        executor.begin_life(1);
        executor
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("no thread panics with the lock")
    }

    /// Ends the life as a crash does: what runs is gone, and all connections break.
    pub fn crash(&self) {
        let mut life = self.life();
        life.is_alive = false;
        life.runs.clear();
        for stream in life.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let text = format!("executor {} life {} crashed", self.id, life.number);
        drop(life);
        self.changed.notify_all();
        self.record.write(&text);
    }

    /// Starts again under the same id and address, as an executor of the given kind.
    pub fn start_again(self: &Arc<Self>, kind: &'static str) {
        let mut life = self.life();
        let number = life.number + 1;
        *life = Life::new(number, kind);
        drop(life);
        self.begin_life(number);
    }

    fn begin_life(self: &Arc<Self>, number: u32) {
        let known = *self.address.lock().expect("no thread panics with the lock");
        let address = known.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        // Bound before the entry is written, so that the address is known; calls are accepted after it.
        let listener = bind(address);
        let address = listener.local_addr().expect("a bound address");
        *self.address.lock().expect("no thread panics with the lock") = Some(address);
        self.write_entry(address);
        let (kind, born_ms) = {
            let life = self.life();
            (life.kind, life.born_ms)
        };
        self.record.write(&format!(
            "executor {} life {number} listens, kind {kind}, born {born_ms}, entry accepted by the store",
            self.id
        ));
        listener.set_nonblocking(true).expect("a mode of sockets");
        let accepting = self.clone();
        thread::spawn(move || accepting.accept(number, &listener));
        let heartbeats = self.clone();
        thread::spawn(move || {
            while heartbeats.is_current(number) {
                thread::sleep(HEARTBEAT);
                if heartbeats.is_current(number) {
                    heartbeats.write_entry(address);
                }
            }
        });
        let ticking = self.clone();
        thread::spawn(move || {
            while ticking.is_current(number) {
                thread::sleep(Duration::from_millis(2));
                ticking.tick(number);
            }
        });
    }

    fn is_current(&self, number: u32) -> bool {
        let life = self.life();
        life.number == number && life.is_alive
    }

    fn write_entry(&self, address: SocketAddr) {
        let (kind, born_ms) = {
            let life = self.life();
            (life.kind, life.born_ms)
        };
        let body = format!(
            "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{CPU_MILLIS},\"mem_mb\":65536,\"gpus\":0}},\
             \"labels\":[\"{kind}\",\"r1-1\"],\"seq\":1,\"born\":{born_ms}}}",
            self.zone
        );
        let path = format!("/control/put?topic=keyed.servers&key={}", self.id);
        let timeout = Duration::from_secs(2);
        if http::call(self.store, "POST", &path, &[], &body, timeout).is_err() {
            self.record
                .write(&format!("executor {}: entry not written", self.id));
        }
    }

    fn accept(self: Arc<Self>, number: u32, listener: &TcpListener) {
        while self.is_current(number) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
            let Ok(clone) = stream.try_clone() else {
                continue;
            };
            let mut life = self.life();
            if life.number != number || !life.is_alive {
                return;
            }
            life.streams.push(clone);
            drop(life);
            let executor = self.clone();
            thread::spawn(move || executor.serve(number, stream));
        }
    }

    fn serve(&self, number: u32, mut stream: TcpStream) {
        while let Ok(Some(request)) = http::read_message(&mut stream) {
            let Some((status, body)) = self.handle(number, &request) else {
                return;
            };
            if http::respond(&mut stream, status, &body).is_err() {
                return;
            }
        }
    }

    /// Handles a call; `None` if this life has ended.
    fn handle(&self, number: u32, request: &Message) -> Option<(u16, String)> {
        let target = request.header("x-onyxshed-target-instance");
        if target.is_some_and(|target| target != self.id) {
            return Some((421, "{}".into()));
        }
        let path = request.first_line.split(' ').nth(1).unwrap_or_default();
        let body = &request.body;
        let token = json_number(body, "fencing_token").unwrap_or(0);
        let mut life = self.life();
        if life.number != number || !life.is_alive {
            return None;
        }
        let refuse = |life: &Life, reason: &str| {
            let body = format!(
                "{{\"clock_ms\":{},\"reason\":\"{reason}\"}}",
                life.clock_ms()
            );
            Some((409, body))
        };
        if token < life.token {
            return refuse(&life, "fence");
        }
        life.token = token;
        let task = json_field(body, "task_id").unwrap_or_default().to_string();
        let run = json_number(body, "run_id").unwrap_or(0);
        let expires_ms = json_number(body, "expires_ms");
        match path {
            "/run-start" => {
                let expires_ms = expires_ms.unwrap_or(0);
                if expires_ms <= life.clock_ms() {
                    return refuse(&life, "late");
                }
                life.renew(expires_ms);
                let current = life.runs.get(&task).map(|current| current.number);
                if current == Some(run) {
                    return Some((200, format!("{{\"clock_ms\":{}}}", life.clock_ms())));
                }
                if run <= life.barred.get(&task).copied().unwrap_or(0) {
                    return refuse(&life, "old");
                }
                let used = u64::try_from(life.runs.len()).unwrap_or(0) * TASK_CPU_MILLIS;
                if used + TASK_CPU_MILLIS > CPU_MILLIS {
                    return refuse(&life, "room");
                }
                let spec = json_field(body, "spec").unwrap_or_default().to_string();
                let words: Vec<&str> = spec.split(' ').collect();
                let needs = Duration::from_millis(words[0].parse().unwrap_or(1));
                let now = Instant::now();
                life.runs.insert(
                    task.clone(),
                    Run {
                        number: run,
                        ends_at: now + needs,
                        started_at: now,
                        needs,
                    },
                );
                let (number, kind, reported) = (life.number, life.kind, life.has_reported);
                let clock_ms = life.clock_ms();
                drop(life);
                self.record.start(
                    &self.id,
                    number,
                    kind,
                    reported,
                    &task,
                    run,
                    words.get(1).copied(),
                );
                Some((200, format!("{{\"clock_ms\":{clock_ms}}}")))
            }
            "/run-stop" => {
                let barred = life.barred.entry(task.clone()).or_default();
                *barred = (*barred).max(run);
                if life
                    .runs
                    .get(&task)
                    .is_some_and(|current| current.number <= run)
                {
                    life.end(&task, "stopped");
                    self.changed.notify_all();
                }
                Some((200, format!("{{\"clock_ms\":{}}}", life.clock_ms())))
            }
            "/hold" => {
                if let Some(expires_ms) = expires_ms {
                    life.renew(expires_ms);
                }
                let last_seen = json_number(body, "last_seen").unwrap_or(0);
                life.ends.retain(|end| end.number > last_seen);
                let wait = Duration::from_millis(json_number(body, "wait_ms").unwrap_or(0));
                let deadline = Instant::now() + wait;
                while life.ends.is_empty() && life.number == number && life.is_alive {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    let waited = self.changed.wait_timeout(life, left);
                    life = waited.expect("no thread panics with the lock").0;
                }
                if life.number != number || !life.is_alive {
                    return None;
                }
                if !std::mem::replace(&mut life.has_reported, true) {
                    let text = format!(
                        "executor {} life {number}: first report sent, born {}",
                        self.id, life.born_ms
                    );
                    self.record.write(&text);
                }
                Some((200, life.report()))
            }
            _ => Some((404, "{}".into())),
        }
    }

    /// Ends the runs whose work is done, and all runs if the lease has ended.
    fn tick(&self, number: u32) {
        let mut life = self.life();
        if life.number != number || !life.is_alive || life.runs.is_empty() {
            return;
        }
        let has_lapsed = life.clock_ms() >= life.lease_end_ms;
        let now = Instant::now();
        let over: Vec<(String, &'static str)> = life
            .runs
            .iter()
            .filter(|(_, run)| has_lapsed || run.ends_at <= now)
            .map(|(task, _)| (task.clone(), if has_lapsed { "lapsed" } else { "done" }))
            .collect();
        let mut lines = Vec::new();
        for (task, how) in over {
            if let Some(run) = life.end(&task, how) {
                lines.push(format!("end {task} run {run} on {} {how}", self.id));
            }
        }
        drop(life);
        if !lines.is_empty() {
            self.changed.notify_all();
        }
        for line in lines {
            self.record.write(&line);
        }
    }
}

/// Binds an address, which the connections of an earlier life may still occupy for a moment.
fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(10));
    }
    crate::fleet::cannot_run("the address of an executor can't be bound");
}
