//! The stand-ins inject exactly the faults that a test sets, and otherwise keep to their interfaces.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use http_types::Method::{self, Delete, Get, Post};
use onyxshed_core::Millis;
use onyxshed_http::client::{ClientOptions, Connection, call_once};
use onyxshed_http::{CallError, Reply};
use onyxshed_standins::faults::{Mode, NewRoute, Proxy, SetMode};
use onyxshed_standins::platform::{Platform, PlatformOptions};
use onyxshed_standins::serve::{Handler, listen, local_address, serve};
use onyxshed_standins::upstream::{Executor, UpstreamOptions};
use onyxshed_wire::upstream::{
    ATTEMPT_HEADER, CLASS_HEADER, LEASE_HEADER, STARTER_HEADER, STATE_HEADER,
};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(20);
const TASK: &str = "/v1/tasks/01ARZ3NDEKTSV4RRFFQ69G5FAV";

/// The payload of a task that runs until it is stopped or its lease expires.
const ENDLESS: &str = r#"{"service_ms":3600000}"#;

type TestExecutor = Rc<LocalExecutor<'static>>;

fn run<F: Future<Output = ()>>(test: impl FnOnce(TestExecutor) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(test(executor.clone())));
}

async fn serve_on_free_port(executor: &TestExecutor, handler: Handler) -> SocketAddr {
    let listener = listen(([127, 0, 0, 1], 0).into())
        .await
        .expect("a free port can be bound");
    let address = local_address(&listener);
    executor
        .spawn(serve(listener, executor.clone(), handler))
        .detach();
    address
}

async fn start_platform(executor: &TestExecutor) -> SocketAddr {
    serve_on_free_port(
        executor,
        Platform::new(PlatformOptions::default()).handler(),
    )
    .await
}

async fn start_executor(executor: &TestExecutor) -> SocketAddr {
    let options = UpstreamOptions {
        name: "x1".parse().expect("the name is valid"),
        upstream: "desk".parse().expect("the name is valid"),
        slots: 1,
        queue_max: 1,
        speed: 1.0,
        service_ms: Millis(0),
        usage_lag_ms: Millis(1_000),
        logs_starts: false,
    };
    serve_on_free_port(executor, Executor::new(options).handler()).await
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Result<Reply, CallError> {
    call_once(address, method, path, body.as_bytes().to_vec(), TIMEOUT).await
}

async fn text(address: SocketAddr, method: Method, path: &str, body: &str) -> String {
    let reply = call(address, method, path, body)
        .await
        .expect("the call is answered");
    String::from_utf8_lossy(&reply.body).into_owned()
}

/// Fetches `path` repeatedly until the reply contains `expected`; panics after [`TIMEOUT`].
async fn wait_until_contains(address: SocketAddr, path: &str, expected: &str) {
    let deadline = Instant::now() + TIMEOUT;
    while !text(address, Get, path, "").await.contains(expected) {
        assert!(
            Instant::now() < deadline,
            "the reply did not contain {expected} in time"
        );
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Sends a start, stop or query of a task and returns the state in the reply; `task` may end in `#N`, the
/// number of the starter's attempt.
async fn request_state(
    address: SocketAddr,
    method: Method,
    task: &str,
    lease_ms: u64,
    payload: &str,
) -> String {
    let (task, attempt) = task.split_once('#').unwrap_or((task, "1"));
    let mut connection = Connection::open(address, ClientOptions::default())
        .await
        .expect("the connection opens");
    let headers = [
        (LEASE_HEADER, smol_str::format_smolstr!("{lease_ms}")),
        (CLASS_HEADER, "fee".into()),
        (STARTER_HEADER, "00c0ffee00c0ffee".into()),
        (ATTEMPT_HEADER, attempt.into()),
    ];
    let (path, body) = (format!("{TASK}.{task}"), payload.as_bytes().to_vec());
    let reply = connection
        .call(method, &path, &headers, body, TIMEOUT)
        .await;
    reply
        .expect("the call is answered")
        .header_value(STATE_HEADER)
        .unwrap_or_default()
        .to_owned()
}

async fn start_task(address: SocketAddr, task: &str) -> String {
    request_state(address, Post, task, 60_000, "x").await
}

async fn stop_task(address: SocketAddr, task: &str) -> String {
    request_state(address, Delete, task, 0, "").await
}

#[test]
fn log_keeps_order_and_wakes_waiting_reader() {
    run(|executor| async move {
        let address = start_platform(&executor).await;
        let path = "/v1/streams/config/records";
        assert_eq!(text(address, Post, path, "one").await, r#"{"offset":0}"#);
        let read =
            async move { text(address, Get, &format!("{path}?from=1&wait_ms=20000"), "").await };
        let reader = executor.spawn(read);
        assert_eq!(text(address, Post, path, "two").await, r#"{"offset":1}"#);
        let page = reader.await;
        assert!(
            page.starts_with(r#"{"oldest":0,"next":2,"records":[{"offset":1"#),
            "{page}"
        );
    });
}

// In each case the connection of an append is closed without a reply; the fault decides whether the record
// was appended.
#[rstest]
#[case(r#"{"lose_append_answer":1}"#, r#""next":1"#)]
#[case(r#"{"drop_append":1}"#, r#""next":0"#)]
#[case(r#"{"down":"refuse"}"#, r#""next":0"#)]
fn fault_decides_whether_unanswered_append_takes_effect(
    #[case] faults: &'static str,
    #[case] expected_page: &'static str,
) {
    run(|executor| async move {
        let address = start_platform(&executor).await;
        let path = "/v1/streams/claims/records";
        call(address, Post, "/control/faults", faults)
            .await
            .unwrap();
        call(address, Post, path, "claim").await.unwrap_err();
        call(address, Post, "/control/faults", "{}").await.unwrap();
        let page = text(address, Get, path, "").await;
        assert!(page.contains(expected_page), "{page}");
    });
}

#[test]
fn stale_read_hides_append_and_truncation_drops_records() {
    run(|executor| async move {
        let address = start_platform(&executor).await;
        let path = "/v1/streams/config/records";
        text(address, Post, path, "one").await;
        text(address, Post, "/control/faults", r#"{"stale_reads":true}"#).await;
        text(address, Post, path, "two").await;
        assert!(text(address, Get, path, "").await.contains(r#""next":1"#));
        let truncation = r#"{"truncate":{"stream":"config","to":1}}"#;
        text(address, Post, "/control/faults", truncation).await;
        let page = text(address, Get, path, "").await;
        assert!(page.starts_with(r#"{"oldest":1,"next":2"#), "{page}");
    });
}

// The executor has one slot and room for one queued task. The third task is refused, a queued task that is
// stopped never starts, and a running task that is stopped is reported as stopped.
#[test]
fn full_executor_refuses_and_stop_ends_queued_and_running_tasks() {
    run(|executor| async move {
        let address = start_executor(&executor).await;
        let running =
            executor.spawn(async move { request_state(address, Post, "0", 60_000, ENDLESS).await });
        wait_until_contains(address, "/control/load", r#""running":1"#).await;
        let waiting = executor.spawn(async move { start_task(address, "1").await });
        wait_until_contains(address, "/control/load", r#""queued":1"#).await;
        assert_eq!(start_task(address, "2").await, "refused");
        assert_eq!(stop_task(address, "1").await, "refused");
        assert_eq!(waiting.await, "refused");
        assert_eq!(request_state(address, Get, "0", 0, "").await, "running");
        assert_eq!(stop_task(address, "0").await, "stopped");
        assert_eq!(running.await, "stopped");
        assert_eq!(start_task(address, "3").await, "finished");
        assert_eq!(request_state(address, Get, "3", 0, "").await, "finished");
        assert_eq!(
            request_state(address, Post, "4", 50, ENDLESS).await,
            "lapsed"
        );
    });
}

// A stop arrives before the start that it is meant for. The executor refuses starts up to the number of the
// stop, also after an older stop has arrived late; a later start, made after the stop was answered, runs.
#[test]
fn stop_before_its_start_fences_that_start() {
    run(|executor| async move {
        let address = start_executor(&executor).await;
        assert_eq!(request_state(address, Get, "0", 0, "").await, "unseen");
        assert_eq!(stop_task(address, "0#2").await, "refused");
        assert_eq!(stop_task(address, "0#1").await, "refused");
        assert_eq!(start_task(address, "0#1").await, "refused");
        assert_eq!(start_task(address, "0#2").await, "refused");
        assert_eq!(text(address, Get, "/control/starts", "").await, "[]");
        assert_eq!(start_task(address, "0#3").await, "finished");
    });
}

/// Opens a route to a platform; returns the address of the route and the control address of the proxy.
async fn route(executor: &TestExecutor) -> (SocketAddr, SocketAddr) {
    let to = start_platform(executor).await;
    let proxy = Proxy::new(executor.clone());
    let new_route = NewRoute {
        name: "r".into(),
        to,
    };
    let route_address = proxy
        .open_route(([127, 0, 0, 1], 0).into(), new_route)
        .await
        .expect("a free port can be bound");
    (
        route_address,
        serve_on_free_port(executor, proxy.handler()).await,
    )
}

#[rstest]
#[case(Mode::Cut, false)]
#[case(Mode::DropAnswer, false)]
#[case(Mode::CloseAfterBytes { bytes: 10 }, false)]
#[case(Mode::Delay { delay_ms: 20 }, true)]
#[case(Mode::SlowLink { up_bytes_per_s: 10_000, down_delay_ms: 20 }, true)]
#[case(Mode::DelayUp { delay_ms: 20 }, true)]
#[case(Mode::DelayDown { delay_ms: 20 }, true)]
#[case(Mode::Pass, true)]
fn route_mode_decides_whether_call_is_answered(#[case] mode: Mode, #[case] is_answered: bool) {
    run(|executor| async move {
        let (route_address, control) = route(&executor).await;
        let command = SetMode {
            routes: vec!["r*".into()],
            mode,
        };
        let command = serde_json::to_string(&command).unwrap();
        call(control, Post, "/control/mode", &command)
            .await
            .unwrap();
        let answer = call(route_address, Get, "/control/counts", "").await;
        assert_eq!(answer.is_ok(), is_answered, "{answer:?}");
    });
}

// A network device drops its state of the open connections: nothing more passes on them, and new ones work.
#[test]
fn stalled_connection_forwards_nothing_and_new_one_works() {
    run(|executor| async move {
        let (route_address, control) = route(&executor).await;
        let mut old = Connection::open(route_address, ClientOptions::default())
            .await
            .unwrap();
        let path = "/control/counts";
        old.call(Get, path, &[], Vec::new(), TIMEOUT).await.unwrap();
        let stall = r#"{"routes":["r"],"mode":"stall_existing"}"#;
        call(control, Post, "/control/mode", stall).await.unwrap();
        let short = Duration::from_millis(200);
        let error = old
            .call(Get, path, &[], Vec::new(), short)
            .await
            .unwrap_err();
        assert!(error.is_timeout);
        call(route_address, Get, path, "").await.unwrap();
    });
}

// A partition heals: new connections work, and what was sent on an open one arrives later.
#[test]
fn held_connection_forwards_when_the_mode_changes_and_new_one_works() {
    run(|executor| async move {
        let (route_address, control) = route(&executor).await;
        let mut old = Connection::open(route_address, ClientOptions::default())
            .await
            .unwrap();
        let path = "/control/counts";
        old.call(Get, path, &[], Vec::new(), TIMEOUT).await.unwrap();
        let hold = r#"{"routes":["r"],"mode":"hold_existing"}"#;
        call(control, Post, "/control/mode", hold).await.unwrap();
        let held =
            executor.spawn(async move { old.call(Get, path, &[], Vec::new(), TIMEOUT).await });
        call(route_address, Get, path, "").await.unwrap();
        Timer::after(Duration::from_millis(200)).await;
        assert!(!held.is_finished());
        let pass = r#"{"routes":["r"],"mode":"pass"}"#;
        call(control, Post, "/control/mode", pass).await.unwrap();
        held.await.unwrap();
    });
}
