//! Invalid input at every listening port: for callers, peers, operators and control processes.
//!
//! Each invalid input is answered with a result code, or its connection is closed and counted. None
//! prevents another caller from being served.

#[path = "support/cases.rs"]
mod cases;
#[path = "support/raw.rs"]
mod raw;

use std::fmt::Write as _;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};

use async_io::block_on;
use cases::{
    Case, bad_bodies, bad_heads, bad_ids, get, post_with_length, transfers, wrong_lengths,
};
use onyxshed_core::EventKind;
use onyxshed_proof::cluster::{Cluster, ClusterOptions, ProcessKind};
use onyxshed_proof::zone;
use raw::After::{Close, Wait};
use raw::{exchange, read_all, summarize_replies};
use serde_json::json;

/// Returns options with limits that are small enough to be reached quickly. The server, not the test,
/// decides that input is late.
fn cluster_options() -> ClusterOptions {
    let limits = json!({
        "body_max_bytes": 65_536,
        "head_timeout_ms": 300,
        "body_timeout_ms": 300,
        "connections_max": 64,
    });
    let mut cluster_options = ClusterOptions::default();
    cluster_options
        .entry_settings
        .extend(limits.as_object().expect("a JSON object").clone());
    cluster_options
}

/// Returns the address on which a process of an entry host listens for a purpose, such as `peer`.
fn address(
    cluster: &mut Cluster,
    host: &str,
    process_kind: ProcessKind,
    purpose: &str,
) -> SocketAddr {
    let process = cluster
        .host(host)
        .expect("the host is part of the cluster")
        .process(process_kind)
        .expect("the process runs");
    process
        .address(purpose)
        .expect("the ready line contains the address")
}

/// Sends each case to `target_address` and returns a summary of the replies. After each case, checks
/// that a valid job is served at `caller_address`.
fn send_cases(target_address: SocketAddr, caller_address: SocketAddr, cases: Vec<Case>) -> String {
    let mut text = String::new();
    for (name, bytes, after) in cases {
        let reply_summary = summarize_replies(&exchange(target_address, &bytes, after));
        writeln!(text, "{name}: {reply_summary}").expect("writing to a string succeeds");
        block_on(zone::run_one_job(caller_address, zone::MAY_RUN_TWICE));
    }
    text
}

/// Returns how many requests and connections a process has rejected.
async fn rejection_count(cluster: &mut Cluster, process_kind: ProcessKind) -> usize {
    let page = zone::timeline(cluster, "a1", process_kind).await;
    let events = page.events.iter();
    events
        .filter(|event| event.kind == EventKind::RequestRejected)
        .count()
}

#[test]
fn invalid_input_of_callers_and_peers_is_answered_with_result_code() {
    // Invalid input of a caller or a peer is answered with a result code, and the process continues to
    // run.
    let mut cluster = block_on(zone::start(1, cluster_options()));
    let caller_address = zone::caller_address(&mut cluster, "a1");
    let peer = address(&mut cluster, "a1", ProcessKind::Entry, "peer");
    let all = || {
        let parts = [
            bad_heads(),
            wrong_lengths(),
            transfers(),
            bad_bodies(),
            bad_ids(),
        ];
        parts.into_iter().flatten().collect()
    };
    let reply_summary = send_cases(caller_address, caller_address, all());
    insta::assert_snapshot!("callers", reply_summary);
    let counted = reply_summary.matches("400/3101").count();
    assert!(block_on(rejection_count(&mut cluster, ProcessKind::Entry)) >= counted / 2);
    assert_eq!(send_cases(peer, caller_address, all()), reply_summary);
}

#[test]
fn invalid_input_of_operators_is_answered_with_result_code() {
    let mut cluster = block_on(zone::start(1, cluster_options()));
    let caller_address = zone::caller_address(&mut cluster, "a1");
    let cases = || {
        let mut cases = bad_heads();
        cases.extend([
            (
                "filter no number",
                get("/v1/timeline?since_ms=soon", ""),
                Close,
            ),
            (
                "filter no id",
                get("/v1/timeline?submission=%ff", ""),
                Close,
            ),
            (
                "filter of no class",
                get("/v1/timeline?class=%20", ""),
                Close,
            ),
            ("body too large", post_with_length(&[b' '; 300_000]), Wait),
        ]);
        cases
    };
    let entry_admin = address(&mut cluster, "a1", ProcessKind::Entry, "admin");
    let reply_summary = send_cases(entry_admin, caller_address, cases());
    insta::assert_snapshot!("operators", reply_summary);
    let control_admin = address(&mut cluster, "a1", ProcessKind::Control, "admin");
    assert_eq!(
        send_cases(control_admin, caller_address, cases()),
        reply_summary
    );
}

#[test]
fn idle_connections_are_closed_when_new_callers_connect() {
    // Thousands of connections are opened and send nothing. A caller that connects after them is
    // served, because at the connection limit the server closes the connections that were idle longest.
    // Each gets a reply, since a request of its caller may cross the closing.
    const IDLE: usize = 2_000;
    let mut cluster = block_on(zone::start(1, cluster_options()));
    let caller_address = zone::caller_address(&mut cluster, "a1");
    let mut idle = Vec::new();
    for number in 0..IDLE {
        idle.push(TcpStream::connect(caller_address).expect("the server accepts connections"));
        if number % 500 == 0 {
            block_on(zone::run_one_job(caller_address, zone::MAY_RUN_TWICE));
        }
    }
    block_on(zone::run_one_job(caller_address, zone::AT_MOST_ONCE));
    let reply_summary = summarize_replies(&read_all(&mut idle[0]));
    assert_eq!(reply_summary, "503/3108 retry-after 1");
}

#[test]
fn caller_is_rejected_with_retry_delay_when_all_connections_are_busy() {
    // Requests in flight use all allowed connections. The next caller immediately receives the
    // reply that nothing was run and when to retry; the earlier callers get their answers.
    let mut cluster = block_on(zone::start(1, cluster_options()));
    let caller_address = zone::caller_address(&mut cluster, "a1");
    block_on(zone::run_one_job(caller_address, zone::MAY_RUN_TWICE));
    let hold = json!({"service_ms": 2_000}).to_string();
    let mut busy: Vec<TcpStream> = Vec::new();
    for _ in 0..64 {
        let body = serde_json::to_vec(&zone::job(zone::MAY_RUN_TWICE, hold.as_bytes()))
            .expect("a submission can be serialized");
        let mut stream =
            TcpStream::connect(caller_address).expect("the server accepts connections");
        stream
            .write_all(&post_with_length(&body))
            .expect("the request can be written");
        busy.push(stream);
    }
    let request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    let is_rejected = async || {
        summarize_replies(&exchange(caller_address, request, Close)) == "503/3108 retry-after 1"
    };
    block_on(zone::wait_until("a caller is rejected", is_rejected));
    for stream in &mut busy {
        stream
            .shutdown(std::net::Shutdown::Write)
            .expect("the connection can be closed for writing");
        let reply_summary = summarize_replies(&read_all(stream));
        assert!(reply_summary.contains('/'), "{reply_summary}");
    }
    block_on(zone::run_one_job(caller_address, zone::MAY_RUN_TWICE));
}

#[test]
fn invalid_messages_between_processes_are_dropped_and_counted() {
    // Bytes that are no valid message arrive at the ports of the protocol between processes. Each such
    // connection is closed and counted, while snapshots are exchanged and callers are served as before.
    let words =
        |words: &[u32]| -> Vec<u8> { words.iter().flat_map(|word| word.to_le_bytes()).collect() };
    let garbage = [
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
        vec![0xff; 4_096],
        words(&[u32::MAX, u32::MAX]),
        words(&[0, 0x0fff_ffff]),
        words(&[0, 4, 0, 0x0003_0000, 7, 7, 7, 7, 7, 7]),
    ];
    let mut cluster = block_on(zone::start(1, cluster_options()));
    let caller_address = zone::caller_address(&mut cluster, "a1");
    for (process_kind, purpose) in [
        (ProcessKind::Entry, "control"),
        (ProcessKind::Control, "peer"),
    ] {
        let target_address = address(&mut cluster, "a1", process_kind, purpose);
        let before = block_on(rejection_count(&mut cluster, process_kind));
        for bytes in &garbage {
            exchange(target_address, bytes, Close);
            block_on(zone::run_one_job(caller_address, zone::AT_MOST_ONCE));
        }
        let counted =
            async || rejection_count(&mut cluster, process_kind).await == before + garbage.len();
        block_on(zone::wait_until(
            "all invalid messages are counted",
            counted,
        ));
    }
}

#[test]
fn control_process_connects_despite_many_idle_connections() {
    // While the control process is down, more connections than the control port of the entry process
    // accepts are opened and send nothing. The oldest are closed when the new control process connects,
    // so a target that is published afterwards comes into force.
    const FLOOD: usize = 300;
    let mut cluster = block_on(zone::start(1, cluster_options()));
    let caller_address = zone::caller_address(&mut cluster, "a1");
    let target_address = address(&mut cluster, "a1", ProcessKind::Entry, "control");
    let killed = cluster.kill_process(ProcessKind::Control, "a1");
    killed.expect("the control process can be killed");
    let mut flood = Vec::new();
    // The second wave also uses the connection that the killed control process has left free.
    for wave in 1..=2 {
        flood.extend((0..FLOOD).filter_map(|_| TcpStream::connect(target_address).ok()));
        assert_eq!(flood.len(), wave * FLOOD);
        let is_rejected =
            async || rejection_count(&mut cluster, ProcessKind::Entry).await > (wave - 1) * FLOOD;
        block_on(zone::wait_until("the port is full", is_rejected));
    }
    let hosts = ["a1".into()];
    let restarted = cluster.restart(ProcessKind::Control, &hosts);
    block_on(restarted).expect("the control process can be restarted");
    block_on(zone::publish(&cluster, "late", false));
    let in_force = async || {
        let page = zone::timeline(&mut cluster, "a1", ProcessKind::Entry).await;
        let mut events = page.events.iter();
        events.any(|event| event.kind == EventKind::ConfigInForce && event.detail == "revision 3")
    };
    block_on(zone::wait_until("the target is in force", in_force));
    block_on(zone::run_one_job(caller_address, "late"));
}
