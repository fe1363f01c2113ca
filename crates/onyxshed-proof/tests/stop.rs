//! An entry process that receives further signals while it drains.

use std::time::Duration;

use async_io::block_on;
use futures_lite::FutureExt;
use futures_lite::future::zip;
use http_types::Method;
use onyxshed_core::{EventKind, Millis, Outcome, ResultCode, SubmissionId};
use onyxshed_http::client::call_once;
use onyxshed_proof::caller::{CallResult, ResubmitPolicy, submit};
use onyxshed_proof::cluster::{Cluster, ClusterOptions, ProcessKind};
use onyxshed_proof::process::Process;
use onyxshed_proof::zone;
use onyxshed_wire::admin::READY_PATH;
use onyxshed_wire::caller::{CopyMark, Submission};
use serde_json::json;

/// Exit code of a process that was stopped by SIGQUIT.
const QUIT_CODE: i32 = 5;

/// Exit code of a process whose drain timed out.
const DRAIN_TIMEOUT_CODE: i32 = 4;

async fn readiness(cluster: &mut Cluster) -> u16 {
    let unit = cluster.host("a1").expect("the host runs");
    let admin = unit
        .admin_address(ProcessKind::Entry)
        .expect("the entry process runs");
    let request = call_once(
        admin,
        Method::Get,
        READY_PATH,
        Vec::new(),
        Duration::from_secs(20),
    );
    request.await.expect("the entry process answers").status
}

/// Sends SIGTERM twice and then SIGQUIT to the entry process while a task is in flight. After each
/// SIGTERM, checks that the process is not ready and rejects new jobs.
async fn stop_three_times(cluster: &mut Cluster, id: SubmissionId) {
    let entry = |cluster: &mut Cluster, act: fn(&Process)| {
        act(cluster
            .host("a1")
            .expect("the host runs")
            .process(ProcessKind::Entry)
            .expect("the host runs"));
    };
    zone::wait_until("the task runs", async || has_started(cluster, id)).await;
    for _ in 0..2 {
        entry(cluster, |process| {
            process
                .request_stop()
                .expect("the process can be signalled")
        });
        let is_unready = async || readiness(cluster).await == 503;
        zone::wait_until("the host is not ready", is_unready).await;
        let address = zone::caller_address(cluster, "a1");
        let rejected = submit(
            address,
            zone::job(zone::AT_MOST_ONCE, b"late"),
            ResubmitPolicy::Once,
        )
        .await;
        match rejected.result {
            CallResult::Answer(503, answer) => assert_eq!(answer.code, Some(ResultCode::Draining)),
            other => panic!("expected a rejection of the late job, found {other}"),
        }
    }
    entry(cluster, |process| {
        process
            .request_quit()
            .expect("the process can be signalled")
    });
}

/// Returns whether an executor has started a task of the job.
fn has_started(cluster: &Cluster, id: SubmissionId) -> bool {
    let starts = cluster.starts();
    starts.iter().any(|start| start.task.submission == id)
}

/// Creates a job whose task takes `service_ms`.
fn slow_job(service_ms: u64) -> Submission {
    let payload = json!({"service_ms": service_ms}).to_string();
    zone::job("wipe", payload.as_bytes())
}

/// Sends SIGHUP to both processes of the host once the job's task runs.
async fn hang_up_while_task_runs(cluster: &mut Cluster, id: SubmissionId) {
    zone::wait_until("the task runs", async || has_started(cluster, id)).await;
    let host = cluster.host("a1").expect("the host runs");
    for kind in [ProcessKind::Entry, ProcessKind::Control] {
        let process = host.process(kind).expect("the process was started");
        process.request_reload().expect("the signal is sent");
    }
}

// SIGHUP, sent when a terminal closes or to reload settings, ends a process without a drain.
#[test]
fn sighup_cuts_off_no_request() {
    let mut cluster = block_on(zone::start(1, ClusterOptions::default()));
    let address = zone::caller_address(&mut cluster, "a1");
    block_on(zone::publish_within(
        &cluster,
        "wipe",
        Millis(60_000),
        false,
    ));
    let job = slow_job(2_000);
    let id = job.submission;
    let submitted = submit(address, job, ResubmitPolicy::UntilRun);
    let (answer, ()) = block_on(zip(submitted, hang_up_while_task_runs(&mut cluster, id)));
    assert_eq!(
        answer.result.outcome(),
        Some(Outcome::Complete),
        "{}",
        answer.result
    );
    let host = cluster.host("a1").expect("the host was started");
    for kind in [ProcessKind::Entry, ProcessKind::Control] {
        let process = host.process(kind).expect("the process was started");
        let status = process.exit_status().expect("the exit status can be read");
        assert_eq!(status, None, "{kind:?} has ended");
    }
}

/// Sends SIGTERM to the entry process of host a1 once it has forwarded a request.
async fn stop_after_forward(cluster: &mut Cluster) {
    let has_forwarded = async || {
        let page = zone::timeline(cluster, "a1", ProcessKind::Entry).await;
        let mut events = page.events.iter();
        events.any(|event| event.kind == EventKind::JobForwarded)
    };
    zone::wait_until("the request is forwarded", has_forwarded).await;
    let host = cluster.host("a1").expect("the host runs");
    let process = host.process(ProcessKind::Entry);
    let process = process.expect("the process was started");
    process.request_stop().expect("the signal is sent");
}

/// Sends the first job to host a1, the second to host a2 and then also to a1, and stops a1 while
/// both run. Returns the results that a1 gave.
async fn stop_with_requests_in_flight(
    cluster: &mut Cluster,
    own: Submission,
    held_by_peer: Submission,
) -> [CallResult; 2] {
    let stopping = zone::caller_address(cluster, "a1");
    let peer = zone::caller_address(cluster, "a2");
    let ids = [own.submission, held_by_peer.submission];
    let copy = Submission {
        copy: CopyMark::Again,
        ..held_by_peer.clone()
    };
    let own_result = submit(stopping, own, ResubmitPolicy::Once);
    let peer_result = submit(peer, held_by_peer, ResubmitPolicy::Once);
    let forward_and_stop = async {
        let are_started = async || ids.iter().all(|id| has_started(cluster, *id));
        zone::wait_until("both tasks run", are_started).await;
        let forwarded_result = submit(stopping, copy, ResubmitPolicy::Once);
        let stop = stop_after_forward(cluster);
        zip(forwarded_result, stop).await.0.result
    };
    let on_stopping_host = async {
        let (own, forwarded) = zip(own_result, forward_and_stop).await;
        [own.result, forwarded]
    };
    // The peer's own answer is not awaited: its task outlasts the test.
    let on_peer = async {
        peer_result.await;
        std::future::pending().await
    };
    on_stopping_host.or(on_peer).await
}

// A request that is open when the drain times out is cut off, although its outcome is unknown.
#[test]
fn drain_timeout_cuts_off_no_request() {
    let mut options = ClusterOptions::default();
    options
        .entry_settings
        .insert("drain_timeout_ms".into(), 3_000.into());
    let mut cluster = block_on(zone::start(2, options));
    block_on(zone::publish_within(
        &cluster,
        "wipe",
        Millis(60_000),
        false,
    ));
    for host in ["a1", "a2"] {
        let address = zone::caller_address(&mut cluster, host);
        block_on(zone::run_one_job(address, "wipe"));
    }
    block_on(zone::wait_until_peers_are_known(&mut cluster, "a1", 1));
    let (own, held_by_peer) = (slow_job(25_000), slow_job(25_000));
    let results = block_on(stop_with_requests_in_flight(
        &mut cluster,
        own,
        held_by_peer,
    ));
    for result in results {
        match &result {
            CallResult::Answer(504, answer) => {
                assert_eq!(answer.code, Some(ResultCode::StoppedInDoubt), "{result}");
            }
            other => panic!("expected an answer, found {other}"),
        }
    }
    let code = block_on(wait_until_ended(&mut cluster));
    assert_eq!(code, Some(DRAIN_TIMEOUT_CODE));
}

/// Waits until the entry process of host a1 has exited, and returns its exit code.
async fn wait_until_ended(cluster: &mut Cluster) -> Option<i32> {
    let mut code = None;
    let has_ended = async || {
        let host = cluster.host("a1").expect("the host was started");
        let process = host.process(ProcessKind::Entry);
        let ended = process
            .expect("the process was started")
            .exit_status()
            .expect("the exit status can be read");
        code = ended.and_then(|status| status.code());
        ended.is_some()
    };
    zone::wait_until("the entry process has exited", has_ended).await;
    code
}

#[test]
fn only_sigquit_aborts_work_in_flight() {
    // A task of 25 s is in flight when an operator sends SIGTERM twice. The host reports that it is
    // not ready, immediately rejects new jobs as "not run", and continues to wait for the task.
    // Only SIGQUIT ends the process: the caller's connection is closed, and the process exits with
    // `QUIT_CODE`.
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
    let code = block_on(wait_until_ended(&mut cluster));
    assert_eq!(code, Some(QUIT_CODE));
}
