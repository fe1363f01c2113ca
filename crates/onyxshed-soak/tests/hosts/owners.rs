//! Who owns a pool, and the links to its owner.

use std::time::Duration;

use async_io::{Timer, block_on};
use http_types::Method;
use onyxshed_soak::fleet::{Fleet, FleetOptions};
use onyxshed_standins::faults::Mode;
use onyxshed_standins::fleet::store::StoreFaults;

use crate::support::{
    ask, job, one_zone, open, owner_of_both_executors, until, until_a_job_is_completed,
    until_it_has_ended,
};

/// The owner of a zone's pool is killed and starts anew while the store still holds the pool for the
/// process that is gone. The new process knows its own address in the owner's name, ends that
/// membership and serves; nobody else could before the membership lapses, which it never does here.
#[test]
fn an_owner_that_starts_anew_takes_its_pool_back() {
    block_on(async {
        let options = FleetOptions {
            hosts: 1,
            ..one_zone()
        };
        let keeps_members = StoreFaults {
            keeps_members: true,
            ..StoreFaults::default()
        };
        let mut fleet = Fleet::start(&options).await.expect("it starts");
        fleet
            .set_store_faults(&keeps_members)
            .await
            .expect("a fault");
        let name = fleet.host_names().remove(0);
        // Its membership is renewed each 350 ms: from now on for long.
        Timer::after(Duration::from_millis(700)).await;
        fleet
            .signal_host(&name, |process| process.kill())
            .expect("a kill");
        fleet.start_host(&name).expect("a start");
        until_a_job_is_completed(&fleet, 0).await;
    });
}

/// The owner of a pool is cut off from the store, its membership lapses, and it serves on. Another
/// host starts meanwhile: it has never heard an owner and sees the pool vacant. If it took the pool,
/// every job of the owner's would be lost; it finds the owner in the store's records and hands its
/// callers' jobs to it.
#[test]
fn a_host_that_starts_finds_an_owner_that_the_stores_books_have_lost() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("it starts");
        let names = fleet.host_names();
        let owner = owner_of_both_executors(&fleet).await;
        let other = &names[1 - owner];
        let store = format!("store-{}", names[owner]);
        fleet.set_mode(&store, Mode::Cut).await.expect("a cut");
        fleet
            .signal_host(other, |process| process.kill())
            .expect("a kill");
        // The owner's membership lapses after 1,400 ms.
        Timer::after(Duration::from_millis(2_500)).await;
        let before = fleet.log_of(other).len();
        fleet.start_host(other).expect("a start");
        until_a_job_is_completed(&fleet, 1 - owner).await;
        let log = fleet.log_of(other);
        let since = log.get(before..).unwrap_or(&log);
        assert!(!since.contains("PoolOwned"), "{since}");
    });
}

/// A pool's owner is stopped while no host reaches the store, so nobody can join the pool's group. The
/// zone's callers would be refused until the store is back; instead the owner makes the other host its
/// successor, which serves them. When the store answers again, the successor is the pool's owner there too, also
/// where the stopped host has started anew and finds its own old name in the store's books.
#[test]
fn an_owner_that_stops_while_the_store_is_away_names_a_successor() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("it starts");
        let names = fleet.host_names();
        let owner = owner_of_both_executors(&fleet).await;
        let successor = &names[1 - owner];
        fleet.set_mode("store-*", Mode::Cut).await.expect("a cut");
        fleet
            .signal_host(&names[owner], |process| process.ask_to_stop())
            .expect("a signal");
        until("the successor owns the pool", async || {
            fleet.log_of(successor).contains("PoolOwned").then_some(())
        })
        .await;
        until_a_job_is_completed(&fleet, 1 - owner).await;
        until_it_has_ended(&mut fleet, &names[owner]).await;
        fleet.start_host(&names[owner]).expect("a start");
        until("the new process misses the store", async || {
            let log = fleet.log_of(&names[owner]);
            let lives: Vec<&str> = log.split("ProcessStarted").collect();
            let since = lives.get(2)?;
            since.contains("\"owners\"").then_some(())
        })
        .await;
        fleet.set_mode("store-*", Mode::Pass).await.expect("an end");
        until_a_job_is_completed(&fleet, owner).await;
        until_a_job_is_completed(&fleet, 1 - owner).await;
        let log = fleet.log_of(successor);
        let other = fleet.log_of(&names[owner]);
        assert!(!log.contains("PoolGivenUp"), "{log}\n{other}");
    });
}

/// Both hosts are stopped and started one after the other while the store is away: the pool goes to an
/// successor, and from that one to the next, while the store keeps the membership of the first owner. When it
/// answers again the last successor has to end that membership; one that took it for another owner's gave the
/// pool up, with the jobs under way.
#[test]
fn a_successors_successor_is_the_owner_when_the_store_is_back() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("it starts");
        let keeps_members = StoreFaults {
            keeps_members: true,
            ..StoreFaults::default()
        };
        fleet
            .set_store_faults(&keeps_members)
            .await
            .expect("a fault");
        let names = fleet.host_names();
        let owner = owner_of_both_executors(&fleet).await;
        // The owner's membership is renewed each 350 ms: from now on for long.
        Timer::after(Duration::from_millis(700)).await;
        fleet.set_mode("store-*", Mode::Cut).await.expect("a cut");
        for place in [owner, 1 - owner] {
            let name = &names[place];
            fleet
                .signal_host(name, |process| process.ask_to_stop())
                .expect("a signal");
            until_it_has_ended(&mut fleet, name).await;
            fleet.start_host(name).expect("a start");
            until_a_job_is_completed(&fleet, place).await;
        }
        let before = fleet.log_of(&names[owner]).len();
        fleet.set_mode("store-*", Mode::Pass).await.expect("an end");
        // One that took itself for replaced would serve on for a second, and give the pool up.
        Timer::after(Duration::from_millis(2_500)).await;
        until_a_job_is_completed(&fleet, owner).await;
        let log = fleet.log_of(&names[owner]);
        let since = log.get(before..).unwrap_or(&log);
        assert!(!since.contains("PoolGivenUp"), "{log}");
    });
}

/// Guards against a pool that goes from host to host because others join its group and leave again.
#[test]
fn a_pool_stays_where_it_is_when_another_host_joins_and_leaves() {
    block_on(async {
        let options = FleetOptions {
            hosts: 4,
            ..one_zone()
        };
        let fleet = Fleet::start(&options).await.expect("it starts");
        until_a_job_is_completed(&fleet, 0).await;
        for _ in 0..3 {
            let before = fleet.joins().await.expect("the store answers");
            let passed = fleet.pass_through_group("pool.z0.0").await;
            passed.expect("the store answers");
            until("the owner has renewed its membership", async || {
                let joins = fleet.joins().await.expect("the store answers");
                (joins >= before + 4).then_some(())
            })
            .await;
        }
        let names = fleet.host_names();
        let owned = names
            .iter()
            .map(|name| fleet.log_of(name).matches("\"PoolOwned\"").count());
        assert_eq!(owned.sum::<usize>(), 1, "one host has owned the pool");
    });
}

/// Guards against a link that stays unusable because a late renewal of its session brought a connection back
/// that had been given up.
#[test]
fn a_late_renewal_brings_no_dead_connection_back() {
    /// Time after which the next job renews the session first.
    const QUIET: Duration = Duration::from_millis(400);
    /// Time until the link's own heartbeat has gone unanswered for too long, and the renewal has not.
    const GIVEN_UP: Duration = Duration::from_millis(240);
    block_on(async {
        let fleet = Fleet::start(&one_zone()).await.expect("it starts");
        let owner = owner_of_both_executors(&fleet).await;
        let route = format!("peer-{}", fleet.host_names()[owner]);
        let other = 1 - owner;
        until_a_job_is_completed(&fleet, other).await;
        for _ in 0..4 {
            fleet.set_mode(&route, Mode::Hold).await.expect("a mode");
            Timer::after(QUIET).await;
            let mut connection = open(fleet.caller_addresses()[other]).await;
            let body = job(10, 1);
            let asked = ask(&mut connection, Method::Post, "00000000000000bb", &body);
            let heal = async {
                Timer::after(GIVEN_UP).await;
                fleet.set_mode(&route, Mode::Pass).await.expect("a mode");
            };
            // Whether this one is served does not matter.
            let _ = futures_lite::future::zip(asked, heal).await;
            until_a_job_is_completed(&fleet, other).await;
        }
    });
}
