//! Owners that fall behind their entry hosts without a pause.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use http_types::Method;
use onyxshed_http::client::{ClientOptions, Connection};
use onyxshed_soak::checks::{OwnersByZone, find_violations};
use onyxshed_soak::fleet::{Fleet, FleetOptions};
use onyxshed_standins::faults::Mode;

use crate::support::{job_body, one_zone, send_request, wait_until};

/// Objective of the jobs in milliseconds, above the time that a task takes on any executor.
const OBJECTIVE_MS: u64 = 15_000;

/// Time that the task takes on an executor of speed 1: longer than the job's copy needs to start.
const TASK_MS: u64 = 8_000;

/// Time from an answer of unknown outcome until a caller sends the job again.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);

/// A rate at which each heartbeat takes about 200 ms, less than the time after which an owner considers a
/// host unresponsive.
const UP_BYTES_PER_S: u64 = 1_200;

/// Delay of the owner's answers, above the time that an entry host waits for them.
const DOWN_DELAY_MS: u64 = 1_600;

/// Time after the last answer from which a job is submitted only after another heartbeat.
const SESSION_RENEWED_AFTER: Duration = Duration::from_millis(310);

/// Number of jobs that are sent before the entry host gives up the link, and the time between two.
const RENEWING_JOBS: u64 = 16;
const RENEWING_PAUSE: Duration = Duration::from_millis(8);

/// Starts two zones whose hosts have the manifest and reach both pools.
async fn start_two_zones(hosts: usize) -> Fleet {
    let options = FleetOptions {
        zones: 2,
        hosts,
        executors: 3,
        host_arguments: vec!["--overload=on".to_owned(), "--log-level=debug".to_owned()],
        ..one_zone()
    };
    let fleet = Fleet::start(&options).await.expect("the fleet starts");
    let published = fleet.put_manifest(2, OBJECTIVE_MS).await;
    published.expect("the manifest is published");
    wait_until("hosts have the manifest and reach both pools", async || {
        let manifests = fleet.log_lines_with("ManifestInForce").len();
        let reached = fleet.log_lines_with("PoolLinkUp").len();
        let owned = fleet.log_lines_with("PoolOwned").len();
        (manifests >= 4 * hosts && reached + owned >= 4 * hosts).then_some(())
    })
    .await;
    fleet
}

/// Returns the index of the host of the first zone that owns its pool.
fn owner_of_first_zone(fleet: &Fleet) -> usize {
    let lines = fleet.log_lines_with("PoolOwned");
    let owner = lines.iter().find(|line| line.starts_with("h-0-"));
    let owner = owner.expect("a host owns the pool of the first zone");
    let names = fleet.host_names();
    let position = names.iter().position(|name| owner.starts_with(&**name));
    position.expect("the host is part of the fleet")
}

async fn submit(host: SocketAddr, id: u64, ms: u64) -> Option<u16> {
    let mut connection = Connection::open(host, ClientOptions::default())
        .await
        .ok()?;
    let path = format!("{id:016x}");
    let reply = send_request(&mut connection, Method::Post, &path, &job_body(ms, 1)).await;
    reply.ok().map(|reply| reply.status)
}

/// Guards against an owner that serves a job which its entry host has given up, because it counts heartbeats
/// that it reads late as recent contact.
#[test]
fn run_ends_before_copy_starts_if_heartbeats_reach_the_owner_late() {
    let executor = LocalExecutor::new();
    block_on(executor.run(async {
        let mut fleet = start_two_zones(2).await;
        let owner = owner_of_first_zone(&fleet);
        let addresses = fleet.direct_caller_addresses();
        let (entry, other_zone) = (addresses[1 - owner], addresses[2]);
        let owner_name = fleet.host_names()[owner].clone();
        let route = format!("peer-{owner_name}");
        let has_ordered = |job: &str| {
            let ordered = fleet.log_lines_with("PoolRunOrdered");
            let mut of_owner = ordered.iter().filter(|line| line.starts_with(&*owner_name));
            of_owner.any(|line| line.contains(job))
        };
        wait_until("the entry host uses the pool of its zone", async || {
            submit(entry, 0xbb, 10).await;
            has_ordered("00000000000000bb").then_some(())
        })
        .await;
        let first = executor.spawn(submit(entry, 0xaa, TASK_MS));
        wait_until("the task runs in the entry host's zone", async || {
            has_ordered("00000000000000aa").then_some(())
        })
        .await;
        Timer::after(Duration::from_millis(300)).await;
        let slow = Mode::SlowLink {
            up_bytes_per_s: UP_BYTES_PER_S,
            down_delay_ms: DOWN_DELAY_MS,
        };
        fleet.set_mode(&route, slow).await.expect("the mode is set");
        Timer::after(SESSION_RENEWED_AFTER).await;
        let mut renewing = Vec::new();
        for id in 1..=RENEWING_JOBS {
            renewing.push(executor.spawn(submit(entry, id, 10)));
            Timer::after(RENEWING_PAUSE).await;
        }
        assert_eq!(first.await, Some(504));
        Timer::after(RESEND_DELAY).await;
        let _copy = executor.spawn(submit(other_zone, 0xaa, TASK_MS));
        Timer::after(Duration::from_millis(4_000)).await;
        let records = fleet.take_records().await;
        let has_copy_started = records.iter().any(|(executor, record)| {
            executor.starts_with("x-1-")
                && record.event == "start"
                && record.task.starts_with("00000000000000aa")
        });
        assert!(has_copy_started, "{records:#?}");
        let violations = find_violations(&[], &records, &BTreeMap::new(), &OwnersByZone::default());
        let dropped = fleet.log_lines_with("PoolJobDropped");
        let down = fleet.log_lines_with("PoolLinkDown");
        assert!(
            violations.is_empty(),
            "{violations:#?}\n{dropped:#?}\n{down:#?}"
        );
    }));
}
