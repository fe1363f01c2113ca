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

/// The time from an owner's SIGTERM until its late job is sent, longer than the 2,200 ms for the balancer's notice.
const SENT_AFTER_STOP: Duration = Duration::from_millis(2_600);

/// The duration of the job of another host, which keeps the stopping owner running.
const OTHER_JOB_MS: u64 = 3_000;

/// The duration of the job that is sent to the stopping owner; it would end after the other host's job.
const LATE_JOB_MS: u64 = 900;

/// The id of the job that is sent to the stopping owner.
const LATE_JOB: &str = "00000000000000cc";

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

/// Returns whether the process of a host is running.
fn is_running(fleet: &mut Fleet, name: &SmolStr) -> bool {
    let mut is_running = false;
    let checked = fleet.signal_host(name, |_| {
        is_running = true;
        Ok(())
    });
    checked.expect("the process can be checked");
    is_running
}

fn request_stop(fleet: &mut Fleet, name: &SmolStr) {
    let signalled = fleet.signal_host(name, |process| process.request_stop());
    signalled.expect("the signal is sent");
}

/// Asks the owner to stop while its pool has a job of the other host, and sends a job to the owner with `send` when
/// the owner has no request of its own callers left. Returns the outcome of `send`.
async fn send_to_stopping_owner(
    fleet: &mut Fleet,
    owner: usize,
    send: impl AsyncFnOnce(JobRequest) -> Outcome,
) -> Outcome {
    let name = fleet.host_names().remove(owner);
    let mut other_host = connect(fleet.caller_addresses()[1 - owner]).await;
    let other_body = job_body(OTHER_JOB_MS, 1);
    let other_job = send_request(
        &mut other_host,
        Method::Post,
        "00000000000000bb",
        &other_body,
    );
    let stop_and_send = async {
        Timer::after(Duration::from_millis(50)).await;
        request_stop(fleet, &name);
        Timer::after(SENT_AFTER_STOP).await;
        assert!(is_running(fleet, &name), "the owner ended too early");
        send(request(LATE_JOB, LATE_JOB_MS)).await
    };
    let (other_reply, outcome) = zip(other_job, stop_and_send).await;
    let other_reply = other_reply.expect("the other host answers");
    assert_eq!(other_reply.body, br#"{"state":"completed"}"#);
    outcome
}

/// Requires that a request was answered, and that its job has not run if the answer says so.
async fn require_true_answer(fleet: &mut Fleet, name: &SmolStr, outcome: &Outcome) {
    let Outcome::Answered(reply) = outcome else {
        panic!("{outcome:?}\n{}", fleet.log_tail(name));
    };
    assert!([200, 503, 504].contains(&reply.status), "{reply:?}");
    wait_until_host_ends(fleet, name).await;
    let is_false = reply.status == 503 && has_started(fleet, LATE_JOB).await;
    assert!(!is_false, "a refused job has run: {reply:?}");
}

/// Guards against requests that an owner takes after its last caller was answered, and cuts off when it ends.
#[test]
fn owner_that_stops_cuts_off_no_request_on_an_idle_connection() {
    block_on(async {
        let (mut fleet, owner) = start_with_owner().await;
        let name = fleet.host_names().remove(owner);
        let mut idle = open_used_connection(fleet.direct_caller_addresses()[owner]).await;
        let send = async move |request| idle.send_unchecked(&request).await;
        let outcome = send_to_stopping_owner(&mut fleet, owner, send).await;
        require_true_answer(&mut fleet, &name, &outcome).await;
    });
}

/// Guards against connections that an owner accepts after its last caller was answered, and cuts off.
#[test]
fn owner_that_stops_cuts_off_no_request_on_a_new_connection() {
    block_on(async {
        let (mut fleet, owner) = start_with_owner().await;
        let name = fleet.host_names().remove(owner);
        let host = fleet.direct_caller_addresses()[owner];
        let send = async move |request| send_on_new_connection(host, &request).await;
        let outcome = send_to_stopping_owner(&mut fleet, owner, send).await;
        if outcome != Outcome::NotSent {
            require_true_answer(&mut fleet, &name, &outcome).await;
        }
    });
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
