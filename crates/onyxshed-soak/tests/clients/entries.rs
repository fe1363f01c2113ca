//! Crowds at the doors of `onyxshed-entry` and `onyxshed-control`.

use std::net::SocketAddr;
use std::sync::PoisonError;

use async_io::{Timer, block_on};
use futures_lite::FutureExt;
use onyxshed_proof::cluster::{Cluster, ClusterOptions, ProcessKind};
use onyxshed_proof::zone;
use onyxshed_soak::fleet::MachineLimits;
use onyxshed_soak::footprint::{SAMPLE_PERIOD, Watch};
use onyxshed_soak::misbehavior::Misbehavior;
use rstest::rstest;
use serde_json::json;

use crate::ONE_AT_A_TIME;
use crate::crowd;

/// The limits of an entry host's machine in these tests. Its descriptors follow from `connections_max`.
const LIMITS: MachineLimits = MachineLimits {
    memory_mb: 64,
    max_fds: 4_100,
};

/// Number of clients in a crowd.
const CLIENTS: usize = 400;

/// An address that a client can reach: the process and the purpose of its listener.
type Door = (ProcessKind, &'static str);

const CALLERS: Door = (ProcessKind::Entry, "caller");
const PEERS: Door = (ProcessKind::Entry, "peer");
const ENTRY_ADMIN: Door = (ProcessKind::Entry, "admin");
const CONTROL_ADMIN: Door = (ProcessKind::Control, "admin");

fn options() -> ClusterOptions {
    let settings = json!({ "body_max_bytes": 65_536, "connections_max": 64 });
    let mut options = ClusterOptions::default();
    options
        .entry_settings
        .extend(settings.as_object().expect("a JSON object").clone());
    options
}

fn address(cluster: &mut Cluster, (kind, purpose): Door) -> SocketAddr {
    let host = cluster.host("a1").expect("the host is part of the cluster");
    let process = host.process(kind).expect("the process runs");
    process.address(purpose).expect("the process listens")
}

fn watch(cluster: &mut Cluster, kind: ProcessKind, doors: &[Door]) -> Watch {
    let addresses = doors.iter().map(|door| address(cluster, *door)).collect();
    let host = cluster.host("a1").expect("the host is part of the cluster");
    let process_id = host.process(kind).expect("the process runs").id();
    let mut watch = Watch::default();
    watch.add(process_id, addresses);
    watch
}

/// Sends a crowd to a door of an entry host, and checks the footprint of the process and an ordinary job.
fn test_crowd(door: Door, requests: Vec<Vec<u8>>, piece_bytes: usize) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(async {
        let mut cluster = zone::start(1, options()).await;
        let callers = zone::caller_address(&mut cluster, "a1");
        zone::run_one_job(callers, zone::MAY_RUN_TWICE).await;
        let mut watch = watch(&mut cluster, door.0, &[door]);
        let target = address(&mut cluster, door);
        let requests = requests.into_iter();
        let send = async { Some(crowd::send_requests(target, requests, piece_bytes).await) };
        let crowd = send.or(watch.sample()).await;
        let settle = async {
            zone::run_one_job(callers, zone::MAY_RUN_TWICE).await;
            Timer::after(SAMPLE_PERIOD * 20).await;
            Some(())
        };
        settle.or(watch.sample()).await;
        let host = cluster.host("a1").expect("the host is part of the cluster");
        let process = host.process(door.0).expect("the process was started");
        let status = process.exit_status().expect("the process can be checked");
        assert_eq!(
            status,
            None,
            "the process has ended: {}",
            process.log_tail()
        );
        assert_eq!(watch.find_violations(LIMITS), [""; 0]);
        drop(crowd);
    });
}

/// Guards against an entry host that ends or stops serving because of clients at any of its addresses.
#[rstest]
fn doors_of_an_entry_host_hold(
    #[values(CALLERS, PEERS, ENTRY_ADMIN, CONTROL_ADMIN)] door: Door,
    #[values(
        Misbehavior::Silence,
        Misbehavior::UnfinishedHead,
        Misbehavior::UnfinishedBody,
        Misbehavior::UnfinishedSmallBody,
        Misbehavior::UnfinishedLargeChunks,
        Misbehavior::UnfinishedTinyChunks,
        Misbehavior::SentOverLimit,
        Misbehavior::Pipelined
    )]
    misbehavior: Misbehavior,
) {
    let requests = (0..CLIENTS).map(|client| misbehavior.bytes(client));
    test_crowd(door, requests.collect(), misbehavior.piece_bytes());
}

/// Guards against an entry host that ends or stops serving because of many whole jobs of nearly the largest size.
#[rstest]
#[case::of_callers(CALLERS, usize::MAX)]
#[case::of_callers_in_pieces(CALLERS, 8 << 10)]
#[case::of_peers(PEERS, usize::MAX)]
fn doors_of_an_entry_host_hold_against_whole_jobs(#[case] door: Door, #[case] piece_bytes: usize) {
    let requests = (0..CLIENTS).map(|_| whole_job());
    test_crowd(door, requests.collect(), piece_bytes);
}

/// Returns a request with a job whose task takes 5 s.
fn whole_job() -> Vec<u8> {
    let mut payload = br#"{"service_ms": 5000}"#.to_vec();
    payload.resize(45 << 10, b' ');
    let body = serde_json::to_vec(&zone::job(zone::MAY_RUN_TWICE, &payload));
    let body = body.expect("a submission can be serialized");
    let length = body.len();
    let head = format!("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    [head.as_bytes(), &body].concat()
}
