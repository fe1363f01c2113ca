//! Bad input at every door that is open to others: callers, peers, admin, control.
//!
//! Each gets a numbered answer or is dropped and counted; none stops another caller.

#[path = "support/cases.rs"]
mod cases;
#[path = "support/raw.rs"]
mod raw;

use std::fmt::Write as _;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};

use async_io::block_on;
use cases::{Case, bad_bodies, bad_heads, bad_ids, get, sized, transfers, wrong_lengths};
use onyxshed_core::EventKind;
use onyxshed_proof::cluster::{Cluster, ClusterOptions, ProcessKind};
use onyxshed_proof::zone;
use raw::After::{Close, Wait};
use raw::{exchange, read_all, summarize_replies};
use serde_json::json;

/// Limits small enough to be met soon; what is late is told by the server, not by the test.
fn cluster_options() -> ClusterOptions {
    let limits = json!({
        "body_max_bytes": 65_536,
        "head_timeout_ms": 300,
        "body_timeout_ms": 300,
        "connections_max": 64,
    });
    let mut cluster_options = ClusterOptions::default();
    cluster_options.entry_settings.extend(
        limits
            .as_object()
            .expect("the test's own steps work")
            .clone(),
    );
    cluster_options
}

/// Gets another address of one of an entry host's processes.
fn address(
    cluster: &mut Cluster,
    host: &str,
    process_kind: ProcessKind,
    purpose: &str,
) -> SocketAddr {
    let process = cluster
        .host(host)
        .expect("the test's own steps work")
        .process(process_kind)
        .expect("the test's own steps work");
    process.address(purpose).expect("the test's own steps work")
}

/// Knocks with each and gets what was answered; a good caller is served behind each.
fn send_cases(target_address: SocketAddr, caller_address: SocketAddr, cases: Vec<Case>) -> String {
    let mut text = String::new();
    for (name, bytes, after) in cases {
        let reply_summary = summarize_replies(&exchange(target_address, &bytes, after));
        writeln!(text, "{name}: {reply_summary}").expect("the test's own steps work");
        block_on(zone::run_one_job(caller_address, zone::MAY_RUN_TWICE));
    }
    text
}

/// Gets how many requests and connections a process has turned away.
async fn rejection_count(cluster: &mut Cluster, process_kind: ProcessKind) -> usize {
    let page = zone::timeline(cluster, "a1", process_kind).await;
    let events = page.events.iter();
    events
        .filter(|event| event.kind == EventKind::RequestRejected)
        .count()
}

#[test]
fn callers_and_peers_are_told_what_is_wrong() {
    // Whatever a caller or another entry host sends, it is told a number and the process lives on.
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
fn operators_are_told_what_is_wrong() {
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
            ("body too large", sized(&[b' '; 300_000]), Wait),
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
fn idle_connections_make_room_for_callers() {
    // Connections that never ask anything come by the thousand. A caller that comes behind them is
    // served: the address keeps to its limit, and the longest idle make room.
    const IDLE: usize = 2_000;
    let mut cluster = block_on(zone::start(1, cluster_options()));
    let caller_address = zone::caller_address(&mut cluster, "a1");
    let mut idle = Vec::new();
    for number in 0..IDLE {
        idle.push(TcpStream::connect(caller_address).expect("the test's own steps work"));
        if number % 500 == 0 {
            block_on(zone::run_one_job(caller_address, zone::MAY_RUN_TWICE));
        }
    }
    block_on(zone::run_one_job(caller_address, zone::AT_MOST_ONCE));
    assert_eq!(summarize_replies(&read_all(&mut idle[0])), "closed");
}

#[test]
fn a_caller_is_told_when_every_connection_is_busy() {
    // Every place is taken by a request in flight. The next caller is told at once that nothing was
    // run, and when to come back; the ones before it get their answers.
    let mut cluster = block_on(zone::start(1, cluster_options()));
    let caller_address = zone::caller_address(&mut cluster, "a1");
    block_on(zone::run_one_job(caller_address, zone::MAY_RUN_TWICE));
    let hold = json!({"service_ms": 2_000}).to_string();
    let mut busy: Vec<TcpStream> = Vec::new();
    for _ in 0..64 {
        let body = serde_json::to_vec(&zone::job(zone::MAY_RUN_TWICE, hold.as_bytes()))
            .expect("the test's own steps work");
        let mut stream = TcpStream::connect(caller_address).expect("the test's own steps work");
        stream
            .write_all(&sized(&body))
            .expect("the test's own steps work");
        busy.push(stream);
    }
    let request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    let is_rejected = async || {
        summarize_replies(&exchange(caller_address, request, Close)) == "503/3108 retry-after 1"
    };
    block_on(zone::wait_until("a caller is turned away", is_rejected));
    for stream in &mut busy {
        stream
            .shutdown(std::net::Shutdown::Write)
            .expect("the test's own steps work");
        let reply_summary = summarize_replies(&read_all(stream));
        assert!(reply_summary.contains('/'), "{reply_summary}");
    }
    block_on(zone::run_one_job(caller_address, zone::MAY_RUN_TWICE));
}

#[test]
fn garbage_between_processes_is_dropped_and_counted() {
    // Bytes that are no message reach the ports of the processes' own protocol. The connection is
    // closed, the count goes up, and snapshots and callers go on.
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
        block_on(zone::wait_until("all garbage is counted", counted));
    }
}

#[test]
fn a_flood_of_silent_connections_shuts_out_no_control_process() {
    // While the control process is gone, more connections than the entry's control port takes are opened
    // and say nothing. The oldest make room for the new control process, so a target that is published
    // then still comes into force.
    const FLOOD: usize = 300;
    let mut cluster = block_on(zone::start(1, cluster_options()));
    let caller_address = zone::caller_address(&mut cluster, "a1");
    let target_address = address(&mut cluster, "a1", ProcessKind::Entry, "control");
    let killed = cluster.kill_process(ProcessKind::Control, "a1");
    killed.expect("the test's own steps work");
    let mut flood = Vec::new();
    // The second wave takes the place that the dead control process leaves.
    for wave in 1..=2 {
        flood.extend((0..FLOOD).filter_map(|_| TcpStream::connect(target_address).ok()));
        assert_eq!(flood.len(), wave * FLOOD);
        let is_rejected =
            async || rejection_count(&mut cluster, ProcessKind::Entry).await > (wave - 1) * FLOOD;
        block_on(zone::wait_until("the port is full", is_rejected));
    }
    let hosts = ["a1".into()];
    let restarted = cluster.restart(ProcessKind::Control, &hosts);
    block_on(restarted).expect("the test's own steps work");
    block_on(zone::publish(&cluster, "late", false));
    let in_force = async || {
        let page = zone::timeline(&mut cluster, "a1", ProcessKind::Entry).await;
        let mut events = page.events.iter();
        events.any(|event| event.kind == EventKind::ConfigInForce && event.detail == "revision 3")
    };
    block_on(zone::wait_until("the target is in force", in_force));
    block_on(zone::run_one_job(caller_address, "late"));
}
