//! Topics of the store that hosts follow through the owner of their home pool.

use std::time::{Duration, Instant};

use async_io::{Timer, block_on};
use onyxshed_soak::fleet::{Fleet, FleetOptions};
use onyxshed_standins::faults::Mode;
use smol_str::SmolStr;

use crate::support::{one_zone, wait_for_owner, wait_until, wait_until_job_completes};

/// The purposes of the calls by which hosts follow topics.
const TOPICS: [&str; 3] = ["operators", "layouts", "owner_records"];

async fn topic_call_count(fleet: &Fleet, host: &SmolStr) -> u64 {
    let mut count = 0;
    for purpose in TOPICS {
        let calls = fleet.store_call_count(host, purpose).await;
        count += calls.unwrap_or_default();
    }
    count
}

/// Guards against: the calls to the store grow with the hosts, because each host polls it for changes.
#[test]
fn hosts_that_own_no_pool_do_not_poll_the_store() {
    block_on(async {
        let options = FleetOptions {
            hosts: 4,
            ..one_zone()
        };
        let fleet = Fleet::start(&options).await.expect("the fleet starts");
        let owner = wait_for_owner(&fleet).await;
        let names = fleet.host_names();
        // Reads that were pending when the owner appeared have ended by then.
        Timer::after(Duration::from_secs(6)).await;
        let mut before = Vec::new();
        for name in &names {
            before.push(topic_call_count(&fleet, name).await);
        }
        Timer::after(Duration::from_secs(4)).await;
        for (index, name) in names.iter().enumerate() {
            let calls = topic_call_count(&fleet, name).await - before[index];
            match index == owner {
                true => assert!(calls > 0, "the owner follows the topics"),
                false => assert_eq!(calls, 0, "{name} follows the owner"),
            }
        }
    });
}

/// Starts a fleet of two hosts and returns it with the names of the host that owns the pool and of the other one,
/// which has served a job.
async fn start_with_owner() -> (Fleet, SmolStr, SmolStr) {
    let fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
    let owner = wait_for_owner(&fleet).await;
    wait_until_job_completes(&fleet, 1 - owner).await;
    let names = fleet.host_names();
    (fleet, names[owner].clone(), names[1 - owner].clone())
}

/// Puts the routes of a host to the store into a mode, publishes a manifest, and waits until `reader` has it.
async fn publish_while_store_is(fleet: &Fleet, mode: Mode, cut_off: &SmolStr, reader: &SmolStr) {
    fleet
        .set_mode(&format!("store-{cut_off}"), mode)
        .await
        .expect("the mode is set");
    fleet
        .put_manifest(70, 60)
        .await
        .expect("the manifest is written");
    wait_until("the host has the manifest", async || {
        let log = fleet.log_tail(reader);
        log.contains("version 70").then_some(())
    })
    .await;
}

/// Guards against: a host that cannot reach the store keeps an old manifest although its owner knows the new one.
#[test]
fn host_without_the_store_gets_the_manifest_from_its_owner() {
    block_on(async {
        let (fleet, _, other) = start_with_owner().await;
        publish_while_store_is(&fleet, Mode::Cut, &other, &other).await;
    });
}

/// Guards against: a host whose owner is cut off from the store, but answers, misses a manifest.
#[test]
fn host_reads_the_store_when_its_owner_cannot() {
    block_on(async {
        let (fleet, owner, other) = start_with_owner().await;
        let started_at = Instant::now();
        publish_while_store_is(&fleet, Mode::Hold, &owner, &other).await;
        // A manifest may stay unknown for 1.5 s with these settings; the rest is the read.
        assert!(started_at.elapsed() < Duration::from_secs(3));
    });
}

/// Time within which a manifest has to take effect, as the settings of the hosts say.
const MANIFEST_WITHIN: Duration = Duration::from_millis(2_000);

/// Guards against a host that is late with a manifest because it reads the store on a connection that went silent
/// while the host followed its owner.
#[test]
fn manifest_is_in_force_in_time_if_an_idle_store_connection_is_silent_and_the_owner_stops() {
    block_on(async {
        let (mut fleet, owner, other) = start_with_owner().await;
        // Reads that were pending when the owner appeared have ended by then.
        Timer::after(Duration::from_secs(3)).await;
        let store = format!("store-{other}");
        let silenced = fleet.set_mode(&store, Mode::StallExisting).await;
        silenced.expect("the mode is set");
        // Readers that are not idle have replaced their connections by then.
        Timer::after(Duration::from_secs(6)).await;
        let frozen = fleet.signal_host(&owner, |process| process.freeze());
        frozen.expect("the owner is frozen");
        let published = fleet.put_manifest(70, 60).await;
        published.expect("the manifest is written");
        let published_at = Instant::now();
        wait_until("the host has the manifest", async || {
            let log = fleet.log_tail(&other);
            log.contains("version 70").then_some(())
        })
        .await;
        let took = published_at.elapsed();
        let thawed = fleet.signal_host(&owner, |process| process.thaw());
        thawed.expect("the owner is thawed");
        assert!(
            took < MANIFEST_WITHIN,
            "{took:?}\n{}",
            fleet.log_tail(&other)
        );
    });
}
