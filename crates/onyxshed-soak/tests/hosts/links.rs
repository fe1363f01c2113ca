//! The connections between hosts and owners of pools, and the jobs that were sent over them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::{Timer, block_on};
use futures_lite::future::zip;
use http_types::Method;
use onyxshed_soak::checks::{OwnersByZone, find_violations};
use onyxshed_soak::fleet::{Fleet, FleetOptions};
use onyxshed_standins::faults::Mode;
use rstest::rstest;

use crate::support::{connect, job_body, one_zone, send_request, wait_until};

/// Run time of the task of a job, at full speed: the job is in progress when its copy arrives elsewhere.
const TASK_MS: u64 = 4_000;

/// The shortest time after which callers send a job again that was answered 504.
const RESEND_PAUSE: Duration = Duration::from_millis(1_300);

/// How long answers of the owner are lost before the connections go silent: longer than the time between two
/// heartbeats, and shorter than the time after which a link goes down.
const ANSWERS_LOST: Duration = Duration::from_millis(200);

/// Run time of the task of a job that is given up before it starts.
const SHORT_TASK_MS: u64 = 1_500;

/// Times between the start of a task and the fault.
const FAULT_MOMENTS_MS: [u64; 3] = [400, 450, 500];

/// How open connections to an owner fail; new ones work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// Nothing passes in either direction any more, and no close.
    Silence,
    /// As in `Silence`, but the owner has received one heartbeat more than it could answer.
    SilenceAfterHeartbeat,
    /// Nothing passes from the owner any more; what is sent to it arrives, and so does the close.
    AnswersLost,
}

async fn break_connections(fleet: &Fleet, route: &str, failure: Failure) {
    let set_mode = async |mode| {
        let result = fleet.set_mode(route, mode).await;
        result.expect("the mode is set");
    };
    if failure != Failure::Silence {
        set_mode(Mode::BlackholeDown).await;
        Timer::after(ANSWERS_LOST).await;
    }
    match failure {
        // Connections on which bytes were discarded stay silent in that direction.
        Failure::AnswersLost => set_mode(Mode::Pass).await,
        Failure::Silence | Failure::SilenceAfterHeartbeat => set_mode(Mode::StallExisting).await,
    }
}

async fn submit(host: SocketAddr, job: &str, ms: u64) -> u16 {
    let mut connection = connect(host).await;
    let body = job_body(ms, 1);
    let reply = send_request(&mut connection, Method::Post, job, &body).await;
    reply.expect("the host answers").status
}

/// Returns whether a task of a job has started in the first zone.
async fn has_started(fleet: &mut Fleet, job: &str) -> bool {
    let records = fleet.take_records().await;
    let mut runs = records.iter();
    runs.any(|(id, record)| id.starts_with("x-0-") && record.task.starts_with(job))
}

/// Returns the indexes of a host of the first zone that does not own its pool, and of the owner. Waits until
/// that host sends its jobs to the owner.
async fn wait_for_link(fleet: &mut Fleet) -> (usize, usize) {
    let names = fleet.host_names();
    let owner = wait_until("a host of the first zone owns its pool", async || {
        let mut hosts = names[..2].iter();
        hosts.position(|name| fleet.log_tail(name).contains("\"PoolOwned\""))
    });
    let owner = owner.await;
    let entry = 1 - owner;
    let address = fleet.direct_caller_addresses()[entry];
    wait_until("a job is sent to the owner", async || {
        submit(address, "00000000000000aa", 10).await;
        has_started(fleet, "00000000000000aa").await.then_some(())
    })
    .await;
    (entry, owner)
}

/// Starts two zones. Returns the index of a host of the first zone that has a link to the owner of its pool, and
/// the route of that link.
async fn start_two_zones() -> (Fleet, usize, String) {
    let options = FleetOptions {
        zones: 2,
        ..one_zone()
    };
    let mut fleet = Fleet::start(&options).await.expect("the fleet starts");
    let (entry, owner) = wait_for_link(&mut fleet).await;
    let route = format!("peer-{}", fleet.host_names()[owner]);
    (fleet, entry, route)
}

/// Submits a job until its task has started: a busy machine can refuse it before. Returns the status to come.
async fn submit_until_started<'a>(
    executor: &LocalExecutor<'a>,
    fleet: &mut Fleet,
    host: SocketAddr,
    job: &'a str,
) -> Task<u16> {
    loop {
        let submission = executor.spawn(submit(host, job, TASK_MS));
        let has_started = wait_until("the task has started", async || {
            match has_started(fleet, job).await {
                true => Some(true),
                false => submission.is_finished().then_some(false),
            }
        });
        if has_started.await {
            return submission;
        }
    }
}

/// Guards against an owner that keeps a job whose entry host has answered 504, because that host has opened
/// its link again in the meantime.
#[rstest]
#[case::silence(Failure::Silence)]
#[case::silence_after_heartbeat(Failure::SilenceAfterHeartbeat)]
#[case::answers_lost(Failure::AnswersLost)]
fn job_of_a_broken_connection_is_stopped_before_its_copy_starts(#[case] failure: Failure) {
    let executor = LocalExecutor::new();
    block_on(executor.run(async {
        let (mut fleet, entry, route) = start_two_zones().await;
        let hosts = fleet.direct_caller_addresses();
        let jobs = ["0000000000000001", "0000000000000002", "0000000000000003"];
        let mut statuses = Vec::new();
        for (job, moment_ms) in jobs.into_iter().zip(FAULT_MOMENTS_MS) {
            let first = submit_until_started(&executor, &mut fleet, hosts[entry], job).await;
            Timer::after(Duration::from_millis(moment_ms)).await;
            break_connections(&fleet, &route, failure).await;
            statuses.push(first.await);
            Timer::after(RESEND_PAUSE).await;
            statuses.push(submit(hosts[2], job, TASK_MS).await);
        }
        let records = fleet.take_records().await;
        let violations = find_violations(&[], &records, &BTreeMap::new(), &OwnersByZone::default());
        let lines = fleet.log_lines_with("\"Pool");
        assert!(violations.is_empty(), "{violations:#?}\n{lines:#?}");
        assert_eq!(statuses, [504, 200].repeat(jobs.len()), "{lines:#?}");
    }));
}

/// Guards against an owner that starts a job that its entry host gave up long ago, because the submission
/// arrives after the host has opened its link again.
#[test]
fn late_submission_of_a_broken_connection_starts_no_run() {
    /// How long answers are lost before the connections are held: a heartbeat arrives in this time, and the
    /// session is still used without a renewal after it.
    const ANSWERS_LOST: Duration = Duration::from_millis(160);
    /// Time from the start of the copy elsewhere to the arrival of the submission.
    const LATE_BY: Duration = Duration::from_millis(400);
    let executor = LocalExecutor::new();
    block_on(executor.run(async {
        let (mut fleet, entry, route) = start_two_zones().await;
        let hosts = fleet.direct_caller_addresses();
        let set_mode = async |mode| {
            let result = fleet.set_mode(&route, mode).await;
            result.expect("the mode is set");
        };
        let mut given_up = Vec::new();
        for number in 1..=5 {
            let job = format!("{number:016x}");
            set_mode(Mode::BlackholeDown).await;
            Timer::after(ANSWERS_LOST).await;
            set_mode(Mode::HoldExisting).await;
            let status = submit(hosts[entry], &job, SHORT_TASK_MS).await;
            if status != 504 {
                // The session was renewed, and the job was sent elsewhere.
                set_mode(Mode::Pass).await;
                Timer::after(RESEND_PAUSE).await;
                continue;
            }
            given_up.push(job.clone());
            Timer::after(RESEND_PAUSE).await;
            let copy = submit(hosts[2], &job, SHORT_TASK_MS);
            let release = async {
                Timer::after(LATE_BY).await;
                set_mode(Mode::Pass).await;
            };
            zip(copy, release).await;
        }
        let records = fleet.take_records().await;
        let mut runs = records.iter();
        let late = runs.find(|(id, record)| {
            let mut jobs = given_up.iter();
            id.starts_with("x-0-") && jobs.any(|job| record.task.starts_with(job.as_str()))
        });
        let violations = find_violations(&[], &records, &BTreeMap::new(), &OwnersByZone::default());
        let lines = fleet.log_lines_with("\"Pool");
        assert!(late.is_none(), "{late:?}\n{violations:#?}\n{lines:#?}");
        assert!(violations.is_empty(), "{violations:#?}\n{lines:#?}");
        assert!(!given_up.is_empty(), "{lines:#?}");
    }));
}
