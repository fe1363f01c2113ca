//! Invalid replies of executors and the platform, and invalid records in the log.

#[path = "support/fake.rs"]
mod fake;

use std::fmt::Write as _;
use std::net::SocketAddr;

use async_io::block_on;
use fake::{CannedReply, FakeServer};
use http_types::Method;
use onyxshed_core::{EventKind, Millis};
use onyxshed_proof::caller::{CallResult, ResubmitPolicy, submit};
use onyxshed_proof::cluster::{Cluster, ClusterOptions, ProcessKind};
use onyxshed_proof::remote::{call, get};
use onyxshed_proof::zone;
use onyxshed_wire::admin::{STATUS_PATH, Status};
use onyxshed_wire::platform::{CLAIMS_STREAM, CONFIG_STREAM, records_path};
use serde_json::json;
use ulid::Ulid;

/// Returns replies, each with a name for the summary, that are not valid HTTP or whose body does
/// not match their head.
fn broken_replies(headers: &str) -> Vec<(&'static str, CannedReply)> {
    let reply = |more: &str, body: &str| format!("HTTP/1.1 200 OK\r\n{headers}{more}\r\n{body}");
    let chunked = "Transfer-Encoding: chunked\r\n";
    let line = "x".repeat(1 << 20);
    vec![
        ("closed at once", Vec::new()),
        ("no HTTP", b"\x16\x03\x01\r\n\r\n".to_vec()),
        (
            "header not UTF-8",
            b"HTTP/1.1 200 OK\r\nx: \xff\r\nContent-Length: 0\r\n\r\n".to_vec(),
        ),
        (
            "header not ASCII",
            reply("Content-Length: 2\r\nx: \u{e9}\r\n", "ok").into(),
        ),
        (
            "head line without end",
            format!("HTTP/1.1 200 OK\r\nx: {line}").into(),
        ),
        (
            "head lines without end",
            format!("HTTP/1.1 200 OK\r\n{}", "x: y\r\n".repeat(100_000)).into(),
        ),
        (
            "length no number",
            reply("Content-Length: -1\r\n", "ok").into(),
        ),
        ("no length", reply("", "ok").into()),
        ("cut short", reply("Content-Length: 10\r\n", "ok").into()),
        (
            "too large",
            reply("Content-Length: 99999999999\r\n", &line.repeat(20)).into(),
        ),
        (
            "chunks too large",
            reply(chunked, &format!("ffffffff\r\n{}", line.repeat(20))).into(),
        ),
        ("chunks cut short", reply(chunked, "2\r\nok\r\n").into()),
        (
            "chunk size too large",
            reply(chunked, "fffffffffffffffff\r\nok").into(),
        ),
        (
            "chunk trailer not ASCII",
            reply(chunked, "2\r\nok\r\n0\r\nx: \u{e9}\r\n\r\n").into(),
        ),
        (
            "chunk trailer in pieces",
            reply(chunked, "2\r\nok\r\n0\r\nx: wait").into(),
        ),
    ]
}

/// Returns replies of an executor, each with a name for the summary, that are valid HTTP with
/// invalid headers.
fn executor_replies() -> Vec<(&'static str, CannedReply)> {
    let reply = |headers: &str| -> CannedReply {
        format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: 2\r\n\r\nok").into()
    };
    let task = "onyxshed-task: {task}\r\n";
    vec![
        (
            "another task's",
            reply("onyxshed-task: 01ARZ3NDEKTSV4RRFFQ69G5FAV.0\r\nonyxshed-state: finished\r\n"),
        ),
        ("no task's", reply("onyxshed-state: finished\r\n")),
        (
            "task no id",
            reply("onyxshed-task: 7\r\nonyxshed-state: finished\r\n"),
        ),
        ("no state", reply(task)),
        (
            "unknown state",
            reply(&format!("{task}onyxshed-state: dreaming\r\n")),
        ),
        (
            "load out of range",
            reply(&format!(
                "{task}onyxshed-state: finished\r\nonyxshed-running: 99999999999999999999\r\nonyxshed-service-us: -3\r\n"
            )),
        ),
    ]
}

/// Submits a valid job once and returns whether its answer is complete.
async fn is_served(address: SocketAddr, class: &str) -> bool {
    let payload = Ulid::generate().to_string().into_bytes();
    let timed_result = submit(address, zone::job(class, &payload), ResubmitPolicy::Once).await;
    match timed_result.result {
        CallResult::Answer(200, answer) => answer.results == Some(vec![payload]),
        _ => false,
    }
}

/// Replaces the executor `xa1` in the host list by an executor called `name`, a server that always
/// sends `reply`, and returns the outcome of a job whose task is sent to that server.
async fn outcome_with_reply(cluster: &mut Cluster, name: &str, reply: CannedReply) -> String {
    let fake = FakeServer::start(vec![reply]);
    let unit = cluster
        .executor("xa1")
        .expect("the executor is part of the cluster");
    unit.host.name = name.parse().expect("valid executor name");
    unit.host.address = fake.address;
    cluster
        .publish_hosts()
        .await
        .expect("the host list can be published");
    let address = zone::caller_address(cluster, "a1");
    let mut found = None;
    zone::wait_until("the executor receives a request", async || {
        let mut job = zone::job(zone::AT_MOST_ONCE, b"x");
        job.deadline_ms = Some(Millis(500));
        found = Some(submit(address, job, ResubmitPolicy::Once).await.result);
        fake.connection_count() > 0
    })
    .await;
    match found {
        Some(CallResult::Answer(_, answer)) => answer.outcome.expect("a final answer").to_string(),
        other => panic!("expected an answer, found {other:?}"),
    }
}

#[test]
fn invalid_executor_reply_is_not_a_result() {
    // An executor's reply is no HTTP, is truncated, or belongs to another task. Because the task was
    // sent, its job must be answered neither as complete nor as "not run". Jobs on the next executor
    // are complete.
    let mut cluster = block_on(zone::start(1, ClusterOptions::default()));
    let caller_address = zone::caller_address(&mut cluster, "a1");
    block_on(zone::run_one_job(caller_address, zone::AT_MOST_ONCE));
    let original = cluster
        .executor("xa1")
        .expect("the executor is part of the cluster")
        .host
        .clone();
    let mut text = String::new();
    let headers = "onyxshed-task: {task}\r\nonyxshed-state: finished\r\n";
    let cases = broken_replies(headers)
        .into_iter()
        .chain(executor_replies());
    for (number, (case, reply)) in cases.enumerate() {
        let outcome = block_on(outcome_with_reply(
            &mut cluster,
            &format!("bad-{number}"),
            reply,
        ));
        writeln!(text, "{case}: {outcome}").expect("writing to a string succeeds");
    }
    insta::assert_snapshot!("executor", text);
    cluster
        .executor("xa1")
        .expect("the executor is part of the cluster")
        .host = original;
    block_on(cluster.publish_hosts()).expect("the host list can be published");
    let served = async || is_served(caller_address, zone::AT_MOST_ONCE).await;
    block_on(zone::wait_until("the real executor serves a job", served));
}

/// Returns replies of the platform that are not valid HTTP, have an error status or have an invalid
/// body.
fn platform_replies() -> Vec<CannedReply> {
    let deep = "[".repeat(100_000);
    let gap = r#"{"oldest":0,"next":9,"records":[{"offset":1,"at_ms":0,"data":""},{"offset":3,"at_ms":0,"data":""}]}"#;
    let odd = r#"{"oldest":-1,"next":1e99,"records":{}}"#;
    let hosts = r#"{"age_ms":0,"executors":[{"name":"x","upstream":"desk","zone":"a","rack":"","address":"nowhere","slots":8,"state":"live"}]}"#;
    let bodies = ["", "null", "{", &deep, gap, odd, hosts, "\u{0}"];
    let complete = bodies.map(|body| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    });
    let refused = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".to_vec();
    let not_utf8 = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\xff\xfe".to_vec();
    let broken = broken_replies("").into_iter().map(|(_, reply)| reply);
    complete
        .into_iter()
        .chain([refused, not_utf8])
        .chain(broken)
        .collect()
}

async fn status(admin: SocketAddr) -> Status {
    get(admin, STATUS_PATH)
        .await
        .expect("the status can be fetched")
}

#[test]
fn invalid_platform_replies_count_as_outage() {
    // The platform sends invalid replies. Both processes of the host continue to run and record the
    // event that the platform is lost. Once the replies are valid, they apply the configuration and
    // serve callers.
    let replies = platform_replies();
    let rounds = 2 * replies.len();
    let fakes = [
        FakeServer::start(replies.clone()),
        FakeServer::start(replies),
    ];
    let mut options = ClusterOptions::default();
    let address = |fake: &FakeServer| json!(fake.address.to_string());
    options
        .entry_settings
        .insert("platform_address".into(), address(&fakes[0]));
    options
        .control_settings
        .insert("platform_address".into(), address(&fakes[1]));
    let mut cluster = block_on(zone::start(1, options));
    block_on(async {
        let has_sent_all = async || fakes.iter().all(|fake| fake.connection_count() >= rounds);
        zone::wait_until("every reply was sent twice", has_sent_all).await;
        let result = submit(
            zone::caller_address(&mut cluster, "a1"),
            zone::job(zone::AT_MOST_ONCE, b"x"),
            ResubmitPolicy::Once,
        );
        let result = result.await.result;
        assert!(
            matches!(result, CallResult::Answer(503 | 404, _)),
            "{result}"
        );
        for process_kind in [ProcessKind::Entry, ProcessKind::Control] {
            let events = zone::timeline(&mut cluster, "a1", process_kind)
                .await
                .events;
            let is_lost = events
                .iter()
                .any(|event| event.kind == EventKind::PlatformLost);
            assert!(
                is_lost,
                "{process_kind:?} has not recorded that the platform is lost"
            );
        }
        let original = cluster.platform_address().expect("the platform runs");
        fakes.iter().for_each(|fake| fake.redirect_to(original));
        let caller_address = zone::caller_address(&mut cluster, "a1");
        zone::run_one_job(caller_address, zone::AT_MOST_ONCE).await;
    });
}

#[test]
fn invalid_records_are_ignored_and_counted() {
    // The log contains records of an unknown kind or version, and data that is no record. All hosts
    // ignore and count them, and the records after them come into force.
    let deep = "[".repeat(60_000);
    let records = [
        "",
        "null",
        "no record",
        &deep,
        "{}",
        r#"{"change_v9":{"change_id":"01ARZ3NDEKTSV4RRFFQ69G5FAV"}}"#,
        r#"{"change_v1":{"change_id":"7"}}"#,
        r#"{"change_v1":{"change_id":"01ARZ3NDEKTSV4RRFFQ69G5FAV","based_on":-1,"body":{}}}"#,
        r#"{"snapshot_v1":{"revision":1,"weights":{}}}"#,
        r#"{"claims_v2":{}}"#,
        r#"{"claims_v1":{"by":"zz","batch":1,"claims":[]}}"#,
    ];
    let mut cluster = block_on(zone::start(1, ClusterOptions::default()));
    let caller_address = zone::caller_address(&mut cluster, "a1");
    block_on(async {
        zone::run_one_job(caller_address, zone::AT_MOST_ONCE).await;
        let platform = cluster.platform_address().expect("the platform runs");
        for stream in [CONFIG_STREAM, CLAIMS_STREAM] {
            for record in &records {
                let body = record.as_bytes().to_vec();
                call(platform, Method::Post, &records_path(stream), body)
                    .await
                    .expect("the platform accepts appends");
            }
        }
        zone::publish(&cluster, "late", false).await;
        zone::run_one_job(caller_address, "late").await;
        let events = zone::timeline(&mut cluster, "a1", ProcessKind::Control)
            .await
            .events;
        let ignored = events
            .iter()
            .filter(|event| event.kind == EventKind::ConfigRecordIgnored);
        assert_eq!(ignored.count(), records.len());
        let admin = cluster
            .host("a1")
            .expect("the host is part of the cluster")
            .admin_address(ProcessKind::Entry)
            .expect("the entry process runs");
        let details = status(admin).await.details;
        assert_eq!(details["unreadable_records"], records.len());
    });
}
