//! The admin service over real sockets.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use http_types::Method;
use onyxshed_core::{Event, EventKind, Incarnation, Revision};
use onyxshed_http::Reply;
use onyxshed_http::client::call_once;
use onyxshed_kernel::{Kernel, Process, RunEnd, RunOptions, Service};
use onyxshed_settings::{LogLevel, LogSettings};
use onyxshed_telemetry::timeline::LIMIT_MAX;
use onyxshed_telemetry::{AdminService, Filter, StatusParts, Telemetry, TelemetryOptions};
use onyxshed_wire::admin::{ANSWER_MAX_BYTES, Status, TimelinePage};
use rstest::rstest;
use serde_json::json;

fn telemetry(kernel: &Kernel) -> Rc<Telemetry> {
    telemetry_with(kernel, 100)
}

fn telemetry_with(kernel: &Kernel, timeline_events_max: usize) -> Rc<Telemetry> {
    let options = TelemetryOptions {
        process: "onyxshed-test".into(),
        version: "0.0.0".into(),
        host: "host-1".into(),
        boot: Incarnation(7),
        log: LogSettings {
            level: LogLevel::Error,
            ..LogSettings::default()
        },
        timeline_events_max,
    };
    let telemetry = Telemetry::open(kernel, options).expect("log and metrics open");
    let parts = || StatusParts {
        config_revision: Some(Revision(3)),
        details: json!({ "jobs": 1 }),
    };
    telemetry.set_status_source(Box::new(parts));
    telemetry
}

/// Starts a process with an admin address, runs `test` against it, then waits until the process has
/// been drained.
fn with_admin(test: impl AsyncFnOnce(Kernel, SocketAddr)) -> RunEnd {
    let kernel = Kernel::new();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let service = AdminService::new(telemetry(&kernel), address);
    let services: Vec<Box<dyn Service>> = vec![Box::new(service)];
    let options = RunOptions {
        has_ready_line: false,
        ..RunOptions::new("onyxshed-test")
    };
    let process = async {
        let process = Process::new(kernel.clone(), services, options);
        let process = process.start().await.expect("the process starts");
        test(kernel.clone(), kernel.addresses()["admin"]).await;
        process.run_until_stopped().await
    };
    async_io::block_on(kernel.executor().run(process.boxed_local()))
}

async fn call(address: SocketAddr, method: Method, path: &str) -> Reply {
    let timeout = Duration::from_secs(20);
    call_once(address, method, path, Vec::new(), timeout)
        .await
        .expect("the admin address replies to the call")
}

fn text(reply: &Reply) -> String {
    format!(
        "{} {}",
        reply.status,
        String::from_utf8_lossy(&reply.body).trim_end()
    )
}

#[test]
fn admin_paths_serve_until_the_process_is_drained() {
    let end = with_admin(async |kernel, address| {
        assert_eq!(
            text(&call(address, Method::Get, "/healthz").await),
            "200 ok"
        );
        assert_eq!(
            text(&call(address, Method::Get, "/readyz").await),
            "200 ready"
        );
        kernel.readiness().set_not_ready("no configuration");
        let not_ready = call(address, Method::Get, "/readyz").await;
        assert_eq!(text(&not_ready), "503 not ready: no configuration");

        let status = call(address, Method::Get, "/v1/status").await;
        let mut status = Status::decode(&status.body).unwrap();
        status.uptime_ms = Default::default();
        insta::assert_json_snapshot!(status, @r#"
        {
          "process": "onyxshed-test",
          "version": "0.0.0",
          "host": "host-1",
          "boot": "0000000000000007",
          "uptime_ms": 0,
          "is_ready": false,
          "why_not_ready": "no configuration",
          "config_revision": 3,
          "details": {
            "jobs": 1
          }
        }
        "#);

        kernel.emit(Event::new(EventKind::TaskLost).party("executor-1"));
        let page = call(address, Method::Get, "/v1/timeline?party=executor-1").await;
        let page = TimelinePage::decode(&page.body).unwrap();
        assert_eq!(
            (page.events.len(), page.dropped, page.events_max),
            (1, 0, 100)
        );
        assert_eq!(page.events[0].kind, EventKind::TaskLost);

        let metrics = call(address, Method::Get, "/metrics").await;
        let metrics = String::from_utf8(metrics.body).unwrap();
        assert!(metrics.contains("onyxshed_events_total{kind=\"TaskLost\"}"));
        assert!(metrics.contains("# TYPE onyxshed_timeline_bytes gauge"));
        let resident = metrics
            .lines()
            .find_map(|line| line.strip_prefix("process_resident_memory_bytes "));
        let resident_bytes: f64 = resident
            .expect("resident memory is reported")
            .parse()
            .unwrap();
        assert!(resident_bytes > 1e6, "{resident_bytes}");

        let drained = call(address, Method::Post, "/v1/drain").await;
        assert_eq!(drained.status, 202);
    });
    assert_eq!(end, RunEnd::Drained);
}

#[rstest]
#[case(
    Method::Get,
    "/none",
    r#"404 {"code":3106,"text":"The address has no such path or method. (/none)"}"#
)]
#[case(
    Method::Post,
    "/metrics",
    r#"404 {"code":3106,"text":"The address has no such path or method. (/metrics)"}"#
)]
#[case(Method::Get, "/v1/timeline?limit=-1", r#"400 {"code":3101,"text":"The request can't be read. (limit: invalid digit found in string)"}"#)]
fn unknown_paths_and_invalid_queries_are_rejected(
    #[case] method: Method,
    #[case] path: &str,
    #[case] expected: &str,
) {
    with_admin(async |kernel, address| {
        assert_eq!(text(&call(address, method, path).await), expected);
        kernel.request_stop(onyxshed_kernel::StopRequest::Drain);
    });
}

#[rstest]
#[case::no_http(b"\x00\xff\xfe garbage\r\n\r\n".to_vec(), "3101")]
#[case::large_body(b"POST /v1/drain HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999\r\n\r\n".to_vec(), "3104")]
#[case::endless_head([b"GET / HTTP/1.1\r\nx: ".as_slice(), &[b'a'; 20_000]].concat(), "3104")]
#[case::no_utf8_in_query(b"GET /v1/timeline?class=%ff%fe HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_vec(), "3101")]
fn invalid_requests_are_rejected_and_later_requests_served(
    #[case] request: Vec<u8>,
    #[case] code: &str,
) {
    // A scanner or a faulty client sends bytes that are not a valid request. It gets a reply with a
    // result code, the process neither drains nor crashes, and the next operator is served.
    with_admin(async |kernel, address| {
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the admin address accepts");
        stream
            .write_all(&request)
            .await
            .expect("the admin address reads");
        let mut answer = vec![0; 4_096];
        let count = stream
            .read(&mut answer)
            .await
            .expect("the admin address replies");
        let mut answer = String::from_utf8_lossy(&answer[..count]).into_owned();
        if !answer.contains("code") {
            let mut rest = String::new();
            let _ = stream.read_to_string(&mut rest).await;
            answer.push_str(&rest);
        }
        assert!(answer.contains(code), "{answer}");
        assert_eq!(
            text(&call(address, Method::Get, "/readyz").await),
            "200 ready"
        );
        kernel.request_stop(onyxshed_kernel::StopRequest::Drain);
    });
}

#[test]
fn largest_timeline_page_fits_the_limit_on_answers() {
    // Control characters take six bytes each in JSON, so these texts have the largest encoding.
    let kernel = Kernel::new();
    let telemetry = telemetry_with(&kernel, LIMIT_MAX);
    let text = "\u{1}".repeat(1_000);
    for _ in 0..LIMIT_MAX {
        let event = Event::new(EventKind::TaskLost).task(u16::MAX);
        kernel.emit(event.party(text.as_str()).detail(text.as_str()));
    }
    let page = telemetry.timeline(&Filter {
        limit: usize::MAX,
        ..Filter::default()
    });
    assert_eq!((page.events.len(), page.is_cut), (LIMIT_MAX, false));
    let bytes = serde_json::to_vec(&page).unwrap().len() as u64;
    assert!(bytes < ANSWER_MAX_BYTES, "{bytes}");
}

#[test]
fn stopped_process_refuses_connections() {
    // If the listener outlived the stopped process, peers could still connect but would get no
    // reply: only a closed address shows that the process has ended.
    let mut served = None;
    with_admin(async |kernel, address| {
        served = Some(address);
        kernel.request_stop(onyxshed_kernel::StopRequest::Drain);
    });
    let address = served.expect("the process served");
    let refused = std::net::TcpStream::connect(address).map_err(|error| error.kind());
    assert_eq!(
        refused.map(drop),
        Err(std::io::ErrorKind::ConnectionRefused)
    );
}

#[test]
fn address_in_use_has_its_own_code() {
    let kernel = Kernel::new();
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let service = AdminService::new(telemetry(&kernel), taken.local_addr().unwrap());
    let started = future::block_on(service.start(&kernel));
    assert_eq!(started.unwrap_err().code().number(), 5003);
}
