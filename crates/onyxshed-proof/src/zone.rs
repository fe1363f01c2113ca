//! Helpers for tests that are not written as scenarios. They start one zone of real processes,
//! publish two classes and submit jobs, and panic if a step fails.

use std::net::SocketAddr;
use std::time::Instant;

use onyxshed_core::{ClassTarget, Millis, Outcome, SubmissionId};
use onyxshed_wire::admin::{STATUS_PATH, Status, TIMELINE_PATH, TimelinePage};
use onyxshed_wire::caller::{CopyMark, Submission};
use ulid::Ulid;

use crate::caller::{CallResult, ResubmitPolicy, submit};
use crate::cluster::topology::UPSTREAM;
use crate::cluster::{Cluster, ClusterOptions, ProcessKind, Topology};
use crate::remote::{WAIT_TIMEOUT, get, pause};

/// Name of the class whose tasks run at most once.
pub const AT_MOST_ONCE: &str = "fee";

/// Name of the class whose tasks may run twice.
pub const MAY_RUN_TWICE: &str = "draw";

/// Starts zone `a` with one executor, and publishes the classes [`AT_MOST_ONCE`] and
/// [`MAY_RUN_TWICE`].
pub async fn start(entry_hosts: u32, options: ClusterOptions) -> Cluster {
    let topology = Topology {
        zones: vec!["a".into()],
        entry_hosts,
        executors: 1,
    };
    let cluster = Cluster::start(&topology, options)
        .await
        .expect("the cluster starts");
    publish(&cluster, AT_MOST_ONCE, false).await;
    publish(&cluster, MAY_RUN_TWICE, true).await;
    cluster
}

/// Publishes a class whose jobs must finish within 5 s.
pub async fn publish(cluster: &Cluster, class: &str, may_run_twice: bool) {
    publish_within(cluster, class, Millis(5_000), may_run_twice).await;
}

/// Publishes a class whose jobs must finish within `within`.
pub async fn publish_within(cluster: &Cluster, class: &str, within: Millis, may_run_twice: bool) {
    let target = ClassTarget {
        class: class.parse().expect("valid class name"),
        upstream: UPSTREAM.parse().expect("valid upstream name"),
        finish_within_ms: within,
        may_run_twice,
    };
    let output = cluster
        .put_target(&target, None)
        .await
        .expect("`onyxshed target put` can be run");
    assert_eq!(output.code, Some(0), "{}", output.text);
}

/// Returns the address where an entry host serves callers.
pub fn caller_address(cluster: &mut Cluster, host: &str) -> SocketAddr {
    cluster
        .host(host)
        .expect("the host is part of the cluster")
        .caller_address()
        .expect("the entry process runs")
}

/// Creates a job of one task that echoes `payload`.
pub fn job(class: &str, payload: &[u8]) -> Submission {
    Submission {
        submission: SubmissionId::unbound(Ulid::generate()),
        class: class.parse().expect("valid class name"),
        deadline_ms: None,
        copy: CopyMark::First,
        tasks: vec![payload.to_vec()],
    }
}

/// Submits a valid job, again after a "not run" or "unknown" answer, and checks that its final
/// answer is complete.
pub async fn run_one_job(address: SocketAddr, class: &str) {
    let payload = Ulid::generate().to_string().into_bytes();
    let timed_result = submit(address, job(class, &payload), ResubmitPolicy::UntilRun).await;
    match timed_result.result {
        CallResult::Answer(200, answer) => {
            assert_eq!(answer.outcome, Some(Outcome::Complete));
            assert_eq!(answer.results, Some(vec![payload]));
        }
        other => panic!("expected a complete answer, found {other}"),
    }
}

/// Waits until a condition is met. `what` names the condition in the panic after
/// [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        pause().await;
    }
}

/// Waits until the status of a host's entry process shows `peers` live peers. Before that, the host
/// answers a copy of a job that a peer holds as "holder unreachable".
pub async fn wait_until_peers_are_known(cluster: &mut Cluster, host: &str, peers: u64) {
    let address = cluster
        .host(host)
        .expect("the host is part of the cluster")
        .admin_address(ProcessKind::Entry)
        .expect("the entry process runs");
    let knows_peers = async || {
        let status: Status = get(address, STATUS_PATH)
            .await
            .expect("the entry process answers");
        status.details["live_peers"] == peers
    };
    wait_until("the host knows its peers", knows_peers).await;
}

/// Fetches the time line of one process of an entry host: the events that it has recorded and still
/// keeps.
pub async fn timeline(
    cluster: &mut Cluster,
    host: &str,
    process_kind: ProcessKind,
) -> TimelinePage {
    let address = cluster
        .host(host)
        .expect("the host is part of the cluster")
        .admin_address(process_kind)
        .expect("the process runs");
    get(address, TIMELINE_PATH)
        .await
        .expect("the time line can be fetched")
}
