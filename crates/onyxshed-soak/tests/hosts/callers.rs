//! What callers of a host hear.

use std::time::Duration;

use async_io::{Timer, block_on};
use http_types::Method;
use onyxshed_http::CallError;
use onyxshed_http::client::{ClientOptions, Connection};
use onyxshed_soak::fleet::{Fleet, FleetOptions};
use onyxshed_standins::faults::Mode;
use onyxshed_standins::fleet::store::StoreFaults;
use serde_json::json;
use smol_str::SmolStr;

use crate::support::{
    CEILING, ask, job, one_zone, open, owner_of_both_executors, until, until_a_job_is_completed,
    until_it_has_ended,
};

/// A job that must be kept can't be yet: its caller hears so at once, with a time to come back, and
/// nothing of it ever starts.
#[test]
fn a_job_that_must_be_stored_is_refused_and_never_runs() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("it starts");
        let mut connection = open(fleet.caller_addresses()[0]).await;
        let mut stored = job(10, 2);
        stored["best_effort"] = json!(false);
        let reply = ask(&mut connection, Method::Post, "00000000000000aa", &stored).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, 503);
        assert!(reply.header_value("retry-after").is_some());
        assert!(fleet.all_records().await.is_empty());
    });
}

/// A caller sends more than the manifest allows: it hears so, and nothing of its job starts.
#[test]
fn a_body_beyond_the_manifests_limit_is_refused() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("it starts");
        let mut connection = open(fleet.caller_addresses()[0]).await;
        let mut large = job(10, 1);
        large["spec"] = json!("x".repeat(300 << 10));
        let reply = ask(&mut connection, Method::Post, "00000000000000aa", &large).await;
        assert_eq!(reply.expect("an answer").status, 413);
        assert!(fleet.all_records().await.is_empty());
    });
}

/// A route that no manifest names is unknown; a job's state is known to nobody but its caller.
#[test]
fn unknown_routes_and_jobs_are_said_to_be_unknown() {
    block_on(async {
        let fleet = Fleet::start(&one_zone()).await.expect("it starts");
        let mut connection = open(fleet.caller_addresses()[0]).await;
        let nothing = json!({});
        let gone = ask(&mut connection, Method::Get, "00000000000000aa", &nothing).await;
        assert_eq!(gone.expect("an answer").status, 410);
        let pending = ask(&mut connection, Method::Get, "", &nothing).await;
        assert_eq!(pending.expect("an answer").body, br#"{"pending":0}"#);
        let headers = [("host", SmolStr::new_static("elsewhere.example"))];
        let elsewhere = connection
            .call(
                Method::Post,
                "/jobs/00000000000000aa",
                &headers,
                b"{}".into(),
                CEILING,
            )
            .await;
        assert_eq!(elsewhere.expect("an answer").status, 404);
    });
}

/// Every host is asked to stop while each has a job under way on an open connection. Each caller
/// gets its whole answer, and no host ends before it has given it.
#[test]
fn a_planned_stop_cuts_off_no_job() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("it starts");
        let mut connections = Vec::new();
        for address in fleet.caller_addresses() {
            connections.push(open(address).await);
        }
        let (mut first, mut second) = (connections.remove(0), connections.remove(0));
        let body = job(700, 1);
        let under_way = futures_lite::future::zip(
            ask(&mut first, Method::Post, "00000000000000aa", &body),
            ask(&mut second, Method::Post, "00000000000000bb", &body),
        );
        let stop = async {
            Timer::after(Duration::from_millis(200)).await;
            for name in fleet.host_names() {
                fleet
                    .signal_host(&name, |process| process.ask_to_stop())
                    .expect("a signal");
            }
        };
        let ((one, other), ()) = futures_lite::future::zip(under_way, stop).await;
        for reply in [one, other] {
            let reply = reply.expect("a whole answer");
            let words = String::from_utf8_lossy(&reply.body).into_owned();
            let logs: Vec<String> = fleet
                .host_names()
                .iter()
                .map(|name| fleet.log_of(name))
                .collect();
            assert_eq!(words, r#"{"state":"completed"}"#, "{}", logs.join("\n"));
        }
        for name in fleet.host_names() {
            until_it_has_ended(&mut fleet, &name).await;
        }
    });
}

/// A caller leaves while its job of five seconds runs. The run is stopped, so that its room serves
/// others; nobody waits for it any more.
#[test]
fn a_job_whose_caller_leaves_is_stopped() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("it starts");
        let address = fleet.caller_addresses()[0];
        let mut connection = open(address).await;
        let body = job(5_000, 1);
        let asked = ask(&mut connection, Method::Post, "00000000000000aa", &body);
        let leave = async {
            Timer::after(Duration::from_millis(400)).await;
            Err(CallError::unsent("the caller leaves"))
        };
        let left = futures_lite::FutureExt::or(asked, leave).await;
        assert!(left.is_err());
        drop(connection);
        let mut seen = Vec::new();
        until("the run is stopped", async || {
            seen.extend(fleet.all_records().await);
            seen.iter()
                .any(|(_, record)| record.what == "stopped")
                .then_some(())
        })
        .await;
        let lines = fleet.lines_about("00000000000000aa");
        let told = lines.iter().any(|line| line.contains("the caller left"));
        assert!(told, "{lines:?}");
    });
}

/// A host is killed and starts again, and its callers connect at once, as all do after a loss of power. It
/// knows neither the manifest nor an owner for some 20 to 200 ms, and refused them; they wait for that
/// moment and are served.
#[test]
fn callers_that_come_while_a_host_starts_are_served() {
    block_on(async {
        let options = FleetOptions {
            hosts: 1,
            ..one_zone()
        };
        let mut fleet = Fleet::start(&options).await.expect("it starts");
        let name = fleet.host_names().remove(0);
        owner_of_both_executors(&fleet).await;
        let slow = StoreFaults {
            delay_ms: 20,
            ..StoreFaults::default()
        };
        fleet.set_store_faults(&slow).await.expect("a fault");
        fleet
            .signal_host(&name, |process| process.kill())
            .expect("a kill");
        fleet.start_host(&name).expect("a start");
        let address = fleet.caller_addresses()[0];
        let body = job(10, 1);
        // The proxy before the host opens connections that end at once while no process listens.
        let reply = until("the host takes a connection", async || {
            let mut connection = Connection::open(address, ClientOptions::default())
                .await
                .ok()?;
            ask(&mut connection, Method::Post, "00000000000000aa", &body)
                .await
                .ok()
        })
        .await;
        let words = String::from_utf8_lossy(&reply.body).into_owned();
        assert_eq!(words, r#"{"state":"completed"}"#, "{}", fleet.log_of(&name));
    });
}

/// A host starts while the store is down. Its callers would be refused until the store is back, since it
/// knows neither the manifest nor who owns the pool; another host tells it both.
#[test]
fn a_host_that_starts_while_the_store_is_away_serves() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("it starts");
        let names = fleet.host_names();
        let owner = owner_of_both_executors(&fleet).await;
        let other = &names[1 - owner];
        fleet.set_mode("store-*", Mode::Cut).await.expect("a cut");
        fleet
            .signal_host(other, |process| process.kill())
            .expect("a kill");
        fleet.start_host(other).expect("a start");
        until_a_job_is_completed(&fleet, 1 - owner).await;
        let log = fleet.log_of(other);
        assert!(log.contains("from another host"), "{log}");
    });
}

/// SIGHUP is no reason to end, and a new manifest is in force without one.
#[test]
fn a_host_takes_up_changes_while_it_serves() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("it starts");
        fleet.put_manifest(9, 70).await.expect("it is published");
        for name in fleet.host_names() {
            fleet
                .signal_host(&name, |process| process.hang_up())
                .expect("a signal");
            until("both are in its log", async || {
                let log = fleet.log_of(&name);
                (log.contains("version 9") && log.contains("told: true")).then_some(())
            })
            .await;
        }
        let mut connection = open(fleet.caller_addresses()[0]).await;
        let reply = ask(
            &mut connection,
            Method::Post,
            "00000000000000aa",
            &job(10, 3),
        )
        .await;
        assert_eq!(reply.expect("an answer").body, br#"{"state":"completed"}"#);
    });
}
