//! The ownership of pools, and the links between hosts and owners.

use std::time::{Duration, Instant};

use async_io::{Timer, block_on};
use http_types::Method;
use onyxshed_soak::fleet::{Fleet, FleetOptions};
use onyxshed_standins::faults::Mode;
use onyxshed_standins::fleet::store::StoreFaults;

use crate::support::{
    connect, job_body, one_zone, send_request, wait_for_owner, wait_until, wait_until_host_ends,
    wait_until_job_completes,
};

/// The owner of a zone's pool is killed and restarted while the store still keeps the membership of the
/// killed process. The new process recognizes its own address in the owner's name, ends that membership and
/// serves. No other host could serve before the membership expires, which it never does in this test.
#[test]
fn restarted_owner_takes_its_pool_back() {
    block_on(async {
        let options = FleetOptions {
            hosts: 1,
            ..one_zone()
        };
        let keeps_members = StoreFaults {
            keeps_members: true,
            ..StoreFaults::default()
        };
        let mut fleet = Fleet::start(&options).await.expect("the fleet starts");
        fleet
            .set_store_faults(&keeps_members)
            .await
            .expect("the faults are set");
        let name = fleet.host_names().remove(0);
        // The membership is renewed every 350 ms, and with the fault each renewal lasts for the rest of the
        // test.
        Timer::after(Duration::from_millis(700)).await;
        fleet
            .signal_host(&name, |process| process.kill())
            .expect("the host is killed");
        fleet.start_host(&name).expect("the host starts");
        wait_until_job_completes(&fleet, 0).await;
    });
}

/// The owner of a pool is cut off from the store and continues to serve after its membership has
/// expired. Another host starts, has no contact with an owner yet and reads in the store that the
/// pool has no owner. If it acquired the pool, all jobs of the owner would be lost. Instead it
/// finds the owner in the records of the store and forwards its callers' jobs to that owner.
#[test]
fn starting_host_finds_owner_whose_membership_has_expired() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
        let names = fleet.host_names();
        let owner = wait_for_owner(&fleet).await;
        let other = &names[1 - owner];
        let store = format!("store-{}", names[owner]);
        fleet
            .set_mode(&store, Mode::Cut)
            .await
            .expect("the routes are cut");
        fleet
            .signal_host(other, |process| process.kill())
            .expect("the host is killed");
        // The owner's membership expires after 1,400 ms.
        Timer::after(Duration::from_millis(2_500)).await;
        let length_before = fleet.log_tail(other).len();
        fleet.start_host(other).expect("the host starts");
        wait_until_job_completes(&fleet, 1 - owner).await;
        let log = fleet.log_tail(other);
        let new_lines = log.get(length_before..).unwrap_or(&log);
        assert!(!new_lines.contains("PoolOwned"), "{new_lines}");
    });
}

/// A pool's owner is stopped while no host reaches the store, so that no host can join the pool's
/// group. The owner appoints the other host as its successor, which serves the zone's callers;
/// without a successor they would be refused until the store can be reached again. When the store
/// answers again, the successor becomes the owner in the store as well, although the stopped host
/// has been restarted and finds its own old name there.
#[test]
fn owner_that_stops_without_the_store_appoints_a_successor() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
        let names = fleet.host_names();
        let owner = wait_for_owner(&fleet).await;
        let successor = &names[1 - owner];
        fleet
            .set_mode("store-*", Mode::Cut)
            .await
            .expect("the routes are cut");
        fleet
            .signal_host(&names[owner], |process| process.request_stop())
            .expect("the signal is sent");
        wait_until("the successor owns the pool", async || {
            fleet
                .log_tail(successor)
                .contains("PoolOwned")
                .then_some(())
        })
        .await;
        wait_until_job_completes(&fleet, 1 - owner).await;
        wait_until_host_ends(&mut fleet, &names[owner]).await;
        fleet.start_host(&names[owner]).expect("the host starts");
        wait_until(
            "the new process has failed to reach the store",
            async || {
                let log = fleet.log_tail(&names[owner]);
                let incarnations: Vec<&str> = log.split("ProcessStarted").collect();
                let new_lines = incarnations.get(2)?;
                new_lines.contains("\"owners\"").then_some(())
            },
        )
        .await;
        fleet
            .set_mode("store-*", Mode::Pass)
            .await
            .expect("the routes are restored");
        wait_until_job_completes(&fleet, owner).await;
        wait_until_job_completes(&fleet, 1 - owner).await;
        let log = fleet.log_tail(successor);
        let other = fleet.log_tail(&names[owner]);
        assert!(!log.contains("PoolGivenUp"), "{log}\n{other}");
    });
}

/// Both hosts are stopped and started one after the other while the store is unreachable: the pool
/// is transferred to a successor, and from there to the next one, while the store keeps the
/// membership of the first owner. When the store answers again, the last successor has to end that
/// membership. A successor that mistook it for the membership of another owner released the pool
/// with its jobs in progress.
#[test]
fn second_successor_is_the_owner_when_the_store_is_back() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
        let keeps_members = StoreFaults {
            keeps_members: true,
            ..StoreFaults::default()
        };
        fleet
            .set_store_faults(&keeps_members)
            .await
            .expect("the faults are set");
        let names = fleet.host_names();
        let owner = wait_for_owner(&fleet).await;
        // The owner renews its membership every 350 ms, and with the fault each renewal lasts for the rest of
        // the test.
        Timer::after(Duration::from_millis(700)).await;
        fleet
            .set_mode("store-*", Mode::Cut)
            .await
            .expect("the routes are cut");
        for host_index in [owner, 1 - owner] {
            let name = &names[host_index];
            fleet
                .signal_host(name, |process| process.request_stop())
                .expect("the signal is sent");
            wait_until_host_ends(&mut fleet, name).await;
            fleet.start_host(name).expect("the host starts");
            wait_until_job_completes(&fleet, host_index).await;
        }
        let length_before = fleet.log_tail(&names[owner]).len();
        fleet
            .set_mode("store-*", Mode::Pass)
            .await
            .expect("the routes are restored");
        // A successor that considered itself replaced would serve for another second and then release the
        // pool.
        Timer::after(Duration::from_millis(2_500)).await;
        wait_until_job_completes(&fleet, owner).await;
        let log = fleet.log_tail(&names[owner]);
        let new_lines = log.get(length_before..).unwrap_or(&log);
        assert!(!new_lines.contains("PoolGivenUp"), "{log}");
    });
}

/// Guards against a pool that moves from host to host because other members join its group and leave it
/// again.
#[test]
fn pool_keeps_its_owner_when_another_member_joins_and_leaves() {
    block_on(async {
        let options = FleetOptions {
            hosts: 4,
            ..one_zone()
        };
        let fleet = Fleet::start(&options).await.expect("the fleet starts");
        wait_until_job_completes(&fleet, 0).await;
        for _ in 0..3 {
            let joins_before = fleet.join_count().await.expect("the store answers");
            let result = fleet.join_and_leave_group("pool.z0.0").await;
            result.expect("the store answers");
            wait_until("the owner has renewed its membership", async || {
                let joins = fleet.join_count().await.expect("the store answers");
                (joins >= joins_before + 4).then_some(())
            })
            .await;
        }
        let names = fleet.host_names();
        let owned_counts = names
            .iter()
            .map(|name| fleet.log_tail(name).matches("\"PoolOwned\"").count());
        assert_eq!(owned_counts.sum::<usize>(), 1, "the pool has had one owner");
    });
}

/// Guards against a link that stays unusable because the late renewal of its session put a closed connection
/// back into use.
#[test]
fn late_renewal_reuses_no_closed_connection() {
    /// The idle time after which the session is renewed before the next job is sent.
    const IDLE_TIME: Duration = Duration::from_millis(400);
    /// The time after which the link's heartbeat has timed out, but the renewal has not.
    const HEARTBEAT_TIMED_OUT: Duration = Duration::from_millis(240);
    block_on(async {
        let fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
        let owner = wait_for_owner(&fleet).await;
        let route = format!("peer-{}", fleet.host_names()[owner]);
        let other = 1 - owner;
        wait_until_job_completes(&fleet, other).await;
        for _ in 0..4 {
            fleet
                .set_mode(&route, Mode::Hold)
                .await
                .expect("the mode is set");
            Timer::after(IDLE_TIME).await;
            let mut connection = connect(fleet.caller_addresses()[other]).await;
            let body = job_body(10, 1);
            let request = send_request(&mut connection, Method::Post, "00000000000000bb", &body);
            let restore_route = async {
                Timer::after(HEARTBEAT_TIMED_OUT).await;
                fleet
                    .set_mode(&route, Mode::Pass)
                    .await
                    .expect("the mode is set");
            };
            // This job may be served or not.
            let _ = futures_lite::future::zip(request, restore_route).await;
            wait_until_job_completes(&fleet, other).await;
        }
    });
}

/// Guards against a membership that expires because the owner's connection to the store has become unresponsive,
/// while new ones work.
#[test]
fn owner_keeps_its_membership_if_its_connection_to_the_store_is_unresponsive() {
    /// Longer than the membership lives without a renewal.
    const OBSERVED: Duration = Duration::from_millis(2_000);
    block_on(async {
        let fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
        let owner = wait_for_owner(&fleet).await;
        let store = format!("store-{}", fleet.host_names()[owner]);
        for _ in 0..4 {
            let stalled = fleet.set_mode(&store, Mode::StallExisting).await;
            stalled.expect("the mode is set");
            let until = Instant::now() + OBSERVED;
            while Instant::now() < until {
                let is_held = fleet.has_holder("pool.z0.0").await;
                assert!(
                    is_held.expect("the store answers"),
                    "the membership expired"
                );
                Timer::after(Duration::from_millis(5)).await;
            }
        }
    });
}
