//! Requests that a host reads late, when their callers have sent the jobs again elsewhere.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::{Timer, block_on};
use onyxshed_soak::checks::{OwnersByZone, find_violations};
use onyxshed_soak::direct::{DirectConnection, JobRequest, Outcome, Writing};
use onyxshed_soak::fleet::{Fleet, FleetOptions};
use onyxshed_standins::fleet::executor::RunRecord;
use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};

use crate::support::{job_body, one_zone, wait_until};

/// The number of jobs that are sent twice.
const JOBS: u64 = 8;

/// The time that a caller waits for an answer, which it sends with its request.
const DEADLINE_MS: u64 = 1_500;

/// The delay before a job without an answer is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);

/// The delay before a refused job is sent again.
const REFUSED_DELAY: Duration = Duration::from_millis(50);

/// The time during which runs of both requests are recorded.
const OBSERVED_TIME: Duration = Duration::from_millis(700);

/// What a caller does with its connection at its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AtDeadline {
    Closes,
    KeepsOpen,
}

/// Returns a request for a job that takes longer than its caller waits, and is expected to be short.
fn request(job: u64) -> JobRequest {
    let mut body = job_body(2 * DEADLINE_MS, 1);
    body["phases"][0]["cpu"] = 100.into();
    body["phases"][0]["est_runtime_ms"] = (DEADLINE_MS / 4).into();
    JobRequest {
        job: format_smolstr!("{job:016x}"),
        body: body.to_string(),
        deadline_ms: DEADLINE_MS,
        writing: Writing::Whole,
        timeout: Duration::from_millis(DEADLINE_MS),
    }
}

/// Sends all jobs to a host, each on its own connection, and again while they are refused; a task ends with its
/// connection when the caller has another answer or its deadline is over.
fn send_jobs(executor: &LocalExecutor<'_>, host: SocketAddr) -> Vec<Task<DirectConnection>> {
    let send = |job| async move {
        loop {
            let connection = DirectConnection::open(host).await;
            let mut connection = connection.expect("the system accepts the connection");
            match connection.send_unchecked(&request(job)).await {
                Outcome::Answered(reply) if reply.status == 503 => {
                    Timer::after(REFUSED_DELAY).await;
                }
                _ => return connection,
            }
        }
    };
    (1..=JOBS).map(|job| executor.spawn(send(job))).collect()
}

/// Returns the name of the first zone's host that owns a pool or doesn't, when both pools have their executors.
async fn wait_for_host(fleet: &Fleet, is_owner: bool) -> SmolStr {
    wait_until("both owners hold their executors", async || {
        let taken = fleet.log_lines_with("PoolExecutorTaken").len();
        (taken >= fleet.executor_ids().len()).then_some(())
    })
    .await;
    let owned = fleet.log_lines_with("\"PoolOwned\"");
    let owns = |name: &SmolStr| owned.iter().any(|line| line.starts_with(name.as_str()));
    let mut names = fleet.host_names().into_iter();
    let host = names.find(|name| name.starts_with("h-0") && owns(name) == is_owner);
    host.expect("the first zone has such a host")
}

/// Freezes a host, sends it all jobs, sends them again to the other zone, and thaws the host. Returns the records of
/// all runs.
async fn run_jobs_of_frozen_host(
    executor: &LocalExecutor<'_>,
    fleet: &mut Fleet,
    host: &SmolStr,
    at_deadline: AtDeadline,
) -> Vec<(SmolStr, RunRecord)> {
    let names = fleet.host_names();
    let address_of = |name: &str| {
        let index = names.iter().position(|other| other == name);
        fleet.direct_caller_addresses()[index.expect("the host is in the fleet")]
    };
    let (first_host, second_host) = (address_of(host), address_of("h-1-0"));
    fleet
        .signal_host(host, |process| process.freeze())
        .expect("the signal is sent");
    let mut connections = Vec::new();
    for first in send_jobs(executor, first_host) {
        connections.push(first.await);
    }
    if at_deadline == AtDeadline::Closes {
        connections.clear();
    }
    Timer::after(RESEND_DELAY).await;
    let _copies = send_jobs(executor, second_host);
    wait_until("a copy runs", async || {
        let records = fleet.take_records().await;
        (!tasks_started_in("x-1", &records).is_empty()).then_some(())
    })
    .await;
    fleet
        .signal_host(host, |process| process.thaw())
        .expect("the signal is sent");
    Timer::after(OBSERVED_TIME).await;
    fleet.take_records().await
}

/// Returns the tasks of which the executors of a zone have started runs.
fn tasks_started_in(executors: &str, records: &[(SmolStr, RunRecord)]) -> BTreeSet<SmolStr> {
    let starts = records
        .iter()
        .filter(|(id, record)| id.starts_with(executors) && record.event == "start");
    starts.map(|(_, record)| record.task.clone()).collect()
}

/// Guards against runs for callers that gave up while their requests waited for a frozen host.
#[rstest]
#[case::owner_whose_callers_close(1, true, AtDeadline::Closes)]
#[case::owner_whose_callers_stay_connected(1, true, AtDeadline::KeepsOpen)]
#[case::entry_host_whose_callers_close(2, false, AtDeadline::Closes)]
#[case::entry_host_whose_callers_stay_connected(2, false, AtDeadline::KeepsOpen)]
fn thawed_host_starts_no_run_for_callers_that_gave_up(
    #[case] hosts: usize,
    #[case] is_owner: bool,
    #[case] at_deadline: AtDeadline,
) {
    let executor = Rc::new(LocalExecutor::new());
    let test = async {
        let options = FleetOptions {
            zones: 2,
            hosts,
            ..one_zone()
        };
        let mut fleet = Fleet::start(&options).await.expect("the fleet starts");
        let host = wait_for_host(&fleet, is_owner).await;
        let records = run_jobs_of_frozen_host(&executor, &mut fleet, &host, at_deadline).await;
        let violations = find_violations(&[], &records, &BTreeMap::new(), &OwnersByZone::default());
        let log = fleet.log_tail(&host);
        assert!(violations.is_empty(), "{violations:#?}\n{log}");
        let first = tasks_started_in("x-0", &records);
        let copies = tasks_started_in("x-1", &records);
        let both: Vec<_> = first.intersection(&copies).collect();
        assert!(both.is_empty(), "{both:?} ran in both zones\n{log}");
    };
    block_on(executor.run(test));
}
