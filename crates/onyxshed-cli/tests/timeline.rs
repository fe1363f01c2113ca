//! The merged time line: its order, its gaps, and one submission on one screen.

use std::sync::atomic::{AtomicU64, Ordering};

use onyxshed_cli::args::{EventSource, ProcessArgs, TimelineArgs};
use onyxshed_cli::output::Format;
use onyxshed_cli::query::ProcessReply;
use onyxshed_cli::timeline::merge::merge;
use onyxshed_cli::timeline::{render, request_path};
use onyxshed_core::{Event, EventKind, Hlc, Incarnation, Millis, SubmissionId, UnixMs};
use onyxshed_wire::admin::TimelinePage;

/// 12:00:00 UTC on an arbitrary day.
const NOON_MS: u64 = 1_700_049_600_000;

fn id() -> SubmissionId {
    "01JABCDEFGHJKMNPQRSTVWXYZ0".parse().expect("an id")
}

fn at(offset_ms: u64, event: Event) -> Event {
    static COUNTER: AtomicU64 = AtomicU64::new(0);
    let mut event = event
        .submission(id())
        .class(&"lock".parse().expect("a name"));
    event.hlc = Hlc {
        wall: UnixMs(NOON_MS + offset_ms),
        counter: u32::try_from(COUNTER.fetch_add(1, Ordering::Relaxed)).unwrap_or(0),
    };
    event
}

fn page(events: Vec<Event>) -> TimelinePage {
    TimelinePage {
        process: "onyxshed-entry".into(),
        host: "host".into(),
        boot: Incarnation(1),
        started_ms: UnixMs(NOON_MS - 60_000),
        dropped: 0,
        events_max: 100,
        memory_bytes: 0,
        events,
        is_cut: false,
    }
}

fn reply(process: &str, answer: Result<TimelinePage, &str>) -> ProcessReply<TimelinePage> {
    ProcessReply {
        process: process.into(),
        answer: answer.map_err(Into::into),
    }
}

fn args(submission: Option<SubmissionId>, lines: usize) -> TimelineArgs {
    TimelineArgs {
        source: EventSource::Processes(ProcessArgs {
            processes: Vec::new(),
            timeout_ms: Millis(1),
        }),
        general_events_only: false,
        submission,
        class: None,
        party: None,
        upstream: None,
        since_ms: None,
        lines,
    }
}

/// Answers of four processes about a job of three tasks: the first runs it, another has forwarded
/// it and dropped events, another started later, and another does not answer.
fn answers() -> Vec<ProcessReply<TimelinePage>> {
    let mut first = vec![at(0, Event::new(EventKind::JobReceived).detail("3 tasks"))];
    first.push(at(
        1,
        Event::new(EventKind::ClaimAppended).party("platform"),
    ));
    first.push(at(6, Event::new(EventKind::ClaimWon).party("platform")));
    for index in 0..3 {
        let started = Event::new(EventKind::TaskStarted).task(index);
        first.push(at(7, started.party(format!("executor-{index}"))));
    }
    for index in [2, 0, 1] {
        let finished = Event::new(EventKind::TaskFinished).task(index);
        first.push(at(
            90 + u64::from(index),
            finished.party(format!("executor-{index}")),
        ));
    }
    first.push(at(95, Event::new(EventKind::JobAnswered).detail("1000")));
    let second = vec![at(40, Event::new(EventKind::JobForwarded).party("entry-1"))];
    let mut second = page(second);
    second.dropped = 7;
    let mut late = page(Vec::new());
    late.started_ms = UnixMs(NOON_MS + 50);
    vec![
        reply("entry-1", Ok(page(first))),
        reply("entry-2", Ok(second)),
        reply("control-1", Ok(late)),
        reply("entry-3", Err("connection refused")),
    ]
}

#[test]
fn one_submission_from_caller_to_upstream_and_back() {
    let shown = render::render(&merge(answers()), &args(Some(id()), 40), Format::Human);
    insta::assert_snapshot!(shown);
}

#[test]
fn many_submissions_name_each() {
    let shown = render::render(&merge(answers()), &args(None, 3), Format::Human);
    insta::assert_snapshot!(shown);
}

#[test]
fn job_of_many_tasks_fits_one_screen() {
    // 550 tasks start and finish alternately, so that no two consecutive events can share a line.
    let mut events = vec![at(0, Event::new(EventKind::JobReceived))];
    for index in 0..550 {
        let offset_ms = 1 + u64::from(index);
        events.push(at(
            offset_ms,
            Event::new(EventKind::TaskStarted).task(index).party("a"),
        ));
        events.push(at(
            offset_ms,
            Event::new(EventKind::TaskFinished).task(index).party("a"),
        ));
    }
    events.push(at(600, Event::new(EventKind::JobAnswered)));
    let merged = merge(vec![reply("entry-1", Ok(page(events)))]);
    let shown = render::render(&merged, &args(Some(id()), 40), Format::Human);
    insta::assert_snapshot!(shown, @"
    TIME (UTC)           PROCESS  EVENT              TASKS         PARTY  DETAIL
    12:00:00.000         entry-1  E100 JobReceived
    12:00:00.001 +549ms  entry-1  E300 TaskStarted   0-549 (550x)  a
    12:00:00.001 +549ms  entry-1  E301 TaskFinished  0-549 (550x)  a
    12:00:00.600         entry-1  E103 JobAnswered
    ");
}

#[test]
fn retain_parties_keeps_only_the_given_executors() {
    let mut merged = merge(answers());
    merged.retain_parties(&["executor-1".into()].into());
    let shown: Vec<String> = merged
        .events
        .iter()
        .map(|entry| format!("{} {}", entry.event.kind, entry.event.party))
        .collect();
    assert_eq!(
        shown,
        [
            "E300 TaskStarted executor-1",
            "E301 TaskFinished executor-1"
        ]
    );
}

#[test]
fn json_keeps_every_event_and_gap() {
    let shown = render::render(&merge(answers()), &args(Some(id()), 1), Format::Json);
    let shown: serde_json::Value = serde_json::from_str(&shown).unwrap();
    assert_eq!(shown["events"].as_array().unwrap().len(), 11);
    insta::assert_json_snapshot!(shown["gaps"]);
}

#[test]
fn request_path_contains_only_the_given_filters() {
    let mut wanted = args(Some(id()), 40);
    wanted.party = Some("a&b".into());
    wanted.since_ms = Some(Millis(500));
    insta::assert_snapshot!(
        request_path(&wanted, UnixMs(2_000)),
        @"/v1/timeline?limit=5000&submission=01JABCDEFGHJKMNPQRSTVWXYZ0&party=a%26b&since_ms=1500"
    );
}

/// The logs of two hosts whose processes have ended are merged into one time line without the
/// events that concern a request, job or submission. It is in the order of their hybrid logical
/// clocks and contains the number of lines without an event.
#[test]
fn beliefs_are_merged_from_the_logs_of_all_hosts() {
    let folder = tempfile::tempdir().expect("a folder");
    let line = |event: Event| serde_json::to_string(&event).expect("an event") + "\n";
    let stamped = |offset_ms: u64, mut event: Event| {
        event.hlc.wall = UnixMs(NOON_MS + offset_ms);
        line(event)
    };
    let first = folder.path().join("host-1.log");
    let second = folder.path().join("host-2.log");
    let refused = Event::new(EventKind::PoolJobRefused).request("a").job("b");
    let owned = Event::new(EventKind::PoolOwned).detail("pool z/0, token 256");
    let lost = Event::new(EventKind::StoreLost).party("owners");
    let text = stamped(30, owned) + &stamped(40, refused) + "a word of another program\n";
    std::fs::write(&first, text).expect("a file");
    std::fs::write(&second, stamped(20, lost)).expect("a file");
    let args = TimelineArgs {
        source: EventSource::Logs(vec![first, second]),
        general_events_only: true,
        ..args(None, 40)
    };
    let output = async_io::block_on(onyxshed_cli::timeline::run(&args, Format::Human));
    insta::assert_snapshot!(output.expect("a time line").text);
}
