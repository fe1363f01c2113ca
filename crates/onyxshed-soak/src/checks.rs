//! What must hold, from what callers heard and executors recorded.

use std::collections::{BTreeMap, BTreeSet};

use onyxshed_standins::fleet::executor::RunRecord;
use smol_str::SmolStr;

use crate::callers::{Heard, Sent};
use crate::fleet::zone_of;

/// How far two processes' readings of the one clock may differ by rounding, in milliseconds.
const ROUNDING_MS: u64 = 2;

/// A run with its beginning and end.
#[derive(Debug, Clone)]
struct Span {
    executor: SmolStr,
    run: u32,
    from_ms: u64,
    to_ms: Option<u64>,
}

/// Finds what does not hold; each line names a promise and a job.
pub fn broken(
    sent: &[Sent],
    records: &[(SmolStr, RunRecord)],
    killed_ms: &BTreeMap<SmolStr, Vec<u64>>,
) -> Vec<String> {
    let spans = spans(records, killed_ms);
    let mut found = Vec::new();
    for (task, spans) in &spans {
        found.extend(at_work_twice(task, spans));
    }
    let started: BTreeSet<&str> = spans.keys().filter_map(|task| job_of(task)).collect();
    for job in sent {
        found.extend(untrue(job, &started, records, killed_ms));
    }
    found
}

/// Time after which no task may start in a zone whose evacuation was confirmed, for hosts that reach the
/// store: the grace of begun jobs (1,000 ms), and as much for a restarted host to learn of it.
const EVACUATED_WITHIN_MS: u64 = 2_000;

/// When each zone was evacuated.
#[derive(Debug, Clone, Default)]
pub struct EvacuationSpans {
    spans: Vec<EvacuationSpan>,
}

#[derive(Debug, Clone)]
struct EvacuationSpan {
    zone: SmolStr,
    from_ms: u64,
    to_ms: Option<u64>,
}

impl EvacuationSpans {
    /// Notes that a zone's evacuation was confirmed.
    pub fn begin(&mut self, zone: &SmolStr, at_ms: u64) {
        // A second one of a zone that is evacuated changes nothing.
        if self.open(zone).is_none() {
            self.spans.push(EvacuationSpan {
                zone: zone.clone(),
                from_ms: at_ms,
                to_ms: None,
            });
        }
    }

    /// Notes that a zone is about to be restored.
    pub fn end(&mut self, zone: &SmolStr, at_ms: u64) {
        if let Some(span) = self.open(zone) {
            span.to_ms = Some(at_ms);
        }
    }

    fn open(&mut self, zone: &SmolStr) -> Option<&mut EvacuationSpan> {
        let mut spans = self.spans.iter_mut();
        spans.find(|span| span.zone == *zone && span.to_ms.is_none())
    }

    fn forbids(&self, zone: &str, at_ms: u64) -> bool {
        self.spans.iter().any(|span| {
            span.zone == zone
                && at_ms > span.from_ms + EVACUATED_WITHIN_MS
                && span.to_ms.is_none_or(|to_ms| at_ms < to_ms)
        })
    }
}

/// Finds tasks that started in evacuated zones.
pub fn evacuated(records: &[(SmolStr, RunRecord)], evacuations: &EvacuationSpans) -> Vec<String> {
    let starts = records.iter().filter(|(_, record)| record.what == "start");
    let forbidden = starts.filter(|(executor, record)| {
        zone_of(executor).is_some_and(|zone| evacuations.forbids(&zone, record.at_ms))
    });
    forbidden
        .map(|(executor, record)| {
            format!(
                "{} started in an evacuated zone, on {executor}",
                record.task
            )
        })
        .collect()
}

/// Finds requests that planned work alone has cut off.
pub fn cut_off(sent: &[Sent]) -> Vec<String> {
    let cut = sent.iter().filter(|sent| sent.cut_off > 0);
    cut.map(|sent| format!("planned work cut off a request for {}", sent.job))
        .collect()
}

fn job_of(task: &str) -> Option<&str> {
    task.split('.').next()
}

/// Pairs starts with their ends. A run of a killed executor ends with it.
fn spans(
    records: &[(SmolStr, RunRecord)],
    killed_ms: &BTreeMap<SmolStr, Vec<u64>>,
) -> BTreeMap<SmolStr, Vec<Span>> {
    let mut spans: BTreeMap<SmolStr, Vec<Span>> = BTreeMap::new();
    for (executor, record) in records {
        let of_task = spans.entry(record.task.clone()).or_default();
        if record.what == "start" {
            of_task.push(Span {
                executor: executor.clone(),
                run: record.run,
                from_ms: record.at_ms,
                to_ms: None,
            });
            continue;
        }
        let mut open = of_task.iter_mut().rev();
        let mine = open.find(|span| span.executor == *executor && span.run == record.run);
        if let Some(span) = mine {
            span.to_ms = Some(record.at_ms);
        }
    }
    for span in spans.values_mut().flatten() {
        let killed = killed_ms.get(&span.executor);
        let next = killed.and_then(|at| at.iter().find(|at| **at >= span.from_ms));
        span.to_ms = span.to_ms.or(next.copied());
    }
    spans
}

fn at_work_twice(task: &str, spans: &[Span]) -> Vec<String> {
    let mut found = Vec::new();
    for (index, first) in spans.iter().enumerate() {
        for second in &spans[index + 1..] {
            if overlap(first, second) {
                found.push(format!(
                    "two runs of {task} at a time: {first:?} and {second:?}"
                ));
            }
        }
    }
    found
}

fn overlap(first: &Span, second: &Span) -> bool {
    let ends_before = |one: &Span, other: &Span| {
        one.to_ms
            .is_some_and(|end| end <= other.from_ms + ROUNDING_MS)
    };
    !ends_before(first, second) && !ends_before(second, first)
}

/// Checks one caller's answers.
fn untrue(
    sent: &Sent,
    started: &BTreeSet<&str>,
    records: &[(SmolStr, RunRecord)],
    killed_ms: &BTreeMap<SmolStr, Vec<u64>>,
) -> Vec<String> {
    let job = &sent.job;
    let mut found = Vec::new();
    let is_refused = sent.heard.iter().all(|heard| *heard == Heard::NotRun);
    if is_refused && started.contains(job.as_str()) {
        found.push(format!("{job} was answered \"not run\" and ran"));
    }
    // Records of a killed executor's last moments are lost with it.
    if sent.heard.last() == Some(&Heard::Completed) && killed_ms.is_empty() {
        let done: BTreeSet<&SmolStr> = records
            .iter()
            .filter(|(_, record)| record.what == "done" && job_of(&record.task) == Some(job))
            .map(|(_, record)| &record.task)
            .collect();
        if done.len() != usize::from(sent.tasks) {
            found.push(format!(
                "{job} was answered complete with {} of {} tasks done",
                done.len(),
                sent.tasks
            ));
        }
    }
    found
}
