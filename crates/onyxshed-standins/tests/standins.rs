//! The stand-ins misbehave just as told, and otherwise keep to the interfaces.

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

const CEILING: Duration = Duration::from_secs(20);
const TASK: &str = "/v1/tasks/01ARZ3NDEKTSV4RRFFQ69G5FAV";

/// A task that runs until something stops it.
const ENDLESS: &str = r#"{"service_ms":3600000}"#;

type Rig = Rc<LocalExecutor<'static>>;

fn run<F: Future<Output = ()>>(test: impl FnOnce(Rig) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(test(executor.clone())));
}

async fn open(rig: &Rig, handler: Handler) -> SocketAddr {
    let listener = listen(([127, 0, 0, 1], 0).into())
        .await
        .expect("a free port");
    let address = local_address(&listener);
    rig.spawn(serve(listener, rig.clone(), handler)).detach();
    address
}

async fn platform(rig: &Rig) -> SocketAddr {
    open(rig, Platform::new(PlatformOptions::default()).handler()).await
}

async fn executor(rig: &Rig) -> SocketAddr {
    let options = UpstreamOptions {
        name: "x1".parse().expect("a name"),
        upstream: "desk".parse().expect("a name"),
        slots: 1,
        queue_max: 1,
        speed: 1.0,
        service_ms: Millis(0),
        usage_lag_ms: Millis(1_000),
        logs_starts: false,
    };
    open(rig, Executor::new(options).handler()).await
}

async fn call(at: SocketAddr, method: Method, path: &str, body: &str) -> Result<Reply, CallError> {
    call_once(at, method, path, body.as_bytes().to_vec(), CEILING).await
}

async fn text(at: SocketAddr, method: Method, path: &str, body: &str) -> String {
    let reply = call(at, method, path, body).await.expect("an answer");
    String::from_utf8_lossy(&reply.body).into_owned()
}

/// Waits until a document holds a text.
async fn until(at: SocketAddr, path: &str, wanted: &str) {
    let give_up_at = Instant::now() + CEILING;
    while !text(at, Get, path, "").await.contains(wanted) {
        assert!(Instant::now() < give_up_at, "waited in vain for {wanted}");
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Makes a start or stop of a task, the `attempt`th of its starter, and gets the state.
async fn ask(at: SocketAddr, method: Method, task: &str, lease_ms: u64, payload: &str) -> String {
    let (task, attempt) = task.split_once('#').unwrap_or((task, "1"));
    let mut connection = Connection::open(at, ClientOptions::default())
        .await
        .expect("a connection");
    let headers = [
        (LEASE_HEADER, smol_str::format_smolstr!("{lease_ms}")),
        (CLASS_HEADER, "fee".into()),
        (STARTER_HEADER, "00c0ffee00c0ffee".into()),
        (ATTEMPT_HEADER, attempt.into()),
    ];
    let (path, body) = (format!("{TASK}.{task}"), payload.as_bytes().to_vec());
    let reply = connection
        .call(method, &path, &headers, body, CEILING)
        .await;
    reply
        .expect("an answer")
        .header_value(STATE_HEADER)
        .unwrap_or_default()
        .to_owned()
}

async fn start(at: SocketAddr, task: &str) -> String {
    ask(at, Post, task, 60_000, "x").await
}

async fn stop(at: SocketAddr, task: &str) -> String {
    ask(at, Delete, task, 0, "").await
}

#[test]
fn the_log_keeps_order_and_wakes_readers() {
    run(|rig| async move {
        let at = platform(&rig).await;
        let path = "/v1/streams/config/records";
        assert_eq!(text(at, Post, path, "one").await, r#"{"offset":0}"#);
        let read = async move { text(at, Get, &format!("{path}?from=1&wait_ms=20000"), "").await };
        let reader = rig.spawn(read);
        assert_eq!(text(at, Post, path, "two").await, r#"{"offset":1}"#);
        let page = reader.await;
        assert!(
            page.starts_with(r#"{"oldest":0,"next":2,"records":[{"offset":1"#),
            "{page}"
        );
    });
}

// A caller of the log sees its connection closed; what happened before decides whether the record
// stands there.
#[rstest]
#[case(r#"{"lose_append_answer":1}"#, r#""next":1"#)]
#[case(r#"{"drop_append":1}"#, r#""next":0"#)]
#[case(r#"{"down":"refuse"}"#, r#""next":0"#)]
fn an_append_is_lost_as_told(#[case] faults: &'static str, #[case] left: &'static str) {
    run(|rig| async move {
        let at = platform(&rig).await;
        let path = "/v1/streams/claims/records";
        call(at, Post, "/control/faults", faults).await.unwrap();
        call(at, Post, path, "claim").await.unwrap_err();
        call(at, Post, "/control/faults", "{}").await.unwrap();
        let page = text(at, Get, path, "").await;
        assert!(page.contains(left), "{page}");
    });
}

#[test]
fn stale_reads_and_truncation() {
    run(|rig| async move {
        let at = platform(&rig).await;
        let path = "/v1/streams/config/records";
        text(at, Post, path, "one").await;
        text(at, Post, "/control/faults", r#"{"stale_reads":true}"#).await;
        text(at, Post, path, "two").await;
        assert!(text(at, Get, path, "").await.contains(r#""next":1"#));
        let forget = r#"{"truncate":{"stream":"config","to":1}}"#;
        text(at, Post, "/control/faults", forget).await;
        let page = text(at, Get, path, "").await;
        assert!(page.starts_with(r#"{"oldest":1,"next":2"#), "{page}");
    });
}

// One slot and one place in the queue. The third task is refused, a waiting task that is stopped
// never starts, and a running task that is stopped says so.
#[test]
fn slots_queue_and_stops() {
    run(|rig| async move {
        let at = executor(&rig).await;
        let running = rig.spawn(async move { ask(at, Post, "0", 60_000, ENDLESS).await });
        until(at, "/control/load", r#""running":1"#).await;
        let waiting = rig.spawn(async move { start(at, "1").await });
        until(at, "/control/load", r#""queued":1"#).await;
        assert_eq!(start(at, "2").await, "refused");
        assert_eq!(stop(at, "1").await, "refused");
        assert_eq!(waiting.await, "refused");
        assert_eq!(ask(at, Get, "0", 0, "").await, "running");
        assert_eq!(stop(at, "0").await, "stopped");
        assert_eq!(running.await, "stopped");
        assert_eq!(start(at, "3").await, "finished");
        assert_eq!(ask(at, Get, "3", 0, "").await, "finished");
        assert_eq!(ask(at, Post, "4", 50, ENDLESS).await, "lapsed");
    });
}

// A stop overtakes its start. The executor has promised that no start up to that one runs and
// refuses it, and an older stop that comes late does not take the promise back; a later start, made
// after the stop was answered, runs.
#[test]
fn a_stop_ahead_of_its_start_is_a_fence() {
    run(|rig| async move {
        let at = executor(&rig).await;
        assert_eq!(ask(at, Get, "0", 0, "").await, "unseen");
        assert_eq!(stop(at, "0#2").await, "refused");
        assert_eq!(stop(at, "0#1").await, "refused");
        assert_eq!(start(at, "0#1").await, "refused");
        assert_eq!(start(at, "0#2").await, "refused");
        assert_eq!(text(at, Get, "/control/starts", "").await, "[]");
        assert_eq!(start(at, "0#3").await, "finished");
    });
}

/// Opens a route to a platform; gets where it listens and where it is commanded.
async fn route(rig: &Rig) -> (SocketAddr, SocketAddr) {
    let to = platform(rig).await;
    let proxy = Proxy::new(rig.clone());
    let new = NewRoute {
        name: "r".into(),
        to,
    };
    let through = proxy
        .open(([127, 0, 0, 1], 0).into(), new)
        .await
        .expect("a free port");
    (through, open(rig, proxy.handler()).await)
}

#[rstest]
#[case(Mode::Cut, false)]
#[case(Mode::DropAnswer, false)]
#[case(Mode::CloseAfterBytes { bytes: 10 }, false)]
#[case(Mode::Delay { delay_ms: 20 }, true)]
#[case(Mode::Pass, true)]
fn a_route_breaks_as_told(#[case] mode: Mode, #[case] is_answered: bool) {
    run(|rig| async move {
        let (through, control) = route(&rig).await;
        let command = SetMode {
            routes: vec!["r*".into()],
            mode,
        };
        let command = serde_json::to_string(&command).unwrap();
        call(control, Post, "/control/mode", &command)
            .await
            .unwrap();
        let answer = call(through, Get, "/control/counts", "").await;
        assert_eq!(answer.is_ok(), is_answered, "{answer:?}");
    });
}

// Something on the way forgets the open connections: they fall silent for good, new ones work.
#[test]
fn a_stalled_connection_stays_silent() {
    run(|rig| async move {
        let (through, control) = route(&rig).await;
        let mut old = Connection::open(through, ClientOptions::default())
            .await
            .unwrap();
        let path = "/control/counts";
        old.call(Get, path, &[], Vec::new(), CEILING).await.unwrap();
        let stall = r#"{"routes":["r"],"mode":"stall_existing"}"#;
        call(control, Post, "/control/mode", stall).await.unwrap();
        let short = Duration::from_millis(200);
        let silence = old
            .call(Get, path, &[], Vec::new(), short)
            .await
            .unwrap_err();
        assert!(silence.is_timeout);
        call(through, Get, path, "").await.unwrap();
    });
}
