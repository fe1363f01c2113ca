//! Bad input from those whom the processes ask: executors, the platform, the log's records.

#[path = "support/fake.rs"]
mod fake;

use std::fmt::Write as _;
use std::net::SocketAddr;

use async_io::block_on;
use fake::{Canned, Fake};
use http_types::Method;
use onyxshed_core::{EventKind, Millis};
use onyxshed_proof::caller::{Heard, Patience, submit};
use onyxshed_proof::cluster::{Cluster, Given, Part};
use onyxshed_proof::remote::{call, get};
use onyxshed_proof::zone;
use onyxshed_wire::admin::{STATUS_PATH, Status};
use onyxshed_wire::platform::{CLAIMS_STREAM, CONFIG_STREAM, records_path};
use serde_json::json;
use ulid::Ulid;

/// Replies that are no HTTP, or break their word.
fn broken_replies(headers: &str) -> Vec<(&'static str, Canned)> {
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

/// Replies of an executor, good HTTP all of them.
fn executor_replies() -> Vec<(&'static str, Canned)> {
    let reply = |headers: &str| -> Canned {
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

/// Submits a good job once; tells whether it got its whole answer.
async fn is_served(address: SocketAddr, class: &str) -> bool {
    let payload = Ulid::generate().to_string().into_bytes();
    let heard = submit(address, zone::job(class, &payload), Patience::Once).await;
    match heard.heard {
        Heard::Answer(200, answer) => answer.results == Some(vec![payload]),
        _ => false,
    }
}

/// Puts a server in the executor's place and gets how a job ends with it.
async fn end_with(cluster: &mut Cluster, name: &str, reply: Canned) -> String {
    let fake = Fake::start(vec![reply]);
    let unit = cluster.executor("xa1").expect("the test's own steps work");
    unit.host.name = name.parse().expect("the test's own steps work");
    unit.host.address = fake.address;
    cluster
        .publish_hosts()
        .await
        .expect("the test's own steps work");
    let address = zone::callers(cluster, "a1");
    let mut found = None;
    zone::until("the executor is asked", async || {
        let mut job = zone::job(zone::ONCE, b"x");
        job.deadline_ms = Some(Millis(500));
        found = Some(submit(address, job, Patience::Once).await.heard);
        fake.asked() > 0
    })
    .await;
    match found {
        Some(Heard::Answer(_, answer)) => answer
            .outcome
            .expect("the test's own steps work")
            .to_string(),
        other => panic!("a caller heard {other:?}"),
    }
}

#[test]
fn a_bad_reply_of_an_executor_is_no_result() {
    // An executor's reply is no HTTP, is cut short, or belongs to another task. The task was sent, so
    // its job is never called complete, and never "not run"; the next executor's jobs are complete.
    let mut cluster = block_on(zone::start(1, Given::default()));
    let good = zone::callers(&mut cluster, "a1");
    block_on(zone::serve_one(good, zone::ONCE));
    let real = cluster
        .executor("xa1")
        .expect("the test's own steps work")
        .host
        .clone();
    let mut text = String::new();
    let headers = "onyxshed-task: {task}\r\nonyxshed-state: finished\r\n";
    let cases = broken_replies(headers)
        .into_iter()
        .chain(executor_replies());
    for (number, (what, reply)) in cases.enumerate() {
        let outcome = block_on(end_with(&mut cluster, &format!("bad-{number}"), reply));
        writeln!(text, "{what}: {outcome}").expect("the test's own steps work");
    }
    insta::assert_snapshot!("executor", text);
    cluster
        .executor("xa1")
        .expect("the test's own steps work")
        .host = real;
    block_on(cluster.publish_hosts()).expect("the test's own steps work");
    let served = async || is_served(good, zone::ONCE).await;
    block_on(zone::until("the real executor serves", served));
}

/// Replies of the platform with bodies that can't be read.
fn platform_replies() -> Vec<Canned> {
    let deep = "[".repeat(100_000);
    let gap = r#"{"oldest":0,"next":9,"records":[{"offset":1,"at_ms":0,"data":""},{"offset":3,"at_ms":0,"data":""}]}"#;
    let odd = r#"{"oldest":-1,"next":1e99,"records":{}}"#;
    let hosts = r#"{"age_ms":0,"executors":[{"name":"x","upstream":"desk","zone":"a","rack":"","address":"nowhere","slots":8,"state":"live"}]}"#;
    let bodies = ["", "null", "{", &deep, gap, odd, hosts, "\u{0}"];
    let whole = bodies.map(|body| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    });
    let refused = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".to_vec();
    let latin = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\xff\xfe".to_vec();
    let broken = broken_replies("").into_iter().map(|(_, reply)| reply);
    whole
        .into_iter()
        .chain([refused, latin])
        .chain(broken)
        .collect()
}

async fn status(admin: SocketAddr) -> Status {
    get(admin, STATUS_PATH)
        .await
        .expect("the test's own steps work")
}

#[test]
fn bad_replies_of_the_platform_are_an_outage() {
    // Whatever the platform answers, both processes live on and tell that it is lost. Once it answers
    // as it should, they take up the configuration and serve.
    let replies = platform_replies();
    let rounds = 2 * replies.len();
    let fakes = [Fake::start(replies.clone()), Fake::start(replies)];
    let mut given = Given::default();
    let address = |fake: &Fake| json!(fake.address.to_string());
    given
        .entry_settings
        .insert("platform_address".into(), address(&fakes[0]));
    given
        .control_settings
        .insert("platform_address".into(), address(&fakes[1]));
    let mut cluster = block_on(zone::start(1, given));
    block_on(async {
        let is_through = async || fakes.iter().all(|fake| fake.asked() >= rounds);
        zone::until("all replies were tried twice", is_through).await;
        let heard = submit(
            zone::callers(&mut cluster, "a1"),
            zone::job(zone::ONCE, b"x"),
            Patience::Once,
        );
        let heard = heard.await.heard;
        assert!(matches!(heard, Heard::Answer(503 | 404, _)), "{heard}");
        for part in [Part::Entry, Part::Control] {
            let events = zone::timeline(&mut cluster, "a1", part).await.events;
            let is_lost = events
                .iter()
                .any(|event| event.kind == EventKind::PlatformLost);
            assert!(is_lost, "{part:?} does not tell that the platform is lost");
        }
        let real = cluster
            .platform_address()
            .expect("the test's own steps work");
        fakes.iter().for_each(|fake| fake.lead_to(real));
        let good = zone::callers(&mut cluster, "a1");
        zone::serve_one(good, zone::ONCE).await;
    });
}

#[test]
fn records_that_cannot_be_read_are_ignored_and_counted() {
    // Somebody appends records of a kind or version that this release does not know, or no records at
    // all. All hosts ignore them alike and count them, and what comes behind them takes force.
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
    let mut cluster = block_on(zone::start(1, Given::default()));
    let good = zone::callers(&mut cluster, "a1");
    block_on(async {
        zone::serve_one(good, zone::ONCE).await;
        let platform = cluster
            .platform_address()
            .expect("the test's own steps work");
        for stream in [CONFIG_STREAM, CLAIMS_STREAM] {
            for record in &records {
                let body = record.as_bytes().to_vec();
                call(platform, Method::Post, &records_path(stream), body)
                    .await
                    .expect("the test's own steps work");
            }
        }
        zone::publish(&cluster, "late", false).await;
        zone::serve_one(good, "late").await;
        let events = zone::timeline(&mut cluster, "a1", Part::Control)
            .await
            .events;
        let ignored = events
            .iter()
            .filter(|event| event.kind == EventKind::ConfigRecordIgnored);
        assert_eq!(ignored.count(), records.len());
        let admin = cluster
            .host("a1")
            .expect("the test's own steps work")
            .admin_address(Part::Entry)
            .expect("the test's own steps work");
        let details = status(admin).await.details;
        assert_eq!(details["unreadable_records"], records.len());
    });
}
