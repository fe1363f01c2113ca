//! The grammar of what is awaited and expected.

use onyxshed_core::Outcome;
use smol_str::SmolStr;
use winnow::prelude::*;

use super::grammar::{jobs, jobs_behind, publication_of_class};
use super::language::{Condition, Expectation, Hearing, Jobs, Times, Where};
use super::words::{may_say, name, number, one_of, say};

/// Takes what `wait until` waits for.
pub(super) fn condition(input: &mut &str) -> ModalResult<Condition> {
    if input.starts_with(|c: char| c.is_ascii_digit()) {
        return count_condition(input);
    }
    // The first three are JOBS_WORDS.
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
        place @ 0..=2 => {
            let jobs = jobs_behind(input, place)?;
            one_of(input, &["is", "are"])?;
            say(input, "answered")?;
            Ok(Condition::Answered(jobs, from_entry(input)?))
        }
        3 => {
            let revision = number(input)?;
            say(input, "is in force")?;
            Ok(Condition::InForce(revision, place(input)?))
        }
        4 => {
            let host = name(input)?;
            say(input, "has ended")?;
            Ok(Condition::Ended(host))
        }
        6 => {
            say(input, "are known")?;
            place(input).map(Condition::KnowsExecutors)
        }
        7 => {
            say(input, "are known")?;
            place(input).map(Condition::KnowsPeers)
        }
        _ => {
            say(input, "are read")?;
            place(input).map(Condition::ReadsLog)
        }
    }
}

fn count_condition(input: &mut &str) -> ModalResult<Condition> {
    let count: usize = number(input)?;
    match one_of(input, &["task", "tasks", "append", "appends"])? {
        0 | 1 => {
            say(input, "of")?;
            let jobs = jobs(input)?;
            say(input, "started")?;
            Ok(Condition::Started(count, jobs))
        }
        _ => {
            say(input, "to")?;
            let stream = name(input)?;
            say(input, "taken")?;
            Ok(Condition::Appended(count as u64, stream))
        }
    }
}

/// Takes `everywhere` or `at entry a1`.
fn place(input: &mut &str) -> ModalResult<Where> {
    match one_of(input, &["everywhere", "at"])? {
        0 => Ok(Where::Everywhere),
        _ => {
            say(input, "entry")?;
            name(input).map(Where::At)
        }
    }
}

/// Takes what must hold.
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
                say(input, "of")?;
                let jobs = jobs(input)?;
                say(input, "is")?;
                Ok(Expectation::SomeAnswer(jobs, hearings(input)?))
            }
        },
        "a" => say(input, "new").and_then(|()| new_start(input).map(Expectation::NewStart)),
        "answer" => {
            say(input, "of")?;
            let (jobs, from) = (jobs(input)?, from_entry(input)?);
            say(input, "is")?;
            Ok(Expectation::Answers(jobs, from, hearings(input)?))
        }
        "code" => {
            say(input, "of")?;
            let (jobs, from) = (jobs(input)?, from_entry(input)?);
            say(input, "is")?;
            Ok(Expectation::Codes(jobs, from, codes(input)?))
        }
        "class" => {
            let target = publication_of_class(input)?;
            Ok(Expectation::Target(target, in_force(input)?))
        }
        "revision" => Ok(Expectation::Revision(number(input)?, in_force(input)?)),
        "entry" => {
            let host = name(input)?;
            say(input, "ended with code")?;
            Ok(Expectation::ExitCode(host, number(input)?))
        }
        _ => {
            say(input, "most")?;
            let most = number(input)?;
            one_of(input, &["append", "appends"])?;
            say(input, "to")?;
            Ok(Expectation::AppendsAtMost(most, name(input)?))
        }
    }
}

fn every_task(input: &mut &str) -> ModalResult<Expectation> {
    say(input, "task of")?;
    let jobs = jobs(input)?;
    say(input, "started")?;
    let times = match one_of(input, &["at", "exactly"])? {
        0 => say(input, "most once").map(|()| Times::AtMostOnce)?,
        _ => say(input, "once").map(|()| Times::ExactlyOnce)?,
    };
    Ok(Expectation::EveryTask(jobs, times))
}

fn task_of(input: &mut &str) -> ModalResult<Jobs> {
    say(input, "of")?;
    let jobs = jobs(input)?;
    say(input, "started")?;
    Ok(jobs)
}

fn new_start(input: &mut &str) -> ModalResult<SmolStr> {
    say(input, "start on executor")?;
    name(input)
}

fn in_force(input: &mut &str) -> ModalResult<Where> {
    say(input, "in force")?;
    place(input)
}

fn from_entry(input: &mut &str) -> ModalResult<Option<SmolStr>> {
    match may_say(input, "from") {
        true => say(input, "entry").and_then(|()| name(input).map(Some)),
        false => Ok(None),
    }
}

fn hearings(input: &mut &str) -> ModalResult<Vec<Hearing>> {
    const WORDS: &[&str] = &[
        "complete",
        "failed",
        "not_run",
        "unknown",
        "lost",
        "unreached",
    ];
    const HEARINGS: &[Hearing] = &[
        Hearing::Outcome(Outcome::Complete),
        Hearing::Outcome(Outcome::Failed),
        Hearing::Outcome(Outcome::NotRun),
        Hearing::Outcome(Outcome::Unknown),
        Hearing::Lost,
        Hearing::Unreached,
    ];
    let mut hearings = vec![HEARINGS[one_of(input, WORDS)?]];
    while may_say(input, "or") {
        hearings.push(HEARINGS[one_of(input, WORDS)?]);
    }
    Ok(hearings)
}

fn codes(input: &mut &str) -> ModalResult<Vec<u16>> {
    let mut codes = vec![number(input)?];
    while may_say(input, "or") {
        codes.push(number(input)?);
    }
    Ok(codes)
}
