//! Callers: each sends a job and stays with it, and sends it again where its fate is unknown.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use onyxshed_http::Reply;
use onyxshed_http::client::{ClientOptions, Connection};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use crate::fleet::{ROUTE_HOST, ROUTE_PREFIX};

/// Pause before a job is sent again whose fate is unknown.
const RESEND: Duration = Duration::from_millis(1_300);

/// Times that a job is sent.
const SENDS_MAX: u32 = 6;

/// How long a caller waits for one answer.
const PATIENCE: Duration = Duration::from_millis(3_000);

/// Requests that a caller makes on one connection before it opens another.
const REQUESTS_A_CONNECTION: u32 = 20;

/// What a caller heard last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// Every task is done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// It has not run and never will.
    NotRun,
    /// Its fate is unknown, or no answer came.
    Unknown,
}

/// A job and what became of it.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Its id.
    pub job: SmolStr,
    /// How many tasks it has.
    pub tasks: u16,
    /// What its caller heard, hand-over by hand-over.
    pub heard: Vec<Heard>,
    /// How many of its requests ended with their connection, without an answer.
    pub cut_off: u32,
    /// How long it took from its first sending.
    pub took: Duration,
}

/// What all callers saw.
pub type Book = Rc<RefCell<Vec<Sent>>>;

/// One caller's way of working, until a time.
pub async fn call(hosts: Vec<SocketAddr>, seed: u64, until: Instant, book: Book) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut caller = Caller {
        hosts,
        connection: None,
        used: 0,
        cut_off: 0,
    };
    while Instant::now() < until {
        let pause = Duration::from_millis(rng.random_range(5..80));
        Timer::after(pause).await;
        let sent = caller.serve_one(&mut rng).await;
        book.borrow_mut().push(sent);
    }
}

struct Caller {
    hosts: Vec<SocketAddr>,
    connection: Option<Connection>,
    used: u32,
    /// Requests that ended with their connection.
    cut_off: u32,
}

impl Caller {
    async fn serve_one(&mut self, rng: &mut SmallRng) -> Sent {
        let job = format_smolstr!("{:016x}", rng.random::<u64>());
        let tasks = rng.random_range(1..5_u16);
        let ms = [20, 60, 200, 500][rng.random_range(0..4)];
        // One job in forty can never be done.
        let spec = match rng.random_range(0..40) {
            0 => format!("{ms} fail"),
            _ => format!("{ms}"),
        };
        let body = json!({
            "spec": spec, "best_effort": true,
            "phases": [{"count": tasks, "cpu": 1_000, "mem_mb": 1,
                "est_runtime_ms": ms * rng.random_range(50..200) / 100}],
        });
        let body = body.to_string();
        let begun = Instant::now();
        let cut_off_before = self.cut_off;
        let mut heard = Vec::new();
        for _ in 0..SENDS_MAX {
            let last = self.send(&job, &body, rng).await;
            heard.push(last);
            if last != Heard::Unknown {
                break;
            }
            Timer::after(RESEND).await;
        }
        Sent {
            job,
            tasks,
            heard,
            cut_off: self.cut_off - cut_off_before,
            took: begun.elapsed(),
        }
    }

    /// Sends the job once; an open connection is used until it breaks.
    async fn send(&mut self, job: &str, body: &str, rng: &mut SmallRng) -> Heard {
        if self.used >= REQUESTS_A_CONNECTION {
            self.connection = None;
        }
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let host = self.hosts[rng.random_range(0..self.hosts.len())];
                self.used = 0;
                match Connection::open(host, ClientOptions::default()).await {
                    Ok(connection) => connection,
                    Err(_) => return Heard::Unknown,
                }
            }
        };
        self.used += 1;
        let headers = [
            ("host", SmolStr::new_static(ROUTE_HOST)),
            ("x-onyxshed-deadline-ms", SmolStr::new_static("2500")),
            ("request-id", SmolStr::new(job)),
        ];
        let path = format!("{ROUTE_PREFIX}{job}");
        let reply = connection
            .call(Method::Post, &path, &headers, body.into(), PATIENCE)
            .await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                // The proxy takes connections for a host that has ended and not started again, and
                // closes them: only one that a host has answered on tells of a host.
                let is_a_hosts = self.used > 1;
                let is_broken =
                    error.sent == onyxshed_http::SendState::MaybeSent && !error.is_timeout;
                self.cut_off += u32::from(is_a_hosts && is_broken);
                return Heard::Unknown;
            }
        };
        if reply.header_value("connection") != Some("close") {
            self.connection = Some(connection);
        }
        read(&reply)
    }
}

fn read(reply: &Reply) -> Heard {
    let state: Option<SmolStr> = serde_json::from_slice(&reply.body)
        .ok()
        .and_then(|told: serde_json::Value| Some(told.get("state")?.as_str()?.into()));
    match (reply.status, state.as_deref()) {
        (200, Some("completed")) => Heard::Completed,
        (200, Some("failed")) => Heard::Failed,
        (429 | 503, _) => Heard::NotRun,
        _ => Heard::Unknown,
    }
}
