//! One open connection of a host to the store goes silent for good. Much later the owner of the zone's
//! pool stands still, and the manifest changes. The other hosts must have it in force in time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::executor::Executor;
use crate::fleet::{Fleet, ROUTE_HOST, cannot_run};
use crate::http;

/// Zone whose owner stands still; it has two hosts.
const ZONE: &str = "z3";

/// Time within which a confirmed manifest has to be in force; `config_apply_ms` in the settings.
const APPLY: Duration = Duration::from_millis(2_000);

/// Time from the silence to the freeze: three times `stable_window_ms` and more.
const CALM: Duration = Duration::from_secs(10);

/// Length of the freeze.
const FREEZE: Duration = Duration::from_secs(4);

/// Time from the start of the freeze to the change of the manifest.
const CHANGE_AFTER: Duration = Duration::from_millis(20);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut fleet = Fleet::start(record.clone());
    fleet.publish(1);
    let zones = [("z1", 3), ("z2", 3), ("z3", 2)];
    let executors: Vec<Arc<Executor>> = zones
        .iter()
        .flat_map(|(zone, _)| (1..=4).map(move |number| (*zone, number)))
        .map(|(zone, number)| {
            Executor::start(
                &format!("x-{zone}-{number}"),
                zone,
                "a",
                fleet.store,
                record.clone(),
            )
        })
        .collect();
    fleet.start_hosts(&zones);
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(6));
    // `ONLY=silence` and `ONLY=freeze` leave the other disruption out.
    let only = std::env::var("ONLY").unwrap_or_default();
    let has_silence = has_trouble && only != "freeze";
    let has_freeze = has_trouble && only != "silence";
    let owned_before = owner_of_zone(&fleet);
    if has_silence {
        // The other host of the zone.
        let silenced = fleet
            .hosts
            .iter()
            .enumerate()
            .find(|(index, host)| *index != owned_before && host.name.contains(ZONE));
        let Some((_, silenced)) = silenced else {
            cannot_run("the zone has no second host");
        };
        let count = silenced.store.silence_operators_topic();
        record.write(&format!(
            "{count} open connection of {} to the store is silent from now on",
            silenced.name
        ));
        if count == 0 {
            cannot_run("no open connection follows the operators' topic");
        }
    }
    thread::sleep(CALM);
    // Without a further disruption, a change is in force in time.
    let confirmed_at = fleet.publish(2);
    thread::sleep((confirmed_at + APPLY).saturating_duration_since(Instant::now()));
    let hosts: Vec<usize> = (0..fleet.hosts.len()).collect();
    let late_before = ask_until(
        record,
        &fleet,
        &hosts,
        2,
        confirmed_at + APPLY + Duration::from_millis(300),
    );
    if late_before > 0 {
        record.write("the first change was late as well");
    }
    let owner = owner_of_zone(&fleet);
    record.write(&format!(
        "{} owns the pool of {ZONE}",
        fleet.hosts[owner].name
    ));
    if has_freeze {
        fleet.hosts[owner].signal("STOP");
        record.write(&format!("{} stands still", fleet.hosts[owner].name));
    }
    let frozen_at = Instant::now();
    thread::sleep(CHANGE_AFTER);
    let confirmed_at = fleet.publish(3);
    let others: Vec<usize> = hosts.into_iter().filter(|host| *host != owner).collect();
    thread::sleep((confirmed_at + APPLY).saturating_duration_since(Instant::now()));
    let late = ask_until(
        record,
        &fleet,
        &others,
        3,
        confirmed_at + Duration::from_millis(3_500),
    );
    thread::sleep((frozen_at + FREEZE).saturating_duration_since(Instant::now()));
    if has_freeze {
        fleet.hosts[owner].signal("CONT");
        record.write(&format!("{} goes on", fleet.hosts[owner].name));
    }
    thread::sleep(Duration::from_millis(500));
    drop(executors);
    for host in &fleet.hosts {
        let log = host.log();
        let lines = log.lines().filter(|line| {
            ["ManifestInForce", "StoreLost", "PoolLinkDown"]
                .iter()
                .any(|name| line.contains(name))
        });
        lines.for_each(|line| record.write(&format!("log of {}: {line}", host.name)));
    }
    let text = format!(
        "{late} requests sent later than 2,000 ms after the confirmation were refused with 404"
    );
    record.write(&text);
    crate::say(&text);
    late > 0
}

fn owner_of_zone(fleet: &Fleet) -> usize {
    let owner = fleet.owner_of(ZONE);
    owner.unwrap_or_else(|| cannot_run("the zone has no owner"))
}

/// Sends jobs on the route that a version has added to each of the hosts until `deadline`, and returns
/// how many were refused with 404.
fn ask_until(
    record: &Arc<Record>,
    fleet: &Fleet,
    hosts: &[usize],
    version: u64,
    deadline: Instant,
) -> u64 {
    let asking: Vec<_> = hosts
        .iter()
        .map(|host| {
            let host = &fleet.hosts[*host];
            let (name, front, record) = (host.name.clone(), host.front, record.clone());
            thread::spawn(move || ask(&record, &name, front, version, deadline))
        })
        .collect();
    asking
        .into_iter()
        .map(|thread| thread.join().unwrap_or(0))
        .sum()
}

fn ask(record: &Record, name: &str, front: SocketAddr, version: u64, deadline: Instant) -> u64 {
    let mut late = 0;
    let mut count = 0_u64;
    while Instant::now() < deadline {
        count += 1;
        let number = u64::from(front.port()) ^ u64::from(front.ip().is_ipv4());
        let id = format!(
            "{:08x}{count:08x}",
            number + version * 65_536 + name.len() as u64 * 7 + last_byte(front)
        );
        let body = "{\"spec\":\"10\",\"best_effort\":true,\"phases\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\
                    \"est_runtime_ms\":10}]}";
        let path = format!("/added{version}/{id}");
        record.write(&format!("sent {path} to {name}"));
        let headers = [("host", ROUTE_HOST), ("x-onyxshed-deadline-ms", "1500")];
        let reply = http::call(
            front,
            "POST",
            &path,
            &headers,
            body,
            Duration::from_millis(1_500),
        );
        let status = reply.as_ref().map_or(0, http::Message::status);
        record.write(&format!("answered {path} by {name}: {status}"));
        late += u64::from(status == 404);
        thread::sleep(Duration::from_millis(10));
    }
    late
}

fn last_byte(address: SocketAddr) -> u64 {
    match address {
        SocketAddr::V4(address) => u64::from(address.ip().octets()[3]) << 20,
        SocketAddr::V6(_) => 0,
    }
}
