//! An entry process that receives further signals while it drains.

use std::time::Duration;

use async_io::block_on;
use futures_lite::future::zip;
use http_types::Method;
use onyxshed_core::{Millis, Outcome, ResultCode, SubmissionId};
use onyxshed_http::client::call_once;
use onyxshed_proof::caller::{CallResult, ResubmitPolicy, submit};
use onyxshed_proof::cluster::{Cluster, ClusterOptions, ProcessKind};
use onyxshed_proof::process::Process;
use onyxshed_proof::zone;
use onyxshed_wire::admin::READY_PATH;
use onyxshed_wire::caller::Submission;
use serde_json::json;

/// Exit code of a process that was stopped by SIGQUIT.
const QUIT_CODE: i32 = 5;

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
    let has_started = async || {
        cluster
            .starts()
            .iter()
            .any(|start| start.task.submission == id)
    };
    zone::wait_until("the task runs", has_started).await;
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
    let mut code = None;
    let has_ended = async || {
        let process = cluster
            .host("a1")
            .expect("the host was started")
            .process(ProcessKind::Entry);
        let ended = process
            .expect("the host was started")
            .exit_status()
            .expect("the exit status can be read");
        code = ended.and_then(|status| status.code());
        ended.is_some()
    };
    block_on(zone::wait_until("the entry process has exited", has_ended));
    assert_eq!(code, Some(QUIT_CODE));
}
