//! Overload of a pool with real hosts that apply levels of admission.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use http_types::Method;
use onyxshed_http::client::{ClientOptions, Connection};
use onyxshed_soak::fleet::{Fleet, FleetOptions};
use serde_json::json;

use crate::support::{one_zone, send_request, wait_for_owner};

/// Number of jobs, which are sent to the two hosts in turn.
const JOBS: u64 = 1_000;

/// Time between two jobs. Two executors on which eight tasks fit each do a third of what is offered.
const PAUSE: Duration = Duration::from_millis(5);

/// Submits a job whose task takes 240 ms and an eighth of an executor, and returns the status of the reply.
async fn submit(host: SocketAddr, id: u64) -> Option<u16> {
    let mut connection = Connection::open(host, ClientOptions::default())
        .await
        .ok()?;
    let body = json!({"spec": "240", "best_effort": true,
        "phases": [{"count": 1, "cpu": 250, "mem_mb": 1, "est_runtime_ms": 240}]});
    let path = format!("{id:016x}");
    let reply = send_request(&mut connection, Method::Post, &path, &body).await;
    reply.ok().map(|reply| reply.status)
}

/// Submits the jobs from 1 on, and returns the statuses of their replies.
async fn submit_all(hosts: &[SocketAddr]) -> Vec<Option<u16>> {
    let executor = LocalExecutor::new();
    let submit_in_turn = async {
        let started_at = Instant::now();
        let mut replies = Vec::new();
        for (number, host) in (1..=JOBS).zip(hosts.iter().cycle()) {
            Timer::at(started_at + PAUSE * u32::try_from(number).unwrap_or(u32::MAX)).await;
            replies.push(executor.spawn(submit(*host, number)));
        }
        let mut statuses = Vec::new();
        for reply in replies {
            statuses.push(reply.await);
        }
        statuses
    };
    executor.run(submit_in_turn).await
}

/// Guards against a level that holds at the owner's host only, and against a request that was refused on
/// arrival and runs.
#[test]
fn two_hosts_refuse_at_one_level() {
    block_on(async {
        let options = FleetOptions {
            host_arguments: vec!["--overload=on".to_owned()],
            ..one_zone()
        };
        let mut fleet = Fleet::start(&options).await.expect("the fleet starts");
        wait_for_owner(&fleet).await;
        let statuses = submit_all(&fleet.direct_caller_addresses()).await;
        let count = |wanted| statuses.iter().filter(|status| **status == wanted).count();
        let (served, refused) = (count(Some(200)), count(Some(503)));
        let lines = fleet.log_lines_with("on arrival");
        let names = fleet.host_names();
        let refused_by = names.iter().map(|name| {
            let of_host = lines.iter().filter(|line| line.starts_with(name.as_str()));
            of_host.count()
        });
        let refused_by: Vec<usize> = refused_by.collect();
        println!("{served} served, {refused} refused, on arrival by host {refused_by:?}");
        let changes = fleet.log_lines_with("PoolOverloadChanged");
        assert!(!changes.is_empty(), "no change of the state was logged");
        let started: BTreeSet<String> = fleet
            .take_records()
            .await
            .into_iter()
            .filter(|(_, record)| record.event == "start")
            .map(|(_, record)| record.task.split('.').next().unwrap_or("").to_owned())
            .collect();
        let ran = started
            .iter()
            .filter(|job| lines.iter().any(|line| line.contains(*job)));
        assert_eq!(ran.count(), 0, "jobs refused on arrival ran");
        assert!(served > 100, "{served} jobs were served");
        assert!(refused_by.iter().sum::<usize>() > 200, "{refused_by:?}");
        assert!(
            refused_by[0].abs_diff(refused_by[1]) < 100,
            "{refused_by:?}"
        );
    });
}
