//! `onyxshed explain ID LOG...` on log files that the tests write.

use std::fs;
use std::path::PathBuf;

use onyxshed_cli::output::Format;
use onyxshed_cli::trace;
use onyxshed_core::{Event, EventKind, Hlc, Millis, UnixMs};
use onyxshed_pool::{JobEnd, JobSummary, NotRunReason, Resources, UnknownReason};
use rstest::rstest;
use tempfile::TempDir;

const REQUEST: &str = "c6dac14d911944c5";
const JOB: &str = "06a5bd5c32a4c5eb";

/// Log files of hosts in a temporary folder.
struct Logs {
    folder: TempDir,
    files: Vec<PathBuf>,
}

impl Logs {
    fn new() -> Self {
        Logs {
            folder: tempfile::tempdir().expect("a folder"),
            files: Vec::new(),
        }
    }

    fn host(mut self, name: &str, events: &[(u64, Event)]) -> Self {
        let lines = events.iter().map(|(ms, event)| {
            let mut event = event.clone();
            event.hlc = Hlc {
                wall: UnixMs(1_787_645_160_000 + ms),
                counter: 0,
            };
            serde_json::to_string(&event).expect("an event") + "\n"
        });
        let file = self.folder.path().join(format!("{name}.log"));
        fs::write(&file, lines.collect::<String>()).expect("a file");
        self.files.push(file);
        self
    }

    fn explain(&self, id: &str) -> String {
        trace::run(id, &self.files, Format::Human).expect("the id is in the logs")
    }
}

fn answer(end: JobEnd, took_ms: u64, pool: &str) -> Event {
    let kind = match end {
        JobEnd::Completed | JobEnd::Failed => EventKind::PoolJobAnswered,
        JobEnd::NotRun(..) => EventKind::PoolJobRefused,
        JobEnd::Unknown(_) => EventKind::PoolJobLost,
    };
    let summary = JobSummary {
        end,
        took: Millis(took_ms),
        target: Millis(200),
        tasks: 3,
        estimate: Millis(90),
        demand: Resources {
            cpu_millis: 27_000,
            memory_mb: 64,
            accelerators: 0,
        },
        pool: pool.into(),
        manifest: 7,
    };
    Event::new(kind)
        .request(REQUEST)
        .job(JOB)
        .detail(summary.to_string())
}

fn run_ended(executor: &str, reason: &str) -> Event {
    Event::new(EventKind::PoolRunEnded)
        .job(JOB)
        .task(2)
        .party(executor)
        .detail(format!("run 1: {reason}, token 16"))
}

/// Every answer other than a success has a cause and a place to look next, even if the logs contain only
/// the line of the answer.
#[test]
fn every_answer_has_a_cause() {
    let not_run = NotRunReason::ALL.map(|reason| JobEnd::NotRun(reason, Millis(100)));
    let unknown = UnknownReason::ALL.map(JobEnd::Unknown);
    let mut text = String::new();
    for end in not_run.into_iter().chain(unknown).chain([JobEnd::Failed]) {
        let logs = Logs::new().host("a-1", &[(500, answer(end, 30, "a/0"))]);
        let output = logs.explain(REQUEST);
        let tail: Vec<&str> = output.lines().rev().take(2).collect();
        text += &format!("{end}\n  {}\n  {}\n", tail[1], tail[0]);
    }
    insta::assert_snapshot!(text);
}

/// A job is late because an executor became unresponsive. The line of its answer shows only that it was
/// late; the owner's log contains the lost run and the events about the executor.
#[test]
fn a_late_job_is_traced_over_two_hosts() {
    let unresponsive = Event::new(EventKind::PoolExecutorSilent).party("i-1");
    let other_executor = Event::new(EventKind::PoolExecutorSilent).party("i-9");
    let recovered = Event::new(EventKind::PoolExecutorBack).party("i-1");
    let logs = Logs::new()
        .host("b-1", &[(1_400, answer(JobEnd::Completed, 900, "a/0"))])
        .host(
            "a-1",
            &[
                (
                    0,
                    Event::new(EventKind::PoolOwned).detail("pool a/0, token 16"),
                ),
                (10, recovered),
                (600, unresponsive),
                (610, other_executor),
                (1_250, run_ended("i-1", "its lease ended in silence")),
            ],
        );
    insta::assert_snapshot!(logs.explain(REQUEST));
    assert_eq!(logs.explain(REQUEST), logs.explain(JOB));
}

/// The zone's owner has stopped, and callers get status 503 until there is a new one. The log of the host
/// that answered contains the loss of its link to the owner.
#[test]
fn a_refused_job_is_traced_to_the_lost_link() {
    let down = Event::new(EventKind::PoolLinkDown).party("10.0.0.1:7500");
    let down = down.detail("pool a/0 no answer in time");
    let not_run = JobEnd::NotRun(NotRunReason::NotOwner, Millis(2_000));
    let logs = Logs::new().host("a-2", &[(0, down), (300, answer(not_run, 0, "none"))]);
    insta::assert_snapshot!(logs.explain(REQUEST));
}

/// A request that an entry host refuses by a pool's level is traced to the overload of the pool.
#[test]
fn a_request_refused_on_arrival_is_traced_to_the_overload() {
    let overloaded = Event::new(EventKind::PoolOverloadChanged)
        .detail("normal to overloaded: offered 850mcpu, room 3483mcpu, token 256");
    let refused = Event::new(EventKind::PoolJobRefused)
        .request(REQUEST)
        .detail("on arrival: not run: its class has used its share");
    let logs = Logs::new()
        .host("a-1", &[(0, overloaded)])
        .host("a-2", &[(300, refused)]);
    let output = logs.explain(REQUEST);
    assert!(output.contains("normal to overloaded"), "{output}");
    assert!(output.contains("cause: not run: on arrival"), "{output}");
    assert!(output.contains("E850"), "{output}");
}

/// A log collector has merged all logs into one file, with the time and the host before each line, and
/// lines of other programs in between.
#[test]
fn a_merged_log_names_its_hosts() {
    let mut event = answer(JobEnd::Failed, 100, "a/0");
    event.hlc = Hlc {
        wall: UnixMs(1_787_645_160_000),
        counter: 0,
    };
    let line = serde_json::to_string(&event).expect("an event");
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("all.log");
    fs::write(&file, format!("  12.5 a-7 {line}\nsomething else\n")).expect("a file");
    let output = trace::run(REQUEST, &[file], Format::Human).expect("the id is in the log");
    assert!(output.contains(" a-7 "), "{output}");
    assert!(
        output.contains("1 lines of the logs are no events"),
        "{output}"
    );
}

#[rstest]
#[case::no_such_request("0000000000000000")]
fn id_that_is_not_in_the_logs_is_an_error(#[case] id: &str) {
    let logs = Logs::new().host("a-1", &[(0, answer(JobEnd::Failed, 100, "a/0"))]);
    assert!(trace::run(id, &logs.files, Format::Human).is_err());
}

/// A host that has just started and can't read the store rejects a request before it becomes a job, so
/// the line contains only the status and the reason.
#[test]
fn request_rejected_before_it_was_a_job_names_its_reason() {
    let rejected = Event::new(EventKind::PoolJobRefused)
        .request(REQUEST)
        .detail("status 503: no manifest is known yet");
    let logs = Logs::new().host("edge-1", &[(5, rejected)]);
    let output = logs.explain(REQUEST);
    assert!(
        output.contains("cause: not run: status 503: no manifest is known yet"),
        "{output}"
    );
    assert!(output.contains("E841"), "{output}");
}
