//! Jobs that leave a zone with more load than it can serve.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use http_types::Method;
use onyxshed_http::client::{ClientOptions, Connection};
use onyxshed_soak::fleet::{Fleet, FleetOptions};

use crate::support::{job_body, one_zone, send_request, wait_until};

/// Objective of the jobs in milliseconds: long enough that jobs can end on target on a busy machine.
const OBJECTIVE_MS: u64 = 500;

/// Number of jobs, all submitted to hosts of the first zone.
const JOBS: u64 = 600;

/// Time between two jobs of one task of 50 ms: 1.5 times what two executors with two cores each can do.
const PAUSE: Duration = Duration::from_micros(8_300);

async fn submit(host: SocketAddr, id: u64) -> Option<u16> {
    let mut connection = Connection::open(host, ClientOptions::default())
        .await
        .ok()?;
    let path = format!("{id:016x}");
    let body = job_body(50, 1);
    let reply = send_request(&mut connection, Method::Post, &path, &body).await;
    reply.ok().map(|reply| reply.status)
}

/// Submits all jobs to the hosts in turn and returns the number of each status.
async fn submit_all(hosts: &[SocketAddr]) -> BTreeMap<Option<u16>, usize> {
    let executor = LocalExecutor::new();
    let submissions = async {
        let mut replies = Vec::new();
        let mut next_at = Instant::now();
        for (id, host) in (1..=JOBS).zip(hosts.iter().cycle()) {
            replies.push(executor.spawn(submit(*host, id)));
            next_at += PAUSE;
            Timer::at(next_at).await;
        }
        let mut counts = BTreeMap::new();
        for reply in replies {
            *counts.entry(reply.await).or_default() += 1;
        }
        counts
    };
    executor.run(submissions).await
}

/// Guards against a zone whose callers wait while another zone has room, and against a task that starts in
/// both.
#[test]
fn overloaded_zone_uses_room_of_another() {
    block_on(async {
        let options = FleetOptions {
            zones: 2,
            host_arguments: vec!["--overload=on".to_owned(), "--transfers=on".to_owned()],
            ..one_zone()
        };
        let mut fleet = Fleet::start(&options).await.expect("the fleet starts");
        let published = fleet.put_manifest(2, OBJECTIVE_MS).await;
        published.expect("the manifest is published");
        wait_until("hosts have the manifest and reach both pools", async || {
            let manifests = fleet.log_lines_with("ManifestInForce").len();
            let reached = fleet.log_lines_with("PoolLinkUp").len();
            let owned = fleet.log_lines_with("PoolOwned").len();
            (manifests >= 8 && reached + owned >= 8).then_some(())
        })
        .await;
        let hosts = fleet.direct_caller_addresses();
        let statuses = submit_all(&hosts[..2]).await;
        let mut starts: BTreeMap<String, usize> = BTreeMap::new();
        let mut starts_away = 0;
        for (executor, record) in fleet.take_records().await {
            if record.event == "start" {
                *starts.entry(record.task.to_string()).or_default() += 1;
                starts_away += usize::from(executor.starts_with("x-1-"));
            }
        }
        println!("{statuses:?}, {starts_away} starts in the other zone");
        assert!(starts.values().all(|count| *count == 1));
        // How many callers are served depends on the processor time that the machine leaves to the
        // hosts and executors.
        assert!(starts_away >= 100, "{starts_away}");
    });
}
