//! Helpers that the tests of hosts share.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use onyxshed_http::client::{ClientOptions, Connection};
use onyxshed_http::{CallError, Reply};
use onyxshed_soak::fleet::{ExecutorClocks, Fleet, FleetOptions, ROUTE_HOST, ROUTE_PREFIX};
use serde_json::{Value, json};
use smol_str::SmolStr;

/// The timeout of every wait. No test depends on its value; only a hang reaches it.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the options of a fleet with one zone, two hosts and two executors.
pub fn one_zone() -> FleetOptions {
    FleetOptions {
        zones: 1,
        hosts: 2,
        executors: 2,
        clocks: ExecutorClocks::Accurate,
        ..FleetOptions::default()
    }
}

/// Opens a connection to a host.
pub async fn connect(host: SocketAddr) -> Connection {
    Connection::open(host, ClientOptions::default())
        .await
        .expect("the host accepts the connection")
}

/// Sends a request about a job, as a caller of the route does, with a deadline of 20 s.
pub async fn send_request(
    connection: &mut Connection,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<Reply, CallError> {
    let headers = [
        ("host", SmolStr::new_static(ROUTE_HOST)),
        ("x-onyxshed-deadline-ms", SmolStr::new_static("20000")),
    ];
    let path = format!("{ROUTE_PREFIX}{path}");
    let body = body.to_string().into_bytes();
    connection
        .call(method, &path, &headers, body, TIMEOUT)
        .await
}

/// Returns the body of a best-effort job whose tasks take `ms` each.
pub fn job_body(ms: u64, tasks: u64) -> Value {
    json!({"spec": ms.to_string(), "best_effort": true,
        "phases": [{"count": tasks, "cpu": 1_000, "mem_mb": 1, "est_runtime_ms": ms}]})
}

/// Calls `poll` every 20 ms until it returns a value, and returns that value. Panics with
/// `condition` after [`TIMEOUT`].
pub async fn wait_until<T>(condition: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(found) = poll().await {
            return found;
        }
        assert!(
            started_at.elapsed() < TIMEOUT,
            "timed out waiting until {condition}"
        );
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Submits a job of one task to a host repeatedly, as its caller does, until it is completed; fails with the
/// logs of all hosts after the timeout.
pub async fn wait_until_job_completes(fleet: &Fleet, host_index: usize) {
    let address = fleet.caller_addresses()[host_index];
    let started_at = Instant::now();
    let completed = loop {
        if let Ok(mut connection) = Connection::open(address, ClientOptions::default()).await {
            let body = job_body(10, 1);
            let reply =
                send_request(&mut connection, Method::Post, "00000000000000aa", &body).await;
            if let Some(reply) = reply.ok().filter(|reply| reply.status == 200) {
                break reply;
            }
        }
        let names = fleet.host_names();
        let logs = names.iter().map(|name| fleet.log_tail(name));
        let logs: Vec<String> = logs.collect();
        assert!(started_at.elapsed() < TIMEOUT, "{}", logs.join("\n"));
        Timer::after(Duration::from_millis(20)).await;
    };
    assert_eq!(completed.body, br#"{"state":"completed"}"#);
}

/// Waits until the process of a host has ended.
pub async fn wait_until_host_ends(fleet: &mut Fleet, host: &SmolStr) {
    wait_until("the host has ended", async || {
        let mut is_running = false;
        let checked = fleet.signal_host(host, |_| {
            is_running = true;
            Ok(())
        });
        checked.expect("the process can be checked");
        (!is_running).then_some(())
    })
    .await;
}

/// Waits until the owner of the pool, in a fleet of one zone with two executors, has taken both
/// executors, and returns the index of the owner's host. An owner that is cut off before that can
/// serve no caller.
pub async fn wait_for_owner(fleet: &Fleet) -> usize {
    let names = fleet.host_names();
    let owner = names
        .iter()
        .position(|name| fleet.log_tail(name).contains("PoolOwned"));
    let owner = owner.expect("the log of a host says that it owns the pool");
    wait_until("the owner holds both executors", async || {
        let log = fleet.log_tail(&names[owner]);
        (log.matches("PoolExecutorTaken").count() >= 2).then_some(())
    })
    .await;
    owner
}
