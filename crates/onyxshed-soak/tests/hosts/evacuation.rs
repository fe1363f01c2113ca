//! Evacuations of availability zones by operators.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::{Timer, block_on};
use http_types::Method;
use onyxshed_http::Reply;
use onyxshed_http::client::{ClientOptions, Connection};
use onyxshed_soak::fleet::{Fleet, FleetOptions};
use onyxshed_standins::faults::Mode;
use smol_str::SmolStr;

use crate::support::{TIMEOUT, job_body, one_zone, send_request};

/// The number of jobs submitted to find out which zone's executors run them.
const JOBS: u64 = 20;

fn two_zones() -> FleetOptions {
    FleetOptions {
        zones: 2,
        ..one_zone()
    }
}

/// Submits a job of two tasks to a host and returns the reply; `None` if the connection broke.
async fn submit(host: SocketAddr, id: u64) -> Option<Reply> {
    let options = ClientOptions::default();
    let mut connection = Connection::open(host, options).await.ok()?;
    let path = format!("{id:016x}");
    let body = job_body(10, 2);
    send_request(&mut connection, Method::Post, &path, &body)
        .await
        .ok()
}

async fn status_of(host: SocketAddr, id: u64) -> Option<u16> {
    submit(host, id).await.map(|reply| reply.status)
}

/// Starts two zones, evacuates the first, and waits until every host has logged the evacuation.
async fn start_with_evacuated_zone() -> Fleet {
    let fleet = Fleet::start(&two_zones()).await.expect("the fleet starts");
    evacuate_first_zone(&fleet).await;
    fleet
}

async fn evacuate_first_zone(fleet: &Fleet) {
    fleet
        .set_evacuated("z0", true)
        .await
        .expect("the record is written");
    wait_until_logged(fleet, &fleet.host_names(), &["ZoneEvacuated"], 1).await;
}

/// Waits until every host is connected to the owners of both zones' pools, or owns one itself.
async fn wait_until_linked(fleet: &Fleet) {
    wait_until_logged(fleet, &fleet.host_names(), &["PoolLinkUp", "PoolOwned"], 2).await;
}

/// Waits until the last 120 lines of each host's log contain `words` at least `count` times in
/// total.
async fn wait_until_logged(fleet: &Fleet, hosts: &[SmolStr], words: &[&str], count: usize) {
    let started_at = Instant::now();
    let word_count = |host| {
        let log = fleet.log_tail(host);
        let counts = words.iter().map(|word| log.matches(word).count());
        counts.sum::<usize>()
    };
    while hosts.iter().any(|host| word_count(host) < count) {
        assert!(
            started_at.elapsed() < TIMEOUT,
            "not every host has logged {words:?} {count} times"
        );
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Submits [`JOBS`] jobs to a host, each until it is completed, and returns the number of their runs that
/// started in each zone.
async fn starts_by_zone(fleet: &mut Fleet, host: SocketAddr, first_job: u64) -> [usize; 2] {
    let started_at = Instant::now();
    for job in first_job..first_job + JOBS {
        while status_of(host, job).await != Some(200) {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "job {job} was not completed in time"
            );
        }
    }
    let records = fleet.take_records().await;
    let job_ids = format!("{first_job:016x}")..format!("{:016x}", first_job + JOBS);
    let starts = records.iter().filter(|(_, record)| {
        record.event == "start"
            && job_ids.contains(&record.task.split('.').next().unwrap_or("").to_owned())
    });
    let mut counts = [0, 0];
    for (executor, _) in starts {
        counts[usize::from(executor.starts_with("x-1-"))] += 1;
    }
    counts
}

/// Guards against starts of tasks in an evacuated zone, against callers in that zone that are not
/// served, and against a zone that stays unused after it is restored.
#[test]
fn callers_of_an_evacuated_zone_are_served_elsewhere_until_it_is_restored() {
    block_on(async {
        let mut fleet = start_with_evacuated_zone().await;
        let host = fleet.caller_addresses()[0];
        let hosts = fleet.host_names();
        let starts = starts_by_zone(&mut fleet, host, 0x100).await;
        assert_eq!(starts[0], 0, "starts in the evacuated zone");
        fleet
            .set_evacuated("z0", false)
            .await
            .expect("the record is written");
        wait_until_logged(&fleet, &hosts, &["ZoneRestored"], 1).await;
        let restored_at = Instant::now();
        let mut first_job = 0x200;
        while starts_by_zone(&mut fleet, host, first_job).await[0] == 0 {
            assert!(
                restored_at.elapsed() < TIMEOUT,
                "the restored zone started no task"
            );
            first_job += JOBS;
        }
    });
}

/// Guards against an owner that starts tasks in an evacuated zone because it cannot reach the store.
#[test]
fn owner_without_the_store_learns_of_an_evacuation_from_other_hosts() {
    block_on(async {
        let mut fleet = Fleet::start(&two_zones()).await.expect("the fleet starts");
        let hosts = fleet.host_names();
        wait_until_linked(&fleet).await;
        for name in &hosts[..2] {
            let route = format!("store-{name}");
            fleet
                .set_mode(&route, Mode::Cut)
                .await
                .expect("the route is cut");
        }
        evacuate_first_zone(&fleet).await;
        let host = fleet.caller_addresses()[0];
        let starts = starts_by_zone(&mut fleet, host, 0x100).await;
        assert_eq!(starts[0], 0, "starts in the evacuated zone");
    });
}

/// Guards against a new owner that does not know the evacuation that its predecessor had learned of.
#[test]
fn new_owner_starts_no_task_in_an_evacuated_zone() {
    block_on(async {
        let mut fleet = start_with_evacuated_zone().await;
        let hosts = fleet.host_names();
        for name in &hosts[..2] {
            let killed = fleet.signal_host(name, |process| process.kill());
            killed.expect("the host is killed");
            fleet.start_host(name).expect("the host starts");
        }
        fleet.wait_ready().await.expect("every host is ready");
        let host = fleet.caller_addresses()[0];
        let starts = starts_by_zone(&mut fleet, host, 0x100).await;
        assert_eq!(starts[0], 0, "starts in the evacuated zone");
    });
}

/// Guards against callers that wait until their deadline while all zones are evacuated.
#[test]
fn callers_are_refused_at_once_while_every_zone_is_evacuated() {
    block_on(async {
        let mut fleet = Fleet::start(&two_zones()).await.expect("the fleet starts");
        let hosts = fleet.host_names();
        for zone in ["z0", "z1"] {
            fleet
                .set_evacuated(zone, true)
                .await
                .expect("the record is written");
        }
        wait_until_logged(&fleet, &hosts, &["ZoneEvacuated"], 2).await;
        for address in fleet.caller_addresses() {
            assert_eq!(status_of(address, 0x100).await, Some(503));
        }
        assert!(fleet.take_records().await.is_empty());
    });
}

/// Guards against a mistyped zone name that takes other zones out of service.
#[test]
fn evacuation_of_an_unknown_zone_is_logged_and_has_no_effect() {
    block_on(async {
        let mut fleet = Fleet::start(&two_zones()).await.expect("the fleet starts");
        let hosts = fleet.host_names();
        fleet
            .set_evacuated("z9", true)
            .await
            .expect("the record is written");
        wait_until_logged(&fleet, &hosts, &["no such zone"], 1).await;
        let host = fleet.caller_addresses()[0];
        let starts = starts_by_zone(&mut fleet, host, 0x100).await;
        assert!(starts[0] + starts[1] > 0);
    });
}

/// Guards against callers that stay connected to a host that cannot serve them, because its zone is evacuated
/// and cut off from the other zones.
#[test]
fn host_that_reaches_no_active_zone_closes_its_callers_connections() {
    block_on(async {
        let mut fleet = Fleet::start(&two_zones()).await.expect("the fleet starts");
        let hosts = fleet.host_names();
        wait_until_linked(&fleet).await;
        evacuate_first_zone(&fleet).await;
        for name in &hosts[2..] {
            let route = format!("peer-{name}");
            fleet
                .set_mode(&route, Mode::Cut)
                .await
                .expect("the route is cut");
        }
        let started_at = Instant::now();
        while fleet.readiness_status(&hosts[0]).await == Some(200) {
            assert!(started_at.elapsed() < TIMEOUT, "the host is still ready");
            Timer::after(Duration::from_millis(20)).await;
        }
        let host = fleet.caller_addresses()[0];
        let refused = submit(host, 0x100).await.expect("the host answers");
        assert_eq!(refused.status, 503);
        assert_eq!(refused.header_value("connection"), Some("close"));
        fleet
            .set_evacuated("z0", false)
            .await
            .expect("the record is written");
        wait_until_logged(&fleet, &hosts[..2], &["ZoneRestored"], 1).await;
        while fleet.readiness_status(&hosts[0]).await != Some(200) {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "the host did not become ready again"
            );
            Timer::after(Duration::from_millis(20)).await;
        }
        assert!(starts_by_zone(&mut fleet, host, 0x200).await[0] > 0);
    });
}
