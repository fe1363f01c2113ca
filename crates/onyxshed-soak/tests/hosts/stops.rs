//! The answers that callers get from a host that was asked to stop.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use futures_lite::future::zip;
use http_types::Method;
use onyxshed_soak::direct::{
    DirectConnection, JobRequest, Outcome, Writing, send_on_new_connection,
};
use onyxshed_soak::fleet::{Fleet, FleetOptions};
use onyxshed_standins::faults::Mode;
use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};

use crate::support::{
    TIMEOUT, connect, job_body, one_zone, send_request, wait_for_owner, wait_until,
    wait_until_host_ends, wait_until_job_completes,
};

/// The duration of the job of another host, which keeps the stopping owner running.
const OTHER_JOB_MS: u64 = 3_000;

/// The duration of the jobs that are sent to the stopping owner.
const LATE_JOB_MS: u64 = 900;

/// The id of the job that waits in the pool of another host when its own host stops.
const QUEUED_JOB: &str = "00000000000000cc";

/// The number of jobs that are sent to the stopping owner.
const LATE_JOBS: u32 = 60;

/// The time from an owner's SIGTERM until the first late job is sent.
const LATE_JOBS_FROM: Duration = Duration::from_millis(2_000);

/// The time from one late job to the next; the last one is sent when the grace is over.
const LATE_JOB_PERIOD: Duration = Duration::from_millis(70);

fn request(job: impl Into<SmolStr>, ms: u64) -> JobRequest {
    JobRequest {
        job: job.into(),
        body: job_body(ms, 1).to_string(),
        deadline_ms: 20_000,
        writing: Writing::Whole,
        timeout: TIMEOUT,
    }
}

/// Opens a connection to a host and uses it once.
async fn open_used_connection(host: SocketAddr) -> DirectConnection {
    let mut connection = DirectConnection::open(host)
        .await
        .expect("the host accepts the connection");
    let outcome = connection.send(&request("00000000000000aa", 10)).await;
    let is_served = matches!(&outcome, Outcome::Answered(reply) if reply.status == 200 && !reply.closes_connection);
    assert!(is_served, "{outcome:?}");
    connection
}

/// Returns whether an executor has started a task of a job.
async fn has_started(fleet: &mut Fleet, job: &str) -> bool {
    let records = fleet.take_records().await;
    records
        .iter()
        .any(|(_, record)| record.event == "start" && record.task.starts_with(job))
}

/// Starts a zone in which both hosts can submit jobs and all executors have the same speed, and returns it with the
/// index of the pool's owner.
async fn start_with_owner() -> (Fleet, usize) {
    let fleet = Fleet::start(&one_zone()).await.expect("the fleet starts");
    let owner = wait_for_owner(&fleet).await;
    for host_index in [owner, 1 - owner] {
        wait_until_job_completes(&fleet, host_index).await;
    }
    for id in fleet.executor_ids() {
        let changed = fleet.set_executor_speed(&id, 1.0).await;
        changed.expect("the speed is set");
    }
    (fleet, owner)
}

fn request_stop(fleet: &mut Fleet, name: &SmolStr) {
    let signalled = fleet.signal_host(name, |process| process.request_stop());
    signalled.expect("the signal is sent");
}

/// A connection on which a late job is sent.
enum LateConnection {
    /// One that has been idle since before the stop.
    Idle(DirectConnection),
    /// One that is opened for the job.
    New(SocketAddr),
}

/// Sends one job and records its outcome.
async fn send_late_job(connection: LateConnection, number: u32, outcomes: Outcomes) {
    let job = format_smolstr!("{:016x}", u64::from(number) << 32);
    let request = request(job.clone(), LATE_JOB_MS);
    let outcome = match connection {
        LateConnection::Idle(mut connection) => connection.send(&request).await,
        LateConnection::New(host) => send_on_new_connection(host, &request).await,
    };
    outcomes.borrow_mut().push((job, outcome));
}

/// Guards against requests that an owner takes after its last caller was answered, and cuts off when it ends.
#[rstest]
#[case::on_idle_connections(true)]
#[case::on_new_connections(false)]
fn owner_that_stops_cuts_off_no_request(#[case] is_idle: bool) {
    let executor = Rc::new(LocalExecutor::new());
    let test = async {
        let (mut fleet, owner) = start_with_owner().await;
        let name = fleet.host_names().remove(owner);
        let host = fleet.direct_caller_addresses()[owner];
        let mut connections = Vec::new();
        for _ in 0..LATE_JOBS {
            connections.push(match is_idle {
                true => LateConnection::Idle(open_used_connection(host).await),
                false => LateConnection::New(host),
            });
        }
        let other_host = fleet.caller_addresses()[1 - owner];
        let other_job = executor.spawn(async move {
            let body = job_body(OTHER_JOB_MS, 1);
            let mut connection = connect(other_host).await;
            send_request(&mut connection, Method::Post, "00000000000000bb", &body).await
        });
        Timer::after(Duration::from_millis(50)).await;
        request_stop(&mut fleet, &name);
        let outcomes = Outcomes::default();
        let first_at = Instant::now() + LATE_JOBS_FROM;
        let late_jobs = connections
            .into_iter()
            .zip(0..)
            .map(|(connection, number)| {
                let outcomes = outcomes.clone();
                executor.spawn(async move {
                    Timer::at(first_at + LATE_JOB_PERIOD * number).await;
                    send_late_job(connection, number, outcomes).await;
                })
            });
        let late_jobs: Vec<_> = late_jobs.collect();
        for late_job in late_jobs {
            late_job.await;
        }
        let other_reply = other_job.await.expect("the other host answers");
        assert_eq!(other_reply.body, br#"{"state":"completed"}"#);
        wait_until_host_ends(&mut fleet, &name).await;
        require_true_answers(&mut fleet, &name, &outcomes.take()).await;
    };
    block_on(executor.run(test));
}

/// The outcome of each job that the callers of one test sent.
type Outcomes = Rc<RefCell<Vec<(SmolStr, Outcome)>>>;

/// A caller of one host, which uses a connection for as long as the host keeps it open.
struct HostCaller {
    host: SocketAddr,
    connection: Option<DirectConnection>,
    /// The number of the first job.
    first_job: u64,
    /// The time from one request to the next, if the answer arrives before.
    send_period: Duration,
    outcomes: Outcomes,
}

impl HostCaller {
    /// Sends jobs of 300 ms until the host refuses a connection.
    async fn send_until_refused(mut self, first_at: Instant) {
        const JOB_MS: u64 = 300;
        let mut send_at = first_at;
        for job in self.first_job.. {
            Timer::at(send_at).await;
            let Some(mut connection) = self.open().await else {
                return;
            };
            send_at = (send_at + self.send_period).max(Instant::now());
            let job = format_smolstr!("{job:016x}");
            let outcome = connection.send(&request(job.clone(), JOB_MS)).await;
            if matches!(&outcome, Outcome::Answered(reply) if !reply.closes_connection) {
                self.connection = Some(connection);
            }
            self.outcomes.borrow_mut().push((job, outcome));
        }
    }

    /// Returns the connection if it is open, or a new one; `None` if the host refuses it.
    async fn open(&mut self) -> Option<DirectConnection> {
        match self.connection.take() {
            Some(connection) if connection.is_open() => Some(connection),
            _ => DirectConnection::open(self.host).await,
        }
    }
}

/// Guards against requests that a host without a pool takes while it stops, and cuts off when it ends.
#[rstest]
#[case::one_request_each_10_ms(Duration::from_millis(10), Duration::from_millis(400))]
#[case::next_request_after_each_answer(Duration::ZERO, Duration::from_millis(5))]
fn host_that_stops_cuts_off_no_request_of_steady_callers(
    #[case] start_gap: Duration,
    #[case] send_period: Duration,
) {
    const CALLERS: u32 = 40;
    const SENT_FROM: Duration = Duration::from_millis(2_000);
    let executor = Rc::new(LocalExecutor::new());
    let test = async {
        let (mut fleet, owner) = start_with_owner().await;
        let name = fleet.host_names().remove(1 - owner);
        let host = fleet.direct_caller_addresses()[1 - owner];
        let outcomes = Outcomes::default();
        let mut callers = Vec::new();
        for number in 1..=CALLERS {
            callers.push(HostCaller {
                host,
                connection: Some(open_used_connection(host).await),
                first_job: u64::from(number) << 32,
                send_period,
                outcomes: outcomes.clone(),
            });
        }
        request_stop(&mut fleet, &name);
        let first_at = Instant::now() + SENT_FROM;
        let starts = (0..CALLERS).map(|index| first_at + start_gap * index);
        let tasks: Vec<_> = callers
            .into_iter()
            .zip(starts)
            .map(|(caller, start)| executor.spawn(caller.send_until_refused(start)))
            .collect();
        for task in tasks {
            task.await;
        }
        wait_until_host_ends(&mut fleet, &name).await;
        require_true_answers(&mut fleet, &name, &outcomes.take()).await;
    };
    block_on(executor.run(test));
}

/// Requires that every request that was written got an answer, and that no refused job has run.
async fn require_true_answers(fleet: &mut Fleet, name: &SmolStr, outcomes: &[(SmolStr, Outcome)]) {
    let cut_off: Vec<_> = outcomes
        .iter()
        .filter(|(_, outcome)| !matches!(outcome, Outcome::Answered(_) | Outcome::NotSent))
        .collect();
    let log = fleet.log_tail(name);
    let counts = format!("{} of {} requests", cut_off.len(), outcomes.len());
    assert!(cut_off.is_empty(), "{counts}: {cut_off:?}\n{log}");
    let records = fleet.take_records().await;
    let started: BTreeSet<&str> = records
        .iter()
        .filter_map(|(_, record)| record.task.split('.').next())
        .collect();
    let refused = outcomes
        .iter()
        .filter(|(_, outcome)| matches!(outcome, Outcome::Answered(reply) if reply.status == 503));
    for (job, _) in refused {
        assert!(!started.contains(job.as_str()), "refused job {job} has run");
    }
}

/// Submits jobs of 20 ms to a host, one after another, until a time or until the host closes the connection.
async fn send_jobs_until(host: SocketAddr, first_job: u64, until: Instant, outcomes: Outcomes) {
    const JOB_MS: u64 = 20;
    let mut connection = DirectConnection::open(host)
        .await
        .expect("the host accepts the connection");
    for job in first_job.. {
        if Instant::now() >= until {
            return;
        }
        let job = format_smolstr!("{job:016x}");
        let outcome = connection.send(&request(job.clone(), JOB_MS)).await;
        let is_kept = matches!(&outcome, Outcome::Answered(reply) if !reply.closes_connection);
        outcomes.borrow_mut().push((job, outcome));
        if !is_kept {
            return;
        }
    }
}

/// Guards against jobs that reach an owner just before it ends, and are answered as unknown though nothing ran.
#[rstest]
#[case::without_callers(None)]
#[case::with_a_request_that_never_arrives(Some(Writing::HeadFirst(TIMEOUT)))]
fn owner_that_stops_leaves_no_unstarted_job_of_other_hosts_unknown(
    #[case] own_request: Option<Writing>,
) {
    const CALLERS: u64 = 20;
    const SENT_FOR: Duration = Duration::from_millis(6_500);
    let executor = Rc::new(LocalExecutor::new());
    let test = async {
        // The pool has one host, so that it has no next owner. All jobs of the other zone go to it.
        let mut fleet = start_with_evacuated_zone_of_one_host().await;
        let entry = fleet.direct_caller_addresses()[0];
        let owner = fleet.host_names().remove(1);
        let _own_caller = own_request.map(|writing| {
            let request = JobRequest {
                writing,
                ..request("00000000000000dd", 10)
            };
            let owner_address = fleet.direct_caller_addresses()[1];
            executor.spawn(async move { send_on_new_connection(owner_address, &request).await })
        });
        let delay = Mode::Delay { delay_ms: 60 };
        let slowed = fleet.set_mode("peer-*", delay).await;
        slowed.expect("the links are slowed");
        let outcomes = Outcomes::default();
        let until = Instant::now() + SENT_FOR;
        let callers: Vec<_> = (1..=CALLERS)
            .map(|number| send_jobs_until(entry, number << 32, until, outcomes.clone()))
            .map(|caller| executor.spawn(caller))
            .collect();
        Timer::after(Duration::from_millis(500)).await;
        request_stop(&mut fleet, &owner);
        for caller in callers {
            caller.await;
        }
        wait_until_host_ends(&mut fleet, &owner).await;
        let outcomes = outcomes.take();
        let records = fleet.take_records().await;
        let started: BTreeSet<&str> = records
            .iter()
            .filter_map(|(_, record)| record.task.split('.').next())
            .collect();
        let unknown = outcomes.iter().filter(
            |(_, outcome)| !matches!(outcome, Outcome::Answered(reply) if reply.status != 504),
        );
        let unstarted: Vec<_> = unknown
            .filter(|(job, _)| !started.contains(job.as_str()))
            .collect();
        let log = fleet.log_tail(&owner);
        let counts = format!("{} of {} jobs", unstarted.len(), outcomes.len());
        assert!(unstarted.is_empty(), "{counts}: {unstarted:?}\n{log}");
    };
    block_on(executor.run(test));
}

/// Starts two zones of one host each, and evacuates the first one.
async fn start_with_evacuated_zone_of_one_host() -> Fleet {
    let options = FleetOptions {
        zones: 2,
        hosts: 1,
        ..one_zone()
    };
    let fleet = Fleet::start(&options).await.expect("the fleet starts");
    let evacuated = fleet.set_evacuated("z0", true).await;
    evacuated.expect("the record is written");
    for host_index in 0..2 {
        wait_until_job_completes(&fleet, host_index).await;
    }
    wait_until("both hosts know of the evacuation", async || {
        let lines = fleet.log_lines_with("ZoneEvacuated");
        (lines.len() >= 2).then_some(())
    })
    .await;
    fleet
}

/// Guards against jobs that are still queued when the drain of their host ends, and are answered as unknown.
#[test]
fn host_that_stops_leaves_no_queued_job_unknown() {
    const LONG_JOB_MS: u64 = 12_000;
    /// The zone's two executors fit two tasks each.
    const SLOTS: u64 = 4;
    let long_job = |job, tasks| JobRequest {
        body: job_body(LONG_JOB_MS, tasks).to_string(),
        ..request(job, LONG_JOB_MS)
    };
    let executor = LocalExecutor::new();
    let test = async {
        let (mut fleet, owner) = start_with_owner().await;
        let name = fleet.host_names().remove(1 - owner);
        let addresses = fleet.direct_caller_addresses();
        let running = long_job("00000000000000bb", SLOTS);
        let owner_address = addresses[owner];
        let _running =
            executor.spawn(async move { send_on_new_connection(owner_address, &running).await });
        wait_until_job_starts(&mut fleet, "00000000000000bb").await;
        let queued = long_job(QUEUED_JOB, 1);
        let send = send_on_new_connection(addresses[1 - owner], &queued);
        let stop = async {
            Timer::after(Duration::from_millis(300)).await;
            request_stop(&mut fleet, &name);
        };
        let (outcome, ()) = zip(send, stop).await;
        wait_until_host_ends(&mut fleet, &name).await;
        let is_refused = matches!(&outcome, Outcome::Answered(reply) if reply.status == 503 && reply.closes_connection);
        assert!(is_refused, "{outcome:?}\n{}", fleet.log_tail(&name));
        assert!(!has_started(&mut fleet, QUEUED_JOB).await);
    };
    block_on(executor.run(test));
}

async fn wait_until_job_starts(fleet: &mut Fleet, job: &str) {
    while !has_started(fleet, job).await {
        Timer::after(Duration::from_millis(20)).await;
    }
}
