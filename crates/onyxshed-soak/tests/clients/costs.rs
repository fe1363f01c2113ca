//! What one connection and one job cost, against what the limits count for them.

use std::sync::PoisonError;

use async_io::{Timer, block_on};
use onyxshed_http::capacity::CONNECTION_BYTES;
use onyxshed_http::listen::UNREAD_MAX_BYTES;
use onyxshed_pool::JobRequest;
use onyxshed_soak::fleet::{ExecutorClocks, Fleet, FleetOptions, MachineLimits};
use onyxshed_soak::footprint::{SAMPLE_PERIOD, peak_resident_bytes};
use onyxshed_soak::misbehavior::Misbehavior;
use rstest::rstest;

use crate::ONE_AT_A_TIME;
use crate::crowd;
use crate::hosts::serve_ordinary_requests;

/// Limits that no client of these tests meets.
const LIMITS: MachineLimits = MachineLimits {
    memory_mb: 2_000,
    max_fds: 20_000,
};

/// Number of clients whose cost is measured.
const CLIENTS: usize = 400;

/// Number of tasks that an executor can run, enough for the tasks of all clients.
const PLACES: u32 = 1_000;

/// Sends a crowd to the first of `hosts` hosts, and returns by how many bytes the peak of each host's resident
/// memory has grown for each client.
fn growth_per_client(hosts: usize, misbehavior: Misbehavior) -> Vec<u64> {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(async {
        let options = FleetOptions {
            zones: 1,
            hosts,
            executors: 2,
            places: PLACES,
            clocks: ExecutorClocks::Accurate,
            limits: LIMITS,
            ..FleetOptions::default()
        };
        let fleet = Fleet::start(&options).await.expect("the fleet starts");
        let peaks = || -> Vec<u64> {
            let names = fleet.host_names();
            let ids = names.iter().filter_map(|name| fleet.process_id(name));
            ids.map(peak_resident_bytes).collect()
        };
        let owner = owner_of(&fleet).await;
        serve_ordinary_requests(&fleet, 0).await;
        let before = peaks();
        // Another host than the owner, if there is one.
        let door = fleet.direct_caller_addresses()[(owner + 1) % hosts];
        let mut crowd = crowd::send(door, misbehavior, CLIENTS).await;
        Timer::after(SAMPLE_PERIOD * 100).await;
        let replies = crowd.replies().await;
        let held = replies.iter().filter(|reply| reply.is_empty()).count();
        let growth = peaks().into_iter().zip(before);
        let growth: Vec<u64> = growth
            .map(|(peak, before)| (peak - before) / CLIENTS as u64)
            .collect();
        println!("{misbehavior:?}: {growth:?} bytes a client, {held} held");
        assert!(
            held * 10 >= CLIENTS * 9,
            "{held} held: {:?}",
            replies.iter().max()
        );
        growth
    })
}

/// Waits until the owner of the pool has taken both executors, and returns the index of its host.
async fn owner_of(fleet: &Fleet) -> usize {
    let names = fleet.host_names();
    loop {
        let mut logs = names.iter().map(|name| fleet.log_tail(name));
        let owner = logs.position(|log| log.matches("PoolExecutorTaken").count() >= 2);
        if let Some(owner) = owner {
            return owner;
        }
        Timer::after(SAMPLE_PERIOD).await;
    }
}

/// Guards against connections that cost more than the limits count for them.
#[rstest]
#[case::head(Misbehavior::LargestHead)]
#[case::many_headers(Misbehavior::UnfinishedHead)]
#[case::silence(Misbehavior::Silence)]
fn connection_costs_no_more_than_is_counted(#[case] misbehavior: Misbehavior) {
    let counted = CONNECTION_BYTES - UNREAD_MAX_BYTES as u64;
    let growth = growth_per_client(1, misbehavior);
    assert!(growth[0] <= counted, "{growth:?} bytes, of {counted}");
}

/// Guards against jobs that cost their entry host and their owner more than the limits count for them.
#[rstest]
#[case::of_own_callers(1)]
#[case::of_another_host(2)]
fn job_costs_no_more_than_is_counted(#[case] hosts: usize) {
    const SPEC_BYTES: usize = 4_000;
    let entry = CONNECTION_BYTES - UNREAD_MAX_BYTES as u64;
    let owner = JobRequest::memory_of(SPEC_BYTES, 1).0;
    let growth = growth_per_client(hosts, Misbehavior::LargestJob);
    let (most, least) = (growth.iter().max(), growth.iter().min());
    match hosts {
        1 => assert!(most <= Some(&(entry + owner)), "{growth:?} bytes"),
        _ => assert!(
            most <= Some(&entry) && least <= Some(&owner),
            "{growth:?} bytes, of {entry} and {owner}"
        ),
    }
}
