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
use onyxshed_proof::cluster::{Cluster, Given, Part};
use onyxshed_proof::zone;
use raw::After::{Close, Wait};
use raw::{exchange, read_all, replies};
use serde_json::json;

/// Limits small enough to be met soon; what is late is told by the server, not by the test.
fn given() -> Given {
    let limits = json!({
        "body_max_bytes": 65_536,
        "head_timeout_ms": 300,
        "body_timeout_ms": 300,
        "connections_max": 64,
    });
    let mut given = Given::default();
    given.entry_settings.extend(
        limits
            .as_object()
            .expect("the test's own steps work")
            .clone(),
    );
    given
}

/// Gets another address of one of an entry host's processes.
fn address(cluster: &mut Cluster, host: &str, part: Part, purpose: &str) -> SocketAddr {
    let process = cluster
        .host(host)
        .expect("the test's own steps work")
        .part(part)
        .expect("the test's own steps work");
    process.address(purpose).expect("the test's own steps work")
}

/// Knocks with each and gets what was answered; a good caller is served behind each.
fn knock(door: SocketAddr, good: SocketAddr, cases: Vec<Case>) -> String {
    let mut text = String::new();
    for (name, bytes, after) in cases {
        let answered = replies(&exchange(door, &bytes, after));
        writeln!(text, "{name}: {answered}").expect("the test's own steps work");
        block_on(zone::serve_one(good, zone::TWICE));
    }
    text
}

/// Gets how many requests and connections a process has turned away.
async fn turned_away(cluster: &mut Cluster, part: Part) -> usize {
    let page = zone::timeline(cluster, "a1", part).await;
    let events = page.events.iter();
    events
        .filter(|event| event.kind == EventKind::RequestRejected)
        .count()
}

#[test]
fn callers_and_peers_are_told_what_is_wrong() {
    // Whatever a caller or another entry host sends, it is told a number and the process lives on.
    let mut cluster = block_on(zone::start(1, given()));
    let good = zone::callers(&mut cluster, "a1");
    let peer = address(&mut cluster, "a1", Part::Entry, "peer");
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
    let answered = knock(good, good, all());
    insta::assert_snapshot!("callers", answered);
    let counted = answered.matches("400/3101").count();
    assert!(block_on(turned_away(&mut cluster, Part::Entry)) >= counted / 2);
    assert_eq!(knock(peer, good, all()), answered);
}

#[test]
fn operators_are_told_what_is_wrong() {
    let mut cluster = block_on(zone::start(1, given()));
    let good = zone::callers(&mut cluster, "a1");
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
    let of_entry = address(&mut cluster, "a1", Part::Entry, "admin");
    let answered = knock(of_entry, good, cases());
    insta::assert_snapshot!("operators", answered);
    let of_control = address(&mut cluster, "a1", Part::Control, "admin");
    assert_eq!(knock(of_control, good, cases()), answered);
}

#[test]
fn idle_connections_make_room_for_callers() {
    // Connections that never ask anything come by the thousand. A caller that comes behind them is
    // served: the address keeps to its limit, and the longest idle make room.
    const IDLE: usize = 2_000;
    let mut cluster = block_on(zone::start(1, given()));
    let good = zone::callers(&mut cluster, "a1");
    let mut idle = Vec::new();
    for number in 0..IDLE {
        idle.push(TcpStream::connect(good).expect("the test's own steps work"));
        if number % 500 == 0 {
            block_on(zone::serve_one(good, zone::TWICE));
        }
    }
    block_on(zone::serve_one(good, zone::ONCE));
    assert_eq!(replies(&read_all(&mut idle[0])), "closed");
}

#[test]
fn a_caller_is_told_when_every_connection_is_busy() {
    // Every place is taken by a request in flight. The next caller is told at once that nothing was
    // run, and when to come back; the ones before it get their answers.
    let mut cluster = block_on(zone::start(1, given()));
    let good = zone::callers(&mut cluster, "a1");
    block_on(zone::serve_one(good, zone::TWICE));
    let hold = json!({"service_ms": 2_000}).to_string();
    let mut busy: Vec<TcpStream> = Vec::new();
    for _ in 0..64 {
        let body = serde_json::to_vec(&zone::job(zone::TWICE, hold.as_bytes()))
            .expect("the test's own steps work");
        let mut stream = TcpStream::connect(good).expect("the test's own steps work");
        stream
            .write_all(&sized(&body))
            .expect("the test's own steps work");
        busy.push(stream);
    }
    let ask = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    let told = async || replies(&exchange(good, ask, Close)) == "503/3108 retry-after 1";
    block_on(zone::until("a caller is turned away", told));
    for stream in &mut busy {
        stream
            .shutdown(std::net::Shutdown::Write)
            .expect("the test's own steps work");
        let answered = replies(&read_all(stream));
        assert!(answered.contains('/'), "{answered}");
    }
    block_on(zone::serve_one(good, zone::TWICE));
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
    let mut cluster = block_on(zone::start(1, given()));
    let good = zone::callers(&mut cluster, "a1");
    for (part, purpose) in [(Part::Entry, "control"), (Part::Control, "peer")] {
        let door = address(&mut cluster, "a1", part, purpose);
        let before = block_on(turned_away(&mut cluster, part));
        for bytes in &garbage {
            exchange(door, bytes, Close);
            block_on(zone::serve_one(good, zone::ONCE));
        }
        let counted = async || turned_away(&mut cluster, part).await == before + garbage.len();
        block_on(zone::until("all garbage is counted", counted));
    }
}

#[test]
fn a_flood_of_silent_connections_shuts_out_no_control_process() {
    // While the control process is gone, more connections than the entry's control port takes are opened
    // and say nothing. The oldest make room for the new control process, so a target that is published
    // then still comes into force.
    const FLOOD: usize = 300;
    let mut cluster = block_on(zone::start(1, given()));
    let good = zone::callers(&mut cluster, "a1");
    let door = address(&mut cluster, "a1", Part::Entry, "control");
    let killed = cluster.kill_part(Part::Control, "a1");
    killed.expect("the test's own steps work");
    let mut flood = Vec::new();
    // The second wave takes the place that the dead control process leaves.
    for wave in 1..=2 {
        flood.extend((0..FLOOD).filter_map(|_| TcpStream::connect(door).ok()));
        assert_eq!(flood.len(), wave * FLOOD);
        let told = async || turned_away(&mut cluster, Part::Entry).await > (wave - 1) * FLOOD;
        block_on(zone::until("the port is full", told));
    }
    let hosts = ["a1".into()];
    let restarted = cluster.restart(Part::Control, &hosts);
    block_on(restarted).expect("the test's own steps work");
    block_on(zone::publish(&cluster, "late", false));
    let in_force = async || {
        let page = zone::timeline(&mut cluster, "a1", Part::Entry).await;
        let mut events = page.events.iter();
        events.any(|event| event.kind == EventKind::ConfigInForce && event.detail == "revision 3")
    };
    block_on(zone::until("the target is in force", in_force));
    block_on(zone::serve_one(good, "late"));
}
