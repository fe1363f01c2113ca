//! The answers that callers of a host get.

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
    TIMEOUT, connect, job_body, one_zone, send_request, wait_for_owner, wait_until,
    wait_until_host_ends, wait_until_job_completes,
};

/// Jobs that must be stored are not supported yet: such a job is refused immediately with a
/// `retry-after` header, and no task of it starts.
#[test]
fn job_that_must_be_stored_is_refused_and_never_runs() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
        let mut connection = connect(fleet.caller_addresses()[0]).await;
        let mut stored = job_body(10, 2);
        stored["best_effort"] = json!(false);
        let reply = send_request(&mut connection, Method::Post, "00000000000000aa", &stored).await;
        let reply = reply.expect("the host answers");
        assert_eq!(reply.status, 503);
        assert!(reply.header_value("retry-after").is_some());
        assert!(fleet.take_records().await.is_empty());
    });
}

/// A body above the limit of the manifest is refused with status 413, and no task of the job starts.
#[test]
fn body_above_the_manifest_limit_is_refused() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
        let mut connection = connect(fleet.caller_addresses()[0]).await;
        let mut large = job_body(10, 1);
        large["spec"] = json!("x".repeat(300 << 10));
        let reply = send_request(&mut connection, Method::Post, "00000000000000aa", &large).await;
        assert_eq!(reply.expect("the host answers").status, 413);
        assert!(fleet.take_records().await.is_empty());
    });
}

/// A route that is not in the manifest is answered with 404, and a query for a job with 410, since a job's
/// state is returned only to the caller that submitted it.
#[test]
fn unknown_route_gets_404_and_unknown_job_gets_410() {
    block_on(async {
        let fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
        let mut connection = connect(fleet.caller_addresses()[0]).await;
        let empty_body = json!({});
        let job_state = send_request(
            &mut connection,
            Method::Get,
            "00000000000000aa",
            &empty_body,
        )
        .await;
        assert_eq!(job_state.expect("the host answers").status, 410);
        let pending = send_request(&mut connection, Method::Get, "", &empty_body).await;
        assert_eq!(pending.expect("the host answers").body, br#"{"pending":0}"#);
        let headers = [("host", SmolStr::new_static("elsewhere.example"))];
        let unknown_route = connection
            .call(
                Method::Post,
                "/jobs/00000000000000aa",
                &headers,
                b"{}".into(),
                TIMEOUT,
            )
            .await;
        assert_eq!(unknown_route.expect("the host answers").status, 404);
    });
}

/// Every host is asked to stop while it has a job in progress on an open connection. Each caller
/// receives its whole answer, and no host ends before it has sent the answer.
#[test]
fn planned_stop_cuts_off_no_job() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
        let mut connections = Vec::new();
        for address in fleet.caller_addresses() {
            connections.push(connect(address).await);
        }
        let (mut first, mut second) = (connections.remove(0), connections.remove(0));
        let body = job_body(700, 1);
        let requests = futures_lite::future::zip(
            send_request(&mut first, Method::Post, "00000000000000aa", &body),
            send_request(&mut second, Method::Post, "00000000000000bb", &body),
        );
        let stop = async {
            Timer::after(Duration::from_millis(200)).await;
            for name in fleet.host_names() {
                fleet
                    .signal_host(&name, |process| process.request_stop())
                    .expect("the signal is sent");
            }
        };
        let ((first_reply, second_reply), ()) = futures_lite::future::zip(requests, stop).await;
        for reply in [first_reply, second_reply] {
            let reply = reply.expect("the whole answer arrives");
            let body_text = String::from_utf8_lossy(&reply.body).into_owned();
            let logs: Vec<String> = fleet
                .host_names()
                .iter()
                .map(|name| fleet.log_tail(name))
                .collect();
            assert_eq!(body_text, r#"{"state":"completed"}"#, "{}", logs.join("\n"));
        }
        for name in fleet.host_names() {
            wait_until_host_ends(&mut fleet, &name).await;
        }
    });
}

/// A caller disconnects while its job of five seconds runs. The run is stopped, so that its resources are
/// free for other jobs.
#[test]
fn job_is_stopped_when_its_caller_disconnects() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
        let address = fleet.caller_addresses()[0];
        let mut connection = connect(address).await;
        let body = job_body(5_000, 1);
        let request = send_request(&mut connection, Method::Post, "00000000000000aa", &body);
        let disconnect = async {
            Timer::after(Duration::from_millis(400)).await;
            Err(CallError::unsent("the caller leaves"))
        };
        let outcome = futures_lite::FutureExt::or(request, disconnect).await;
        assert!(outcome.is_err());
        drop(connection);
        let mut records = Vec::new();
        wait_until("the run is stopped", async || {
            records.extend(fleet.take_records().await);
            records
                .iter()
                .any(|(_, record)| record.event == "stopped")
                .then_some(())
        })
        .await;
        let lines = fleet.log_lines_with("00000000000000aa");
        let is_logged = lines.iter().any(|line| line.contains("the caller left"));
        assert!(is_logged, "{lines:?}");
    });
}

/// A host is killed and starts again, and its callers connect immediately, as all do after a power
/// failure. For 20 to 200 ms the host knows neither the manifest nor an owner, and in that time it
/// refused its callers. Callers must wait until the host knows both, and then be served.
#[test]
fn callers_that_connect_while_a_host_starts_are_served() {
    block_on(async {
        let options = FleetOptions {
            hosts: 1,
            ..one_zone()
        };
        let mut fleet = Fleet::start(&options).await.expect("the fleet starts");
        let name = fleet.host_names().remove(0);
        wait_for_owner(&fleet).await;
        // The answer is of use for longer than a host delays requests after its start.
        fleet
            .put_manifest(2, 400)
            .await
            .expect("the manifest is published");
        let slow = StoreFaults {
            delay_ms: 20,
            ..StoreFaults::default()
        };
        fleet
            .set_store_faults(&slow)
            .await
            .expect("the faults are set");
        fleet
            .signal_host(&name, |process| process.kill())
            .expect("the host is killed");
        fleet.start_host(&name).expect("the host starts");
        let address = fleet.caller_addresses()[0];
        let body = job_body(10, 1);
        // While no host process listens, the proxy accepts connections and closes them immediately.
        let reply = wait_until("the host answers on a connection", async || {
            let mut connection = Connection::open(address, ClientOptions::default())
                .await
                .ok()?;
            send_request(&mut connection, Method::Post, "00000000000000aa", &body)
                .await
                .ok()
        })
        .await;
        let body_text = String::from_utf8_lossy(&reply.body).into_owned();
        assert_eq!(
            body_text,
            r#"{"state":"completed"}"#,
            "{}",
            fleet.log_tail(&name)
        );
    });
}

/// A host starts while the store is unreachable. It receives the manifest and the owner of the pool
/// from another host; without them its callers would be refused until the store can be reached
/// again.
#[test]
fn host_that_starts_without_the_store_serves_callers() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
        let names = fleet.host_names();
        let owner = wait_for_owner(&fleet).await;
        let other = &names[1 - owner];
        fleet
            .set_mode("store-*", Mode::Cut)
            .await
            .expect("the routes are cut");
        fleet
            .signal_host(other, |process| process.kill())
            .expect("the host is killed");
        fleet.start_host(other).expect("the host starts");
        wait_until_job_completes(&fleet, 1 - owner).await;
        let log = fleet.log_tail(other);
        assert!(log.contains("from another host"), "{log}");
    });
}

/// A host does not end at SIGHUP, and applies a new manifest without that signal.
#[test]
fn host_applies_manifest_and_reload_while_it_serves() {
    block_on(async {
        let mut fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
        fleet
            .put_manifest(9, 70)
            .await
            .expect("the manifest is published");
        for name in fleet.host_names() {
            fleet
                .signal_host(&name, |process| process.request_reload())
                .expect("the signal is sent");
            wait_until(
                "the log shows the new manifest and the reload",
                async || {
                    let log = fleet.log_tail(&name);
                    (log.contains("version 9") && log.contains("told: true")).then_some(())
                },
            )
            .await;
        }
        let mut connection = connect(fleet.caller_addresses()[0]).await;
        let reply = send_request(
            &mut connection,
            Method::Post,
            "00000000000000aa",
            &job_body(10, 3),
        )
        .await;
        assert_eq!(
            reply.expect("the host answers").body,
            br#"{"state":"completed"}"#
        );
    });
}
