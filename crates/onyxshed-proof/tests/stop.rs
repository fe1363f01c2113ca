//! Stops of an entry process that are not left to run their course.

use std::time::Duration;

use async_io::block_on;
use futures_lite::future::zip;
use http_types::Method;
use onyxshed_core::{Millis, ResultCode, SubmissionId};
use onyxshed_http::client::call_once;
use onyxshed_proof::caller::{CallResult, ResubmitPolicy, submit};
use onyxshed_proof::cluster::{Cluster, ClusterOptions, ProcessKind};
use onyxshed_proof::process::Process;
use onyxshed_proof::zone;
use onyxshed_wire::admin::READY_PATH;
use serde_json::json;

/// Exit code of a process that was told to stop at once.
const QUIT_CODE: i32 = 5;

async fn readiness(cluster: &mut Cluster) -> u16 {
    let unit = cluster.host("a1").expect("it runs");
    let admin = unit
        .admin_address(ProcessKind::Entry)
        .expect("it serves operators");
    let request = call_once(
        admin,
        Method::Get,
        READY_PATH,
        Vec::new(),
        Duration::from_secs(20),
    );
    request.await.expect("it answers").status
}

/// Stops the host with work in flight: gracefully, again, and at last at once.
async fn stop_three_times(cluster: &mut Cluster, id: SubmissionId) {
    let entry = |cluster: &mut Cluster, act: fn(&Process)| {
        act(cluster
            .host("a1")
            .expect("it runs")
            .process(ProcessKind::Entry)
            .expect("it runs"));
    };
    let has_started = async || {
        cluster
            .starts()
            .iter()
            .any(|start| start.task.submission == id)
    };
    zone::wait_until("the task runs", has_started).await;
    for _ in 0..2 {
        entry(cluster, |process| process.ask_to_stop().expect("a signal"));
        let is_unready = async || readiness(cluster).await == 503;
        zone::wait_until("it is not ready", is_unready).await;
        let address = zone::caller_address(cluster, "a1");
        let rejected = submit(
            address,
            zone::job(zone::AT_MOST_ONCE, b"late"),
            ResubmitPolicy::Once,
        )
        .await;
        match rejected.result {
            CallResult::Answer(503, answer) => assert_eq!(answer.code, Some(ResultCode::Draining)),
            other => panic!("a late caller heard {other}"),
        }
    }
    entry(cluster, |process| process.ask_to_quit().expect("a signal"));
}

#[test]
fn only_sigquit_cuts_off_work_in_flight() {
    // A task of 25 s is in flight when the operator sends SIGTERM, and again because it takes long. The
    // host says that it is not ready, turns new jobs away as "not run" at once, and goes on waiting.
    // Only SIGQUIT ends it: the caller's connection breaks, and the exit code says so.
    let mut cluster = block_on(zone::start(1, ClusterOptions::default()));
    let address = zone::caller_address(&mut cluster, "a1");
    block_on(zone::run_one_job(address, zone::AT_MOST_ONCE));
    block_on(zone::publish_within(
        &cluster,
        "wipe",
        Millis(60_000),
        false,
    ));
    let job = zone::job("wipe", json!({"service_ms": 25_000}).to_string().as_bytes());
    let id = job.submission;
    let submitted = submit(address, job, ResubmitPolicy::UntilRun);
    let (first, ()) = block_on(zip(submitted, stop_three_times(&mut cluster, id)));
    assert!(
        matches!(first.result, CallResult::Lost(_)),
        "{}",
        first.result
    );
    let mut code = None;
    let has_ended = async || {
        let process = cluster
            .host("a1")
            .expect("it ran")
            .process(ProcessKind::Entry);
        let ended = process.expect("it ran").ended().expect("it is ours");
        code = ended.and_then(|status| status.code());
        ended.is_some()
    };
    block_on(zone::wait_until("it has ended", has_ended));
    assert_eq!(code, Some(QUIT_CODE));
}
