//! Zones that operators evacuate.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::{Timer, block_on};
use http_types::Method;
use onyxshed_http::Reply;
use onyxshed_http::client::{ClientOptions, Connection};
use onyxshed_soak::fleet::{Fleet, FleetOptions};
use onyxshed_standins::faults::Mode;
use smol_str::SmolStr;

use crate::support::{CEILING, ask, job, one_zone};

/// Jobs sent to find out which zone's executors run them.
const JOBS: u64 = 20;

fn two_zones() -> FleetOptions {
    FleetOptions {
        zones: 2,
        ..one_zone()
    }
}

/// Sends a job to a host and gets its answer; none if the connection broke.
async fn send(host: SocketAddr, id: u64) -> Option<Reply> {
    let options = ClientOptions::default();
    let mut connection = Connection::open(host, options).await.ok()?;
    let path = format!("{id:016x}");
    let body = job(10, 2);
    ask(&mut connection, Method::Post, &path, &body).await.ok()
}

async fn status_of(host: SocketAddr, id: u64) -> Option<u16> {
    send(host, id).await.map(|reply| reply.status)
}

/// Starts two zones, evacuates the first, and waits until every host knows.
async fn with_an_evacuated_zone() -> Fleet {
    let fleet = Fleet::start(&two_zones()).await.expect("it starts");
    evacuate_first_zone(&fleet).await;
    fleet
}

async fn evacuate_first_zone(fleet: &Fleet) {
    fleet.set_evacuated("z0", true).await.expect("a record");
    until_logged(fleet, &fleet.host_names(), &["ZoneEvacuated"], 1).await;
}

/// Waits until every host has found the owners of both zones.
async fn until_linked(fleet: &Fleet) {
    until_logged(fleet, &fleet.host_names(), &["PoolLinkUp", "PoolOwned"], 2).await;
}

/// Waits until the log of every host holds any of some words so many times in all.
async fn until_logged(fleet: &Fleet, hosts: &[SmolStr], words: &[&str], count: usize) {
    let begun = Instant::now();
    let counted = |host| {
        let log = fleet.log_of(host);
        let counts = words.iter().map(|word| log.matches(word).count());
        counts.sum::<usize>()
    };
    while hosts.iter().any(|host| counted(host) < count) {
        assert!(begun.elapsed() < CEILING, "not every host told {words:?}");
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Sends jobs to a host one after the other until so many are completed, and gets how many of their runs
/// each zone started.
async fn starts_by_zone(fleet: &mut Fleet, host: SocketAddr, first_job: u64) -> [usize; 2] {
    let begun = Instant::now();
    for job in first_job..first_job + JOBS {
        while status_of(host, job).await != Some(200) {
            assert!(begun.elapsed() < CEILING, "job {job} is not completed");
        }
    }
    let records = fleet.all_records().await;
    let sent = format!("{first_job:016x}")..format!("{:016x}", first_job + JOBS);
    let starts = records.iter().filter(|(_, record)| {
        record.what == "start"
            && sent.contains(&record.task.split('.').next().unwrap_or("").to_owned())
    });
    let mut by_zone = [0, 0];
    for (executor, _) in starts {
        by_zone[usize::from(executor.starts_with("x-1-"))] += 1;
    }
    by_zone
}

/// Guards against tasks in an evacuated zone, callers there who are not served, and a zone that stays out
/// of use when it is restored.
#[test]
fn an_evacuated_zones_callers_are_served_elsewhere_until_it_is_restored() {
    block_on(async {
        let mut fleet = with_an_evacuated_zone().await;
        let host = fleet.caller_addresses()[0];
        let hosts = fleet.host_names();
        let begun = starts_by_zone(&mut fleet, host, 0x100).await;
        assert_eq!(begun[0], 0, "starts in the evacuated zone");
        fleet.set_evacuated("z0", false).await.expect("a record");
        until_logged(&fleet, &hosts, &["ZoneRestored"], 1).await;
        let restored_at = Instant::now();
        let mut first_job = 0x200;
        while starts_by_zone(&mut fleet, host, first_job).await[0] == 0 {
            assert!(restored_at.elapsed() < CEILING, "the zone is not used");
            first_job += JOBS;
        }
    });
}

/// Guards against an owner that starts tasks in an evacuated zone because it can't reach the store.
#[test]
fn a_host_without_the_store_hears_of_an_evacuation_from_others() {
    block_on(async {
        let mut fleet = Fleet::start(&two_zones()).await.expect("it starts");
        let hosts = fleet.host_names();
        until_linked(&fleet).await;
        for name in &hosts[..2] {
            let route = format!("store-{name}");
            fleet.set_mode(&route, Mode::Cut).await.expect("a cut");
        }
        evacuate_first_zone(&fleet).await;
        let host = fleet.caller_addresses()[0];
        let begun = starts_by_zone(&mut fleet, host, 0x100).await;
        assert_eq!(begun[0], 0, "starts in the evacuated zone");
    });
}

/// Guards against a new owner that knows nothing of the evacuation that the one before it had learned.
#[test]
fn a_new_owner_starts_nothing_in_an_evacuated_zone() {
    block_on(async {
        let mut fleet = with_an_evacuated_zone().await;
        let hosts = fleet.host_names();
        for name in &hosts[..2] {
            let killed = fleet.signal_host(name, |process| process.kill());
            killed.expect("a kill");
            fleet.start_host(name).expect("a start");
        }
        fleet.wait_ready().await.expect("every host is ready");
        let host = fleet.caller_addresses()[0];
        let begun = starts_by_zone(&mut fleet, host, 0x100).await;
        assert_eq!(begun[0], 0, "starts in the evacuated zone");
    });
}

/// Guards against callers who wait until their deadline while no zone is in service.
#[test]
fn callers_are_refused_at_once_while_every_zone_is_evacuated() {
    block_on(async {
        let mut fleet = Fleet::start(&two_zones()).await.expect("it starts");
        let hosts = fleet.host_names();
        for zone in ["z0", "z1"] {
            fleet.set_evacuated(zone, true).await.expect("a record");
        }
        until_logged(&fleet, &hosts, &["ZoneEvacuated"], 2).await;
        for address in fleet.caller_addresses() {
            assert_eq!(status_of(address, 0x100).await, Some(503));
        }
        assert!(fleet.all_records().await.is_empty());
    });
}

/// Guards against a mistyped zone that takes others out of service.
#[test]
fn an_unknown_zone_is_told_in_the_log_and_changes_nothing() {
    block_on(async {
        let mut fleet = Fleet::start(&two_zones()).await.expect("it starts");
        let hosts = fleet.host_names();
        fleet.set_evacuated("z9", true).await.expect("a record");
        until_logged(&fleet, &hosts, &["no such zone"], 1).await;
        let host = fleet.caller_addresses()[0];
        let begun = starts_by_zone(&mut fleet, host, 0x100).await;
        assert!(begun[0] + begun[1] > 0);
    });
}

/// Guards against callers who stay with a host that can't serve them: their zone is evacuated, and cut off
/// from the others.
#[test]
fn a_host_that_reaches_no_zone_in_service_sends_its_callers_away() {
    block_on(async {
        let mut fleet = Fleet::start(&two_zones()).await.expect("it starts");
        let hosts = fleet.host_names();
        until_linked(&fleet).await;
        evacuate_first_zone(&fleet).await;
        for name in &hosts[2..] {
            let route = format!("peer-{name}");
            fleet.set_mode(&route, Mode::Cut).await.expect("a cut");
        }
        let begun = Instant::now();
        while fleet.readiness(&hosts[0]).await == Some(200) {
            assert!(begun.elapsed() < CEILING, "it calls itself ready");
            Timer::after(Duration::from_millis(20)).await;
        }
        let host = fleet.caller_addresses()[0];
        let refused = send(host, 0x100).await.expect("an answer");
        assert_eq!(refused.status, 503);
        assert_eq!(refused.header_value("connection"), Some("close"));
        fleet.set_evacuated("z0", false).await.expect("a record");
        until_logged(&fleet, &hosts[..2], &["ZoneRestored"], 1).await;
        while fleet.readiness(&hosts[0]).await != Some(200) {
            assert!(begun.elapsed() < CEILING, "it does not become ready");
            Timer::after(Duration::from_millis(20)).await;
        }
        assert!(starts_by_zone(&mut fleet, host, 0x200).await[0] > 0);
    });
}
