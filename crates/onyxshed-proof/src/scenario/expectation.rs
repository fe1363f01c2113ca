//! The grammar of the conditions of `wait until` and the expectations of `expect`.

use onyxshed_core::Outcome;
use smol_str::SmolStr;
use winnow::prelude::*;

use super::grammar::{jobs, jobs_after_keyword, publication_after_class};
use super::language::{AnswerKind, Condition, Expectation, HostScope, Jobs, StartCount};
use super::tokens::{accept_word, expect_words, name, number, one_of};

/// Parses the condition after `wait until`.
pub(super) fn condition(input: &mut &str) -> ModalResult<Condition> {
    if input.starts_with(|c: char| c.is_ascii_digit()) {
        return count_condition(input);
    }
    // The first three words are `JOBS_WORDS` in the same order, so that their indexes can be passed
    // to `jobs_after_keyword`.
    match one_of(
        input,
        &[
            "job",
            "jobs",
            "every",
            "revision",
            "entry",
            "claims",
            "executors",
            "peers",
        ],
    )? {
        keyword @ 0..=2 => {
            let jobs = jobs_after_keyword(input, keyword)?;
            one_of(input, &["is", "are"])?;
            expect_words(input, "answered")?;
            Ok(Condition::Answered(jobs, from_entry(input)?))
        }
        3 => {
            let revision = number(input)?;
            expect_words(input, "is in force")?;
            Ok(Condition::InForce(revision, scope(input)?))
        }
        4 => {
            let host = name(input)?;
            expect_words(input, "has ended")?;
            Ok(Condition::Ended(host))
        }
        6 => {
            expect_words(input, "are known")?;
            scope(input).map(Condition::KnowsExecutors)
        }
        7 => {
            expect_words(input, "are known")?;
            scope(input).map(Condition::KnowsPeers)
        }
        _ => {
            expect_words(input, "are read")?;
            scope(input).map(Condition::ReadsLog)
        }
    }
}

fn count_condition(input: &mut &str) -> ModalResult<Condition> {
    let count: usize = number(input)?;
    match one_of(input, &["task", "tasks", "append", "appends"])? {
        0 | 1 => {
            expect_words(input, "of")?;
            let jobs = jobs(input)?;
            expect_words(input, "started")?;
            Ok(Condition::Started(count, jobs))
        }
        _ => {
            expect_words(input, "to")?;
            let stream = name(input)?;
            expect_words(input, "taken")?;
            Ok(Condition::Appended(count as u64, stream))
        }
    }
}

/// Parses `everywhere` or `at entry a1`.
fn scope(input: &mut &str) -> ModalResult<HostScope> {
    match one_of(input, &["everywhere", "at"])? {
        0 => Ok(HostScope::Everywhere),
        _ => {
            expect_words(input, "entry")?;
            name(input).map(HostScope::At)
        }
    }
}

/// Parses the expectation after `expect`.
pub(super) fn expectation(input: &mut &str) -> ModalResult<Expectation> {
    const SUBJECTS: &[&str] = &[
        "every", "no", "some", "a", "answer", "code", "class", "revision", "entry", "at",
    ];
    match SUBJECTS[one_of(input, SUBJECTS)?] {
        "every" => every_task(input),
        "no" => match one_of(input, &["task", "new"])? {
            0 => task_of(input).map(Expectation::NoTask),
            _ => new_start(input).map(Expectation::NoNewStart),
        },
        "some" => match one_of(input, &["task", "answer"])? {
            0 => task_of(input).map(Expectation::SomeTask),
            _ => {
                expect_words(input, "of")?;
                let jobs = jobs(input)?;
                expect_words(input, "is")?;
                Ok(Expectation::SomeAnswer(jobs, answer_kinds(input)?))
            }
        },
        "a" => {
            expect_words(input, "new").and_then(|()| new_start(input).map(Expectation::NewStart))
        }
        "answer" => {
            expect_words(input, "of")?;
            let (jobs, from) = (jobs(input)?, from_entry(input)?);
            expect_words(input, "is")?;
            Ok(Expectation::Answers(jobs, from, answer_kinds(input)?))
        }
        "code" => {
            expect_words(input, "of")?;
            let (jobs, from) = (jobs(input)?, from_entry(input)?);
            expect_words(input, "is")?;
            Ok(Expectation::Codes(jobs, from, codes(input)?))
        }
        "class" => {
            let target = publication_after_class(input)?;
            Ok(Expectation::Target(target, in_force(input)?))
        }
        "revision" => Ok(Expectation::Revision(number(input)?, in_force(input)?)),
        "entry" => {
            let host = name(input)?;
            expect_words(input, "ended with code")?;
            Ok(Expectation::ExitCode(host, number(input)?))
        }
        _ => {
            expect_words(input, "most")?;
            let most = number(input)?;
            one_of(input, &["append", "appends"])?;
            expect_words(input, "to")?;
            Ok(Expectation::AppendsAtMost(most, name(input)?))
        }
    }
}

fn every_task(input: &mut &str) -> ModalResult<Expectation> {
    expect_words(input, "task of")?;
    let jobs = jobs(input)?;
    expect_words(input, "started")?;
    let times = match one_of(input, &["at", "exactly"])? {
        0 => expect_words(input, "most once").map(|()| StartCount::AtMostOnce)?,
        _ => expect_words(input, "once").map(|()| StartCount::ExactlyOnce)?,
    };
    Ok(Expectation::EveryTask(jobs, times))
}

fn task_of(input: &mut &str) -> ModalResult<Jobs> {
    expect_words(input, "of")?;
    let jobs = jobs(input)?;
    expect_words(input, "started")?;
    Ok(jobs)
}

fn new_start(input: &mut &str) -> ModalResult<SmolStr> {
    expect_words(input, "start on executor")?;
    name(input)
}

fn in_force(input: &mut &str) -> ModalResult<HostScope> {
    expect_words(input, "in force")?;
    scope(input)
}

fn from_entry(input: &mut &str) -> ModalResult<Option<SmolStr>> {
    match accept_word(input, "from") {
        true => expect_words(input, "entry").and_then(|()| name(input).map(Some)),
        false => Ok(None),
    }
}

fn answer_kinds(input: &mut &str) -> ModalResult<Vec<AnswerKind>> {
    const WORDS: &[&str] = &[
        "complete",
        "failed",
        "not_run",
        "unknown",
        "lost",
        "unreached",
    ];
    const KINDS: &[AnswerKind] = &[
        AnswerKind::Outcome(Outcome::Complete),
        AnswerKind::Outcome(Outcome::Failed),
        AnswerKind::Outcome(Outcome::NotRun),
        AnswerKind::Outcome(Outcome::Unknown),
        AnswerKind::Lost,
        AnswerKind::Unreached,
    ];
    let mut answer_kinds = vec![KINDS[one_of(input, WORDS)?]];
    while accept_word(input, "or") {
        answer_kinds.push(KINDS[one_of(input, WORDS)?]);
    }
    Ok(answer_kinds)
}

fn codes(input: &mut &str) -> ModalResult<Vec<u16>> {
    let mut codes = vec![number(input)?];
    while accept_word(input, "or") {
        codes.push(number(input)?);
    }
    Ok(codes)
}
