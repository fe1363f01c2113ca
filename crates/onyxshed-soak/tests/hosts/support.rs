//! What the tests of hosts share.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use onyxshed_http::client::{ClientOptions, Connection};
use onyxshed_http::{CallError, Reply};
use onyxshed_soak::fleet::{ExecutorClocks, Fleet, FleetOptions, ROUTE_HOST, ROUTE_PREFIX};
use serde_json::{Value, json};
use smol_str::SmolStr;

/// Nothing here depends on how long it takes; only a hang ends at this.
pub const CEILING: Duration = Duration::from_secs(30);

pub fn one_zone() -> FleetOptions {
    FleetOptions {
        zones: 1,
        hosts: 2,
        executors: 2,
        clocks: ExecutorClocks::True,
    }
}

pub async fn open(host: SocketAddr) -> Connection {
    Connection::open(host, ClientOptions::default())
        .await
        .expect("it listens")
}

pub async fn ask(
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
        .call(method, &path, &headers, body, CEILING)
        .await
}

pub fn job(ms: u64, tasks: u64) -> Value {
    json!({"spec": ms.to_string(), "best_effort": true,
        "phases": [{"count": tasks, "cpu": 1_000, "mem_mb": 1, "est_runtime_ms": ms}]})
}

pub async fn until<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(begun.elapsed() < CEILING, "waited in vain until {what}");
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Sends a job of one task to a host again and again, as its caller does, until it is completed; the
/// logs of all hosts tell why it is not.
pub async fn until_a_job_is_completed(fleet: &Fleet, place: usize) {
    let address = fleet.caller_addresses()[place];
    let begun = Instant::now();
    let completed = loop {
        if let Ok(mut connection) = Connection::open(address, ClientOptions::default()).await {
            let body = job(10, 1);
            let reply = ask(&mut connection, Method::Post, "00000000000000aa", &body).await;
            if let Some(reply) = reply.ok().filter(|reply| reply.status == 200) {
                break reply;
            }
        }
        let names = fleet.host_names();
        let logs = names.iter().map(|name| fleet.log_of(name));
        let logs: Vec<String> = logs.collect();
        assert!(begun.elapsed() < CEILING, "{}", logs.join("\n"));
        Timer::after(Duration::from_millis(20)).await;
    };
    assert_eq!(completed.body, br#"{"state":"completed"}"#);
}

pub async fn until_it_has_ended(fleet: &mut Fleet, host: &SmolStr) {
    until("it has ended", async || {
        let mut is_running = false;
        let looked = fleet.signal_host(host, |_| {
            is_running = true;
            Ok(())
        });
        looked.expect("a look");
        (!is_running).then_some(())
    })
    .await;
}

/// Gets the place of the host that owns the pool of a zone with two executors, once it has taken
/// both; one that is cut off before can serve nobody.
pub async fn owner_of_both_executors(fleet: &Fleet) -> usize {
    let names = fleet.host_names();
    let owner = names
        .iter()
        .position(|name| fleet.log_of(name).contains("PoolOwned"));
    let owner = owner.expect("a host owns the pool");
    until("the owner has taken both executors", async || {
        let log = fleet.log_of(&names[owner]);
        (log.matches("PoolExecutorTaken").count() >= 2).then_some(())
    })
    .await;
    owner
}
