//! The checks of a soak: they compare the answers that callers got with the runs that executors recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use onyxshed_standins::fleet::executor::RunRecord;
use smol_str::SmolStr;

use crate::callers::{Answer, SubmittedJob};
use crate::fleet::zone_of;

/// The greatest difference between two processes' readings of the same clock that rounding causes,
/// in milliseconds.
const ROUNDING_MS: u64 = 2;

/// The hosts that have owned pools, by zone and fencing token; owners of different zones may have the same
/// token.
#[derive(Debug, Clone, Default)]
pub struct OwnersByZone {
    owners: BTreeMap<(SmolStr, u64), SmolStr>,
}

impl OwnersByZone {
    /// Records that a host has owned a pool of a zone under a fencing token.
    pub fn insert(&mut self, zone: SmolStr, token: u64, host: SmolStr) {
        self.owners.insert((zone, token), host);
    }

    /// Returns the host that ordered a run on an executor; `None` if it is not known.
    fn owner_of(&self, executor: &str, token: u64) -> Option<SmolStr> {
        self.owners.get(&(zone_of(executor)?, token)).cloned()
    }
}

/// A run with its start and end, in milliseconds since the Unix epoch; a run without a recorded end may still
/// be in progress.
#[derive(Debug, Clone)]
struct Span {
    executor: SmolStr,
    run: u32,
    token: u64,
    /// The owner that ordered the run, if it is known.
    owner: Option<SmolStr>,
    from_ms: u64,
    to_ms: Option<u64>,
}

impl Span {
    fn contains(&self, at_ms: u64) -> bool {
        self.from_ms < at_ms && self.to_ms.is_none_or(|to_ms| to_ms > at_ms + ROUNDING_MS)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let owner = self.owner.as_deref().unwrap_or("an unknown owner");
        let (run, executor, token) = (self.run, &self.executor, self.token);
        write!(
            f,
            "run {run} on {executor} by {owner} with token {token} from {}",
            self.from_ms
        )?;
        match self.to_ms {
            Some(to_ms) => write!(f, " to {to_ms}"),
            None => write!(f, " with no recorded end"),
        }
    }
}

/// Returns the violations of two promises: at most one run of a task at a time, and true answers to
/// callers. Each line names the promise and the task or job. `killed_ms` contains the times at
/// which each executor was killed.
pub fn find_violations(
    jobs: &[SubmittedJob],
    records: &[(SmolStr, RunRecord)],
    killed_ms: &BTreeMap<SmolStr, Vec<u64>>,
    owners: &OwnersByZone,
) -> Vec<String> {
    let spans = pair_runs(records, killed_ms, owners);
    let mut violations = Vec::new();
    for (task, spans) in &spans {
        violations.extend(find_overlapping_runs(task, spans));
    }
    let started: BTreeSet<&str> = spans.keys().filter_map(|task| job_of(task)).collect();
    for job in jobs {
        violations.extend(find_false_answers(job, &started, records, killed_ms));
    }
    violations
}

/// Returns a line for each run that was in progress when the caller sent its job again. A copy that reaches
/// another pool then starts beside that run.
pub fn find_runs_at_resend(
    jobs: &[SubmittedJob],
    records: &[(SmolStr, RunRecord)],
    killed_ms: &BTreeMap<SmolStr, Vec<u64>>,
    owners: &OwnersByZone,
) -> Vec<String> {
    let spans = pair_runs(records, killed_ms, owners);
    let mut lines = Vec::new();
    for job in jobs {
        let prefix = format!("{}.", job.job);
        let tasks = spans.range(SmolStr::from(prefix.as_str())..);
        let tasks = tasks.take_while(|(task, _)| task.starts_with(&prefix));
        for (task, span) in
            tasks.flat_map(|(task, spans)| spans.iter().map(move |span| (task, span)))
        {
            let resent = job
                .sent_ms
                .iter()
                .skip(1)
                .find(|sent_ms| span.contains(**sent_ms));
            if let Some(sent_ms) = resent {
                lines.push(format!("{task} was sent again at {sent_ms} during {span}"));
            }
        }
    }
    lines
}

/// How long after the confirmation of a zone's evacuation tasks may still start in the zone, if its
/// hosts reach the store: the grace for jobs in progress (1,000 ms), and as much for a restarted
/// host to learn of the evacuation.
const EVACUATED_WITHIN_MS: u64 = 2_000;

/// The times during which zones were evacuated.
#[derive(Debug, Clone, Default)]
pub struct EvacuationSpans {
    spans: Vec<EvacuationSpan>,
}

/// One evacuation of a zone; `to_ms` is `None` while it lasts.
#[derive(Debug, Clone)]
struct EvacuationSpan {
    zone: SmolStr,
    from_ms: u64,
    to_ms: Option<u64>,
}

impl EvacuationSpans {
    /// Records that the evacuation of a zone was confirmed.
    pub fn begin(&mut self, zone: &SmolStr, at_ms: u64) {
        // Evacuating a zone that is already evacuated has no effect.
        if self.open_span(zone).is_none() {
            self.spans.push(EvacuationSpan {
                zone: zone.clone(),
                from_ms: at_ms,
                to_ms: None,
            });
        }
    }

    /// Records that a zone is about to be restored.
    pub fn end(&mut self, zone: &SmolStr, at_ms: u64) {
        if let Some(span) = self.open_span(zone) {
            span.to_ms = Some(at_ms);
        }
    }

    fn open_span(&mut self, zone: &SmolStr) -> Option<&mut EvacuationSpan> {
        let mut spans = self.spans.iter_mut();
        spans.find(|span| span.zone == *zone && span.to_ms.is_none())
    }

    fn forbids_start(&self, zone: &str, at_ms: u64) -> bool {
        self.spans.iter().any(|span| {
            span.zone == zone
                && at_ms > span.from_ms + EVACUATED_WITHIN_MS
                && span.to_ms.is_none_or(|to_ms| at_ms < to_ms)
        })
    }
}

/// Returns a line for each task that started in an evacuated zone later than `EVACUATED_WITHIN_MS`
/// permits.
pub fn find_starts_in_evacuated_zones(
    records: &[(SmolStr, RunRecord)],
    evacuations: &EvacuationSpans,
) -> Vec<String> {
    let starts = records.iter().filter(|(_, record)| record.event == "start");
    let forbidden = starts.filter(|(executor, record)| {
        zone_of(executor).is_some_and(|zone| evacuations.forbids_start(&zone, record.at_ms))
    });
    forbidden
        .map(|(executor, record)| {
            format!(
                "no task may start in an evacuated zone: {} started on {executor}",
                record.task
            )
        })
        .collect()
}

/// Returns a line for each job with a request whose connection broke before an answer arrived. This
/// must not happen in a soak in which hosts are only stopped, reloaded and given new manifests.
pub fn find_cut_off_requests(jobs: &[SubmittedJob]) -> Vec<String> {
    let cut_off = jobs.iter().filter(|job| !job.cut_off.is_empty());
    cut_off
        .map(|job| {
            format!(
                "planned work must not cut off a request: one for job {} got no answer: {:?}",
                job.job, job.cut_off
            )
        })
        .collect()
}

fn job_of(task: &str) -> Option<&str> {
    task.split('.').next()
}

/// Returns the runs of each task. A run without a recorded end, on an executor that was killed after its
/// start, ends with the kill.
fn pair_runs(
    records: &[(SmolStr, RunRecord)],
    killed_ms: &BTreeMap<SmolStr, Vec<u64>>,
    owners: &OwnersByZone,
) -> BTreeMap<SmolStr, Vec<Span>> {
    let mut spans: BTreeMap<SmolStr, Vec<Span>> = BTreeMap::new();
    for (executor, record) in records {
        let task_spans = spans.entry(record.task.clone()).or_default();
        if record.event == "start" {
            task_spans.push(Span {
                executor: executor.clone(),
                run: record.run,
                token: record.token,
                owner: owners.owner_of(executor, record.token),
                from_ms: record.at_ms,
                to_ms: None,
            });
            continue;
        }
        let mut open_spans = task_spans.iter_mut().rev();
        let matching = open_spans.find(|span| span.executor == *executor && span.run == record.run);
        if let Some(span) = matching {
            span.to_ms = Some(record.at_ms);
        }
    }
    for span in spans.values_mut().flatten() {
        let kill_times = killed_ms.get(&span.executor);
        let kill_ms = kill_times.and_then(|at| at.iter().find(|at| **at >= span.from_ms));
        span.to_ms = span.to_ms.or(kill_ms.copied());
    }
    spans
}

fn find_overlapping_runs(task: &str, spans: &[Span]) -> Vec<String> {
    let mut violations = Vec::new();
    for (index, first) in spans.iter().enumerate() {
        for second in &spans[index + 1..] {
            if is_overlap(first, second) {
                let overlap = match overlap_ms(first, second) {
                    Some(ms) => format!("for {ms} ms"),
                    None => "without an end".to_owned(),
                };
                violations.push(format!(
                    "a task has at most one run at a time: {task} had two {overlap}: {first}; {second}"
                ));
            }
        }
    }
    violations
}

fn is_overlap(first: &Span, second: &Span) -> bool {
    let ends_before = |earlier: &Span, later: &Span| {
        earlier
            .to_ms
            .is_some_and(|end| end <= later.from_ms + ROUNDING_MS)
    };
    !ends_before(first, second) && !ends_before(second, first)
}

/// Returns how long two runs overlapped; `None` if neither has a recorded end.
fn overlap_ms(first: &Span, second: &Span) -> Option<u64> {
    let from_ms = first.from_ms.max(second.from_ms);
    let ends = [first.to_ms, second.to_ms];
    let to_ms = ends.into_iter().flatten().min()?;
    Some(to_ms.saturating_sub(from_ms))
}

/// Returns the time of the wall clock, in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.map(|span| span.as_millis()).unwrap_or_default();
    u64::try_from(ms).unwrap_or(u64::MAX)
}

/// Returns the answers about a job that the executors' records contradict.
fn find_false_answers(
    submitted_job: &SubmittedJob,
    started: &BTreeSet<&str>,
    records: &[(SmolStr, RunRecord)],
    killed_ms: &BTreeMap<SmolStr, Vec<u64>>,
) -> Vec<String> {
    let job_id = &submitted_job.job;
    let mut violations = Vec::new();
    let is_never_run = submitted_job
        .answers
        .iter()
        .all(|answer| *answer == Answer::NotRun);
    if is_never_run && started.contains(job_id.as_str()) {
        violations.push(format!(
            "a job that is answered \"not run\" must not run: {job_id} was started"
        ));
    }
    // A killed executor loses its most recent records, so finished tasks are counted only if no
    // executor was killed.
    if submitted_job.answers.last() == Some(&Answer::Completed) && killed_ms.is_empty() {
        let done: BTreeSet<&SmolStr> = records
            .iter()
            .filter(|(_, record)| record.event == "done" && job_of(&record.task) == Some(job_id))
            .map(|(_, record)| &record.task)
            .collect();
        if done.len() != usize::from(submitted_job.tasks) {
            violations.push(format!(
                "a job that is answered \"completed\" has all tasks done: {job_id} has {} of {}",
                done.len(),
                submitted_job.tasks
            ));
        }
    }
    violations
}
