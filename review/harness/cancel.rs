//! A caller cancels a job while it waits for the answer. The cancelling is acknowledged, and then
//! no task of the job may start later than `cancel_ms` after it.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::executor::Executor;
use crate::fleet::{Fleet, ROUTE_HOST, cannot_run};
use crate::http;

/// `cancel_ms` in the settings.
const CANCEL: Duration = Duration::from_millis(3_000);

/// Time from the submission to the cancelling.
const CANCEL_AFTER: Duration = Duration::from_millis(500);

/// Number of rounds. In each, one of three jobs is cancelled.
const ROUNDS: u64 = 3;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut fleet = Fleet::start(record.clone());
    fleet.publish(1);
    let executors: Vec<Arc<Executor>> = (1..=2)
        .map(|number| {
            Executor::start(
                &format!("x{number}"),
                "z1",
                "a",
                fleet.store,
                record.clone(),
            )
        })
        .collect();
    fleet.start_hosts(&[("z1", 2)]);
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(4));
    let mut late = 0;
    for number in 1..=ROUNDS {
        for other in 1..=2 {
            send_short_job(record, &fleet, number * 16 + other);
        }
        let id = format!("{number:016x}");
        let host = &fleet.hosts[usize::try_from(number).unwrap_or(0) % fleet.hosts.len()];
        let path = format!("/jobs/{id}");
        let waiting = {
            let (record, path, front) = (record.clone(), path.clone(), host.front);
            thread::spawn(move || {
                let body = "{\"spec\":\"700\",\"best_effort\":true,\"phases\":[{\"count\":64,\"cpu\":1000,\
                            \"mem_mb\":64,\"est_runtime_ms\":700}]}";
                let headers = [("host", ROUTE_HOST), ("x-onyxshed-deadline-ms", "12000")];
                record.write(&format!("sent {path}: 64 tasks of 700 ms"));
                let reply = http::call(
                    front,
                    "POST",
                    &path,
                    &headers,
                    body,
                    Duration::from_secs(12),
                );
                let status = reply.map_or_else(
                    |error| error.to_string(),
                    |reply| format!("{} {}", reply.status(), reply.body),
                );
                record.write(&format!("answered {path}: {status}"));
            })
        };
        thread::sleep(CANCEL_AFTER);
        let mut acknowledged_at = None;
        if has_trouble {
            let headers = [("host", ROUTE_HOST)];
            record.write(&format!("sent DELETE {path} to {}", host.name));
            let timeout = Duration::from_secs(2);
            let reply = http::call(host.front, "DELETE", &path, &headers, "", timeout);
            let status = reply.as_ref().map_or(0, http::Message::status);
            record.write(&format!("answered DELETE {path}: {status}"));
            if (200..300).contains(&status) || status == 410 {
                acknowledged_at = Some(Instant::now());
            }
        }
        if waiting.join().is_err() {
            cannot_run("a caller failed");
        }
        if let Some(acknowledged_at) = acknowledged_at {
            let starts = record.starts();
            let of_job = starts.iter().filter(|start| start.task.starts_with(&id));
            late += of_job
                .filter(|start| start.at > acknowledged_at + CANCEL)
                .count();
        }
    }
    drop(executors);
    let text = format!(
        "{late} tasks started later than 3,000 ms after the cancelling of their job was acknowledged"
    );
    record.write(&text);
    crate::say(&text);
    late > 0
}

/// Sends a job that is not cancelled, and waits for its answer.
fn send_short_job(record: &Record, fleet: &Fleet, number: u64) {
    let path = format!("/jobs/{number:016x}");
    let body = "{\"spec\":\"60\",\"best_effort\":true,\"phases\":[{\"count\":4,\"cpu\":1000,\
                \"mem_mb\":64,\"est_runtime_ms\":60}]}";
    let headers = [("host", ROUTE_HOST), ("x-onyxshed-deadline-ms", "1500")];
    record.write(&format!("sent {path}: 4 tasks of 60 ms"));
    let timeout = Duration::from_millis(1_500);
    let reply = http::call(fleet.hosts[0].front, "POST", &path, &headers, body, timeout);
    let status = reply.as_ref().map_or(0, http::Message::status);
    record.write(&format!("answered {path}: {status}"));
}
