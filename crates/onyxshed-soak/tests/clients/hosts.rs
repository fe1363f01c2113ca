//! Crowds at the doors of `onyxshed-host`: callers, readiness and admin.

use std::net::SocketAddr;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

use async_io::{Timer, block_on};
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::Method;
use onyxshed_http::client::{ClientOptions, Connection};
use onyxshed_soak::fleet::{
    ExecutorClocks, Fleet, FleetOptions, MachineLimits, ROUTE_HOST, ROUTE_PREFIX,
};
use onyxshed_soak::footprint::{SAMPLE_PERIOD, Watch};
use onyxshed_soak::misbehavior::Misbehavior;
use rstest::rstest;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use crate::ONE_AT_A_TIME;
use crate::crowd;

/// The limits of a host's machine in these tests.
const LIMITS: MachineLimits = MachineLimits {
    memory_mb: 64,
    max_fds: 400,
};

/// The limits of the smallest machine of the platform.
const SMALLEST_LIMITS: MachineLimits = MachineLimits {
    memory_mb: 120,
    max_fds: 3_075,
};

/// Number of clients in a crowd on the smallest machine of the platform.
const CLIENTS_OF_SMALLEST: usize = 2_000;

/// Number of clients in a crowd.
const CLIENTS: usize = 400;

/// Number of clients in a crowd whose bodies are small.
const CLIENTS_WITH_SMALL_BODIES: usize = 900;

/// Time within which an ordinary request is answered. Only a host that no longer serves reaches it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// An address of a host that a client can reach.
#[derive(Debug, Clone, Copy)]
enum Door {
    Callers,
    Readiness,
    Admin,
}

fn options() -> FleetOptions {
    FleetOptions {
        zones: 1,
        hosts: 1,
        executors: 2,
        clocks: ExecutorClocks::Accurate,
        limits: LIMITS,
        ..FleetOptions::default()
    }
}

/// Sends a crowd to a door of every host, and checks the hosts' footprints and an ordinary request to each.
fn test_crowd(options: &FleetOptions, door: Door, misbehavior: Misbehavior, clients: usize) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(async {
        let mut fleet = Fleet::start(options).await.expect("the fleet starts");
        serve_ordinary_requests(&fleet, 0).await;
        let mut watch = Watch::of_fleet(&fleet);
        let mut crowds = Vec::new();
        for name in fleet.host_names() {
            let address = address_of(&fleet, &name, door);
            let send = async { Some(crowd::send(address, misbehavior, clients).await) };
            crowds.extend(send.or(watch.sample()).await);
        }
        // The hosts may read on after the last client has sent.
        let settle = async {
            serve_ordinary_requests(&fleet, 1).await;
            Timer::after(SAMPLE_PERIOD * 20).await;
            Some(())
        };
        settle.or(watch.sample()).await;
        assert_all_live(&mut fleet);
        assert_eq!(watch.find_violations(options.limits), [""; 0]);
        drop(crowds);
    });
}

fn assert_all_live(fleet: &mut Fleet) {
    for name in fleet.host_names() {
        let mut is_alive = false;
        let checked = fleet.signal_host(&name, |_| {
            is_alive = true;
            Ok(())
        });
        checked.expect("the process can be checked");
        assert!(is_alive, "{name} has ended: {}", fleet.log_tail(&name));
    }
}

fn address_of(fleet: &Fleet, name: &SmolStr, door: Door) -> SocketAddr {
    match door {
        Door::Callers => fleet.direct_caller_addresses()[0],
        Door::Readiness => fleet.ready_address(name).expect("the host is known"),
        Door::Admin => fleet.admin_address(name).expect("the host is known"),
    }
}

/// Sends an ordinary job to each host; see [`serve_ordinary_request`].
pub async fn serve_ordinary_requests(fleet: &Fleet, round: u64) {
    for (host, address) in (0..).zip(fleet.direct_caller_addresses()) {
        serve_ordinary_request(fleet, address, round << 8 | host).await;
    }
}

/// Sends an ordinary job until it is completed, as a caller does that is told to come back.
async fn serve_ordinary_request(fleet: &Fleet, address: SocketAddr, number: u64) {
    let body = json!({"spec": "10", "best_effort": true,
        "phases": [{"count": 1, "cpu": 1_000, "mem_mb": 1, "est_runtime_ms": 10}]});
    let started_at = Instant::now();
    loop {
        if send_job(address, number, &body.to_string()).await == Some(200) {
            return;
        }
        let logs = || fleet.log_lines_with("").join("\n");
        assert!(started_at.elapsed() < ANSWER_TIMEOUT, "{}", logs());
        Timer::after(Duration::from_millis(50)).await;
    }
}

async fn send_job(address: SocketAddr, number: u64, body: &str) -> Option<u16> {
    let mut connection = Connection::open(address, ClientOptions::default())
        .await
        .ok()?;
    let headers = [
        ("host", SmolStr::new_static(ROUTE_HOST)),
        ("x-onyxshed-deadline-ms", SmolStr::new_static("20000")),
    ];
    let path = format_smolstr!("{ROUTE_PREFIX}{:016x}", 0xaa00_0000 + number);
    let call = connection.call(
        Method::Post,
        &path,
        &headers,
        body.as_bytes().to_vec(),
        Duration::from_secs(20),
    );
    call.await.ok().map(|reply| reply.status)
}

/// Guards against a host that ends or stops serving because its callers send more than its machine can hold.
#[rstest]
#[case::silence(Misbehavior::Silence)]
#[case::unfinished_head(Misbehavior::UnfinishedHead)]
#[case::many_headers(Misbehavior::ManyHeaders)]
#[case::whole_body(Misbehavior::WholeBody)]
#[case::whole_spec(Misbehavior::WholeSpec)]
#[case::many_tasks(Misbehavior::ManyTasks)]
#[case::most_tasks(Misbehavior::MostTasks)]
#[case::many_steps(Misbehavior::ManySteps)]
#[case::unfinished_body(Misbehavior::UnfinishedBody)]
#[case::unfinished_pieces(Misbehavior::UnfinishedPieces)]
#[case::unfinished_large_chunks(Misbehavior::UnfinishedLargeChunks)]
#[case::unfinished_tiny_chunks(Misbehavior::UnfinishedTinyChunks)]
#[case::unfinished_trailer(Misbehavior::UnfinishedTrailer)]
#[case::unfinished_over_limit(Misbehavior::UnfinishedOverLimit)]
#[case::announced_over_limit(Misbehavior::AnnouncedOverLimit)]
#[case::announced_far_over_limit(Misbehavior::AnnouncedFarOverLimit)]
#[case::sent_over_limit(Misbehavior::SentOverLimit)]
#[case::pipelined(Misbehavior::Pipelined)]
#[case::long_names(Misbehavior::LongNames)]
#[case::text_for_number(Misbehavior::TextForNumber)]
fn callers_door_holds(#[case] misbehavior: Misbehavior) {
    test_crowd(&options(), Door::Callers, misbehavior, CLIENTS);
}

/// Guards against many small bodies that exhaust the memory together.
#[test]
fn callers_door_holds_against_unfinished_small_bodies() {
    let misbehavior = Misbehavior::UnfinishedSmallBody;
    test_crowd(
        &options(),
        Door::Callers,
        misbehavior,
        CLIENTS_WITH_SMALL_BODIES,
    );
}

/// Guards against a host that ends or stops serving because of clients at the address of its readiness check or
/// at its admin address.
#[rstest]
fn minor_door_holds(
    #[values(Door::Readiness, Door::Admin)] door: Door,
    #[values(
        Misbehavior::Silence,
        Misbehavior::UnfinishedHead,
        Misbehavior::UnfinishedBody,
        Misbehavior::UnfinishedLargeChunks,
        Misbehavior::UnfinishedTinyChunks,
        Misbehavior::UnfinishedOverLimit,
        Misbehavior::AnnouncedOverLimit,
        Misbehavior::SentOverLimit,
        Misbehavior::Pipelined
    )]
    misbehavior: Misbehavior,
) {
    test_crowd(&options(), door, misbehavior, CLIENTS);
}

/// Guards against replies that no one reads.
#[test]
fn admin_door_holds_against_unread_replies() {
    test_crowd(&options(), Door::Admin, Misbehavior::UnreadReplies, CLIENTS);
}

/// Guards against a host on the smallest machine of the platform that ends or stops serving because of clients.
#[rstest]
#[case::silence(Misbehavior::Silence)]
#[case::many_headers(Misbehavior::ManyHeaders)]
#[case::most_tasks(Misbehavior::MostTasks)]
#[case::unfinished_body(Misbehavior::UnfinishedBody)]
#[case::unfinished_small_body(Misbehavior::UnfinishedSmallBody)]
#[case::unfinished_trailer(Misbehavior::UnfinishedTrailer)]
#[case::sent_over_limit(Misbehavior::SentOverLimit)]
#[case::pipelined(Misbehavior::Pipelined)]
fn smallest_machine_holds(#[case] misbehavior: Misbehavior) {
    let options = FleetOptions {
        limits: SMALLEST_LIMITS,
        ..options()
    };
    test_crowd(&options, Door::Callers, misbehavior, CLIENTS_OF_SMALLEST);
}

/// Guards against an owner that ends or stops serving because other hosts send it more jobs than it can hold.
#[rstest]
#[case::whole_spec(Misbehavior::WholeSpec)]
#[case::many_tasks(Misbehavior::ManyTasks)]
#[case::most_tasks(Misbehavior::MostTasks)]
fn owner_holds_against_jobs_of_other_hosts(#[case] misbehavior: Misbehavior) {
    let options = FleetOptions {
        hosts: 3,
        ..options()
    };
    test_crowd(&options, Door::Callers, misbehavior, CLIENTS);
}

/// Guards against callers that are refused at a limit and do not learn when to come back, and operators who
/// do not learn which limit that is.
#[rstest]
#[case::connections(Misbehavior::UnfinishedHead, "connections")]
#[case::memory_of_small_bodies(Misbehavior::UnfinishedSmallBody, "body_memory")]
#[case::memory_of_large_bodies(Misbehavior::UnfinishedBody, "body_memory")]
fn refusal_at_a_limit_says_when_to_come_back(
    #[case] misbehavior: Misbehavior,
    #[case] limit: &str,
) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(async {
        let fleet = Fleet::start(&options()).await.expect("the fleet starts");
        let callers = fleet.direct_caller_addresses()[0];
        let mut crowd = crowd::send(callers, misbehavior, CLIENTS).await;
        let started_at = Instant::now();
        let refusals = loop {
            let mut replies = crowd.replies().await;
            replies.retain(|reply| reply.starts_with("http/1.1 503"));
            if !replies.is_empty() {
                break replies;
            }
            assert!(
                started_at.elapsed() < ANSWER_TIMEOUT,
                "no client is refused"
            );
            Timer::after(SAMPLE_PERIOD).await;
        };
        let without = refusals
            .iter()
            .find(|reply| !reply.contains("retry-after: "));
        assert_eq!(without, None);
        let name = fleet.host_names().remove(0);
        let labels = format!("listener=\"caller\",limit=\"{limit}\"");
        let series = format!("onyxshed_limits_met_total{{{labels}}}");
        let count = fleet.counter(&name, &series).await;
        assert!(
            count.is_some_and(|count| count > 0),
            "{series} is {count:?}"
        );
        let lines = fleet.log_lines_with(&format!("limit {limit}"));
        assert!(!lines.is_empty(), "no line names the limit");
    });
}

/// Runs a test with a host that has served an ordinary request, and the address of its callers.
fn with_host_in_calm(test: impl AsyncFnOnce(&Fleet, SocketAddr)) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(async {
        let fleet = Fleet::start(&options()).await.expect("the fleet starts");
        let callers = fleet.direct_caller_addresses()[0];
        serve_ordinary_request(&fleet, callers, 0).await;
        test(&fleet, callers).await;
    });
}

/// Guards against limits that refuse a single request of the largest legal size, whole or in chunks of one byte.
#[rstest]
#[case::whole(Misbehavior::WholeBody.bytes(7))]
#[case::in_tiny_chunks(Misbehavior::tiny_chunks_of_whole_job())]
fn single_request_of_legal_size_is_served(#[case] request: Vec<u8>) {
    with_host_in_calm(async |_, callers| {
        assert_eq!(exchange(callers, &request).await, "200");
    });
}

/// Guards against limits that refuse a single body of legal size that takes seconds to arrive.
#[test]
fn single_slow_body_is_served() {
    with_host_in_calm(async |fleet, callers| {
        let request = Misbehavior::WholeBody.bytes(7);
        let stream = TcpStream::connect(callers).await;
        let mut stream = stream.expect("the host accepts the connection");
        // Each piece is followed by an ordinary request of another caller.
        for (number, piece) in (1..).zip(request.chunks(request.len() / 8 + 1)) {
            stream.write_all(piece).await.expect("the host reads");
            Timer::after(Duration::from_millis(600)).await;
            serve_ordinary_request(fleet, callers, number).await;
        }
        assert_eq!(read_status(&mut stream).await, "200");
    });
}

/// Sends a request, and returns the status of its reply.
async fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let stream = TcpStream::connect(address).await;
    let mut stream = stream.expect("the host accepts the connection");
    stream.write_all(request).await.expect("the host reads");
    read_status(&mut stream).await
}

async fn read_status(stream: &mut TcpStream) -> String {
    let mut reply = [0; 12];
    stream
        .read_exact(&mut reply)
        .await
        .expect("the host answers");
    String::from_utf8_lossy(&reply[9..]).into_owned()
}
