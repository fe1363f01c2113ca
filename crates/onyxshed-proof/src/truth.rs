//! Checks that are applied after every scenario, in addition to its own expectations.
//!
//! The answers that callers received are compared with the task starts that the executors recorded,
//! and never with records of the system under test.

use std::collections::BTreeMap;

use onyxshed_core::{Outcome, SubmissionId, TaskId, UnixMs};
use onyxshed_standins::upstream::StartRecord;
use onyxshed_wire::caller::Answer;
use smol_str::format_smolstr;

use crate::caller::{CallResult, TimedCallResult};
use crate::error::{Error, Result};

/// A request for a job and its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exchange {
    /// Time of the request on the wall clock, comparable with the start times that executors record.
    pub sent_at_ms: UnixMs,
    /// The result, `None` while it is pending.
    pub result: Option<TimedCallResult>,
}

/// The facts about a job that its caller knows, against which answers are checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobFacts {
    /// The submission id of the job.
    pub id: SubmissionId,
    /// Whether the job's class allows a task to start more than once.
    pub may_run_twice: bool,
    /// The expected result of each task.
    pub results: Vec<Vec<u8>>,
    /// All requests that carried the job's own content.
    pub exchanges: Vec<Exchange>,
}

/// All recorded task starts, grouped by task.
#[derive(Debug, Default)]
pub struct Starts {
    by_task: BTreeMap<TaskId, Vec<StartRecord>>,
}

impl Starts {
    /// Groups starts by task.
    pub fn new(records: Vec<StartRecord>) -> Self {
        let mut by_task: BTreeMap<TaskId, Vec<StartRecord>> = BTreeMap::new();
        for record in records {
            by_task.entry(record.task).or_default().push(record);
        }
        Starts { by_task }
    }

    /// Returns how often a task started.
    pub fn count(&self, submission: SubmissionId, index: usize) -> usize {
        let index = u16::try_from(index).unwrap_or(u16::MAX);
        let task = TaskId { submission, index };
        self.by_task.get(&task).map_or(0, Vec::len)
    }

    /// Returns all starts of a job's tasks.
    pub fn of_submission(&self, submission: SubmissionId) -> impl Iterator<Item = &StartRecord> {
        let is_match = move |record: &&StartRecord| record.task.submission == submission;
        self.by_task.values().flatten().filter(is_match)
    }
}

/// Checks the starts and answers of one job.
///
/// # Errors
///
/// Fails if a task started more often than its class allows, or if an answer contradicts the
/// recorded starts, the job's results or another answer field.
pub fn check(job: &JobFacts, starts: &Starts) -> Result<()> {
    check_start_counts(job, starts)?;
    for exchange in &job.exchanges {
        if let Some(TimedCallResult { result, .. }) = &exchange.result {
            check_result(job, exchange, result, starts)?;
        }
    }
    if is_all_not_run(job) && starts.of_submission(job.id).next().is_some() {
        let detail = format_smolstr!("every answer to {} was not_run, but a task started", job.id);
        return Err(Error::unmet(detail));
    }
    Ok(())
}

/// Checks that no task of a job started twice unless its class allows it.
fn check_start_counts(job: &JobFacts, starts: &Starts) -> Result<()> {
    for index in 0..job.results.len() {
        let count = starts.count(job.id, index);
        if count > 1 && !job.may_run_twice {
            let records: Vec<&StartRecord> = starts.of_submission(job.id).collect();
            return Err(Error::unmet(format_smolstr!(
                "task {index} of {} started {count} times: {records:?}",
                job.id
            )));
        }
    }
    Ok(())
}

fn check_result(
    job: &JobFacts,
    exchange: &Exchange,
    result: &CallResult,
    starts: &Starts,
) -> Result<()> {
    let CallResult::Answer(status, answer) = result else {
        return Ok(());
    };
    if answer.submission.is_some_and(|id| id != job.id) {
        return Err(false_answer_error(
            job,
            answer,
            "it is another submission's answer",
        ));
    }
    if *status != answer.http_status() {
        return Err(false_answer_error(
            job,
            answer,
            "its HTTP status does not match its code",
        ));
    }
    match answer.outcome {
        Some(Outcome::Complete) => check_complete(job, answer, starts),
        Some(Outcome::NotRun) => check_not_run(job, exchange, answer, starts),
        Some(Outcome::Failed) if starts.of_submission(job.id).next().is_none() => {
            Err(false_answer_error(job, answer, "no task started"))
        }
        _ => Ok(()),
    }
}

/// Checks that a complete answer contains the result of every task, and that every task started.
fn check_complete(job: &JobFacts, answer: &Answer, starts: &Starts) -> Result<()> {
    if answer.results.as_ref() != Some(&job.results) {
        return Err(false_answer_error(
            job,
            answer,
            "its results are not the job's own",
        ));
    }
    let has_run = |index| starts.count(job.id, index) > 0;
    match (0..job.results.len()).all(has_run) {
        true => Ok(()),
        false => Err(false_answer_error(job, answer, "not every task started")),
    }
}

/// Checks a "not run" answer: no task started before the request was sent, and the answer contains no
/// results.
fn check_not_run(
    job: &JobFacts,
    exchange: &Exchange,
    answer: &Answer,
    starts: &Starts,
) -> Result<()> {
    let ran_before = |record: &StartRecord| record.at_ms < exchange.sent_at_ms;
    if starts.of_submission(job.id).any(ran_before) {
        return Err(false_answer_error(
            job,
            answer,
            "a task had started before the request was sent",
        ));
    }
    match answer.results {
        None => Ok(()),
        Some(_) => Err(false_answer_error(job, answer, "it carries results")),
    }
}

fn is_all_not_run(job: &JobFacts) -> bool {
    let is_not_run = |exchange: &Exchange| {
        let result = exchange.result.as_ref();
        result.and_then(|timed_result| timed_result.result.outcome()) == Some(Outcome::NotRun)
    };
    !job.exchanges.is_empty() && job.exchanges.iter().all(is_not_run)
}

fn false_answer_error(job: &JobFacts, answer: &Answer, why: &str) -> Error {
    let (outcome, code) = (answer.outcome, answer.code);
    Error::unmet(format_smolstr!(
        "the answer to {} is false: {why}: {outcome:?} {code:?} {}",
        job.id,
        answer.text
    ))
}
