//! The grammar of all statements, without the conditions and expectations.

use onyxshed_core::Millis;
use onyxshed_standins::faults::Mode;
use smol_str::{SmolStr, format_smolstr};
use winnow::prelude::*;
use winnow::stream::Stream;

use crate::cluster::{Edge, ProcessKind, Topology};

use super::expectation::{condition, expectation};
use super::language::{
    Action, Content, ExecutorFault, Jobs, PlatformFault, Publication, PublishResult, Receivers,
    Setting, Step, Submit, Target,
};
use super::tokens::{
    accept_word, duration, expect_words, fail_described, fail_expected, name, names_to_end,
    names_until, number, one_of, parse_word,
};

/// The first words of all statements.
const FIRST_WORDS: &[&str] = &[
    "given",
    "start",
    "publish",
    "append",
    "bind",
    "submit",
    "resubmit",
    "cancel",
    "fetch",
    "wait",
    "let",
    "kill",
    "restart",
    "freeze",
    "thaw",
    "stop",
    "cut",
    "hold",
    "blackhole",
    "stall",
    "heal",
    "delay",
    "drop",
    "break",
    "platform",
    "executor",
    "host",
    "note",
    "expect",
];

/// Parses one statement, which is a whole line of a scenario without its indentation.
pub(super) fn statement(input: &mut &str) -> ModalResult<Step> {
    match FIRST_WORDS[one_of(input, FIRST_WORDS)?] {
        "given" => given(input).map(Step::Given),
        "start" => topology(input).map(Step::Start),
        "publish" => publication(input).map(Step::Publish),
        "append" => publication(input).map(Step::Append),
        "bind" => Ok(Step::Bind(jobs(input)?, to_entry(input)?)),
        "submit" => submit(input),
        "resubmit" => resubmit(input),
        "cancel" => Ok(Step::Cancel(jobs(input)?, at_entry(input)?)),
        "fetch" => Ok(Step::Fetch(jobs(input)?, at_entry(input)?)),
        "wait" => expect_words(input, "until").and_then(|()| condition(input).map(Step::Wait)),
        "let" => pass_time(input),
        "kill" => Ok(Step::Signal(Action::Kill, target(input)?)),
        "restart" => Ok(Step::Signal(Action::Restart, target(input)?)),
        "freeze" => Ok(Step::Signal(Action::Freeze, target(input)?)),
        "thaw" => Ok(Step::Signal(Action::Thaw, target(input)?)),
        "stop" => Ok(Step::Signal(Action::Stop, target(input)?)),
        "cut" => Ok(Step::Network(Mode::Cut, edge(input)?)),
        "hold" => Ok(Step::Network(Mode::Hold, edge(input)?)),
        "stall" => Ok(Step::Network(Mode::StallExisting, edge(input)?)),
        "heal" => Ok(Step::Network(Mode::Pass, edge(input)?)),
        "blackhole" => Ok(Step::Network(blackhole(input)?, edge(input)?)),
        "drop" => {
            expect_words(input, "answers on")?;
            Ok(Step::Network(Mode::DropAnswer, edge(input)?))
        }
        "delay" => delay(input),
        "break" => break_off(input),
        "platform" => platform(input).map(Step::Platform),
        "executor" => Ok(Step::Executor(name(input)?, executor(input)?)),
        "host" => list_host(input),
        "note" => {
            expect_words(input, "the starts of executor")?;
            name(input).map(Step::Note)
        }
        _ => expectation(input).map(Step::Expect),
    }
}

fn given(input: &mut &str) -> ModalResult<Setting> {
    const SUBJECTS: &[&str] = &[
        "executors",
        "log",
        "host",
        "ids",
        "clocks",
        "claims",
        "drains",
        "peers",
    ];
    match SUBJECTS[one_of(input, SUBJECTS)?] {
        "executors" => {
            expect_words(input, "with")?;
            if accept_word(input, "a") {
                expect_words(input, "queue of")?;
                return number(input).map(Setting::Queue);
            }
            let slots = number(input)?;
            one_of(input, &["slot", "slots"])?;
            Ok(Setting::Slots(slots))
        }
        "log" => {
            expect_words(input, "kept for").and_then(|()| duration(input).map(Setting::Retention))
        }
        "host" => expect_words(input, "list late by")
            .and_then(|()| duration(input).map(Setting::HostListLag)),
        "ids" => {
            expect_words(input, "valid for").and_then(|()| duration(input).map(Setting::Horizon))
        }
        "clocks" => expect_words(input, "within").and_then(|()| duration(input).map(Setting::Skew)),
        "claims" => expect_words(input, "awaited for")
            .and_then(|()| duration(input).map(Setting::ClaimPatience)),
        "drains" => {
            expect_words(input, "up to").and_then(|()| duration(input).map(Setting::DrainTimeout))
        }
        _ => {
            expect_words(input, "gone after").and_then(|()| duration(input).map(Setting::GoneAfter))
        }
    }
}

fn topology(input: &mut &str) -> ModalResult<Topology> {
    one_of(input, &["zone", "zones"])?;
    let zones = names_until(input, "with")?;
    let entry_hosts = number(input)?;
    expect_words(input, "entry")?;
    one_of(input, &["host", "hosts"])?;
    expect_words(input, "and")?;
    let executors = number(input)?;
    one_of(input, &["executor", "executors"])?;
    expect_words(input, "each")?;
    Ok(Topology {
        zones,
        entry_hosts,
        executors,
    })
}

/// Parses `class fee within 5 s [may run twice] [from revision 2] [and lose the race]`.
fn publication(input: &mut &str) -> ModalResult<Publication> {
    expect_words(input, "class")?;
    publication_after_class(input)
}

/// Parses a publication without its first word `class`.
pub(super) fn publication_after_class(input: &mut &str) -> ModalResult<Publication> {
    let class = parse_word(input, "a class name")?;
    expect_words(input, "within")?;
    let within = duration(input)?;
    let may_run_twice = accept_word(input, "may");
    if may_run_twice {
        expect_words(input, "run twice")?;
    }
    let from = match accept_word(input, "from") {
        true => {
            expect_words(input, "revision")?;
            Some(number(input)?)
        }
        false => None,
    };
    let told = match accept_word(input, "and") {
        true => publish_result(input)?,
        false => PublishResult::default(),
    };
    Ok(Publication {
        class,
        within,
        may_run_twice,
        from,
        told,
    })
}

/// Parses the words after `and` in a publication whose change is not accepted.
fn publish_result(input: &mut &str) -> ModalResult<PublishResult> {
    match one_of(input, &["lose", "reach", "learn"])? {
        0 => expect_words(input, "the race").map(|()| PublishResult::Raced),
        1 => expect_words(input, "nobody").map(|()| PublishResult::Unreachable),
        _ => expect_words(input, "nothing").map(|()| PublishResult::Undecided),
    }
}

/// Parses `job J1`, `jobs J1 to J9` or `every job`.
pub(super) fn jobs(input: &mut &str) -> ModalResult<Jobs> {
    let keyword = one_of(input, JOBS_WORDS)?;
    jobs_after_keyword(input, keyword)
}

/// The first words of the phrases that select jobs.
const JOBS_WORDS: &[&str] = &["job", "jobs", "every"];

/// Parses the rest of a phrase that selects jobs. `keyword` is the index of its first word in
/// `JOBS_WORDS`.
pub(super) fn jobs_after_keyword(input: &mut &str, keyword: usize) -> ModalResult<Jobs> {
    match keyword {
        0 => Ok(Jobs::Named(vec![job(input)?.0])),
        1 => job_range(input).map(Jobs::Named),
        _ => expect_words(input, "job").map(|()| Jobs::Every),
    }
}

fn job_range(input: &mut &str) -> ModalResult<Vec<SmolStr>> {
    let checkpoint = input.checkpoint();
    let (_, letters, first) = job(input)?;
    expect_words(input, "to")?;
    let (_, other_letters, last) = job(input)?;
    if letters != other_letters || last < first {
        input.reset(&checkpoint);
        return fail_described(input, "a range such as J1 to J9");
    }
    let range = first..=last;
    Ok(range
        .map(|number| format_smolstr!("{letters}{number}"))
        .collect())
}

/// Parses a job's name, which consists of letters, the first of them a capital, and a number. Returns
/// the name, its letters and its number.
fn job(input: &mut &str) -> ModalResult<(SmolStr, SmolStr, u32)> {
    const ALLOWED: &str = "a job's name such as J1";
    let checkpoint = input.checkpoint();
    let found: SmolStr = parse_word(input, ALLOWED)?;
    let digits = found.trim_start_matches(|c: char| c.is_ascii_alphabetic());
    let letters = &found[..found.len() - digits.len()];
    match (
        letters.starts_with(|c: char| c.is_ascii_uppercase()),
        digits.parse(),
    ) {
        (true, Ok(number)) => Ok((found.clone(), letters.into(), number)),
        _ => {
            input.reset(&checkpoint);
            fail_described(input, ALLOWED)
        }
    }
}

/// Parses `to entry a1` and returns the host's name.
fn to_entry(input: &mut &str) -> ModalResult<SmolStr> {
    expect_words(input, "to entry")?;
    name(input)
}

/// Parses `at entry a1` and returns the host's name.
fn at_entry(input: &mut &str) -> ModalResult<SmolStr> {
    expect_words(input, "at entry")?;
    name(input)
}

/// Parses `to entry a1`, `to each of a1 b1` or `to entries a1 b1 in turn`.
fn receivers(input: &mut &str) -> ModalResult<Receivers> {
    expect_words(input, "to")?;
    match one_of(input, &["entry", "each", "entries"])? {
        0 => Ok(Receivers::Each(vec![name(input)?])),
        1 => {
            expect_words(input, "of")?;
            names_to_end(input).map(Receivers::Each)
        }
        _ => {
            let names = names_until(input, "in")?;
            expect_words(input, "turn")?;
            Ok(Receivers::InTurn(names))
        }
    }
}

fn submit(input: &mut &str) -> ModalResult<Step> {
    let jobs = jobs(input)?;
    expect_words(input, "class")?;
    let class = parse_word(input, "a class name")?;
    expect_words(input, "tasks")?;
    let tasks = number(input)?;
    expect_words(input, "of")?;
    let service = duration(input)?;
    let failing = match accept_word(input, "failing") {
        true => Some(number(input)?),
        false => None,
    };
    let deadline = match accept_word(input, "deadline") {
        true => Some(duration(input)?),
        false => None,
    };
    let content = Content::New {
        class,
        tasks,
        service,
        failing,
        deadline,
    };
    submit_step(input, jobs, content)
}

fn resubmit(input: &mut &str) -> ModalResult<Step> {
    let jobs = jobs(input)?;
    let content = match accept_word(input, "with") {
        true => expect_words(input, "other content").map(|()| Content::Other)?,
        false => Content::Same,
    };
    submit_step(input, jobs, content)
}

fn submit_step(input: &mut &str, jobs: Jobs, content: Content) -> ModalResult<Step> {
    let to = receivers(input)?;
    let is_persistent = accept_word(input, "until");
    if is_persistent {
        expect_words(input, "run")?;
    }
    Ok(Step::Submit(Submit {
        jobs,
        content,
        to,
        is_persistent,
    }))
}

fn pass_time(input: &mut &str) -> ModalResult<Step> {
    let time: Millis = duration(input)?;
    expect_words(input, "pass")?;
    Ok(Step::Pass(time))
}

fn target(input: &mut &str) -> ModalResult<Target> {
    match one_of(input, &["entry", "control", "host", "every", "executor"])? {
        0 => name(input).map(|host| Target::Part(ProcessKind::Entry, host)),
        1 => name(input).map(|host| Target::Part(ProcessKind::Control, host)),
        2 => name(input).map(Target::Host),
        3 => expect_words(input, "host").map(|()| Target::EveryHost),
        _ => name(input).map(Target::Executor),
    }
}

fn blackhole(input: &mut &str) -> ModalResult<Mode> {
    if accept_word(input, "requests") {
        return expect_words(input, "on").map(|()| Mode::BlackholeUp);
    }
    if accept_word(input, "answers") {
        return expect_words(input, "on").map(|()| Mode::BlackholeDown);
    }
    Ok(Mode::BlackholeBoth)
}

fn delay(input: &mut &str) -> ModalResult<Step> {
    let edge = edge(input)?;
    expect_words(input, "by")?;
    let delay_ms = duration(input)?.0;
    Ok(Step::Network(Mode::Delay { delay_ms }, edge))
}

/// Parses `off answers after 10 bytes on …`, the rest of a `break` statement.
fn break_off(input: &mut &str) -> ModalResult<Step> {
    expect_words(input, "off answers after")?;
    let bytes = number(input)?;
    expect_words(input, "bytes on")?;
    Ok(Step::Network(Mode::CloseAfterBytes { bytes }, edge(input)?))
}

fn edge(input: &mut &str) -> ModalResult<Edge> {
    const STARTS: &[&str] = &[
        "entry",
        "control",
        "host",
        "zone",
        "executor",
        "executors",
        "all",
    ];
    match STARTS[one_of(input, STARTS)?] {
        "entry" => {
            let host = name(input)?;
            expect_words(input, "from platform")?;
            Ok(Edge::PartToPlatform(ProcessKind::Entry, host))
        }
        "control" => {
            let host = name(input)?;
            expect_words(input, "from")?;
            match one_of(input, &["platform", "its"])? {
                0 => Ok(Edge::PartToPlatform(ProcessKind::Control, host)),
                _ => expect_words(input, "entry").map(|()| Edge::ControlToEntry(host)),
            }
        }
        "host" => {
            let host = name(input)?;
            expect_words(input, "from")?;
            match one_of(input, &["platform", "its"])? {
                0 => Ok(Edge::HostToPlatform(host)),
                _ => expect_words(input, "peers").map(|()| Edge::PeersToHost(host)),
            }
        }
        "zone" => {
            let zone = name(input)?;
            expect_words(input, "from")?;
            match one_of(input, &["platform", "peers"])? {
                0 => Ok(Edge::ZoneToPlatform(zone)),
                _ => Ok(Edge::PeersToZone(zone)),
            }
        }
        "executor" => name(input).map(Edge::Executor),
        "executors" => {
            expect_words(input, "of zone")?;
            name(input).map(Edge::ExecutorsOfZone)
        }
        _ => expect_words(input, "hosts from each other").map(|()| Edge::AllPeers),
    }
}

fn platform(input: &mut &str) -> ModalResult<PlatformFault> {
    match one_of(
        input,
        &["goes", "comes", "loses", "drops", "answers", "forgets"],
    )? {
        0 => {
            expect_words(input, "down")?;
            Ok(match one_of(input, &["refusing", "hanging"])? {
                0 => PlatformFault::DownRefusing,
                _ => PlatformFault::DownHanging,
            })
        }
        1 => expect_words(input, "back").map(|()| PlatformFault::Back),
        2 => {
            expect_words(input, "the answers of")?;
            appends(input).map(PlatformFault::LosesAnswers)
        }
        3 => appends(input).map(PlatformFault::DropsAppends),
        4 => platform_answers(input),
        _ => {
            let stream = parse_word(input, "a stream such as config")?;
            expect_words(input, "up to")?;
            Ok(PlatformFault::Forgets(stream, number(input)?))
        }
    }
}

fn platform_answers(input: &mut &str) -> ModalResult<PlatformFault> {
    if accept_word(input, "with") {
        expect_words(input, "status")?;
        return number(input).map(PlatformFault::Status);
    }
    if accept_word(input, "out") {
        return expect_words(input, "of date").map(|()| PlatformFault::OutOfDate);
    }
    if !input.starts_with(|c: char| c.is_ascii_digit()) {
        return fail_expected(input, &["with status", "out of date", "300 ms late"]);
    }
    let time = duration(input)?;
    expect_words(input, "late")?;
    Ok(PlatformFault::Slow(time))
}

fn appends(input: &mut &str) -> ModalResult<u32> {
    let count = number(input)?;
    one_of(input, &["append", "appends"])?;
    Ok(count)
}

/// Parses `a1 is listed` or `a1 is no longer listed`, the rest of a `host` statement.
fn list_host(input: &mut &str) -> ModalResult<Step> {
    let host = name(input)?;
    expect_words(input, "is")?;
    match one_of(input, &["listed", "no"])? {
        0 => Ok(Step::ListHost(host, true)),
        _ => expect_words(input, "longer listed").map(|()| Step::ListHost(host, false)),
    }
}

fn executor(input: &mut &str) -> ModalResult<ExecutorFault> {
    const VERBS: &[&str] = &[
        "goes", "fails", "refuses", "slows", "answers", "breaks", "recovers", "drains", "is",
    ];
    match VERBS[one_of(input, VERBS)?] {
        "goes" => expect_words(input, "silent").map(|()| ExecutorFault::Silent),
        "fails" => expect_words(input, "everything").map(|()| ExecutorFault::FailsAll),
        "refuses" => expect_words(input, "everything").map(|()| ExecutorFault::RefusesAll),
        "slows" => {
            expect_words(input, "down")?;
            let times = number(input)?;
            expect_words(input, "times")?;
            Ok(ExecutorFault::Slows(times))
        }
        "answers" => match one_of(input, &["late", "for"])? {
            0 => expect_words(input, "by").and_then(|()| duration(input).map(ExecutorFault::Late)),
            _ => expect_words(input, "another task").map(|()| ExecutorFault::Foreign),
        },
        "breaks" => expect_words(input, "off its answers").map(|()| ExecutorFault::BreaksOff),
        "recovers" => Ok(ExecutorFault::Recovers),
        "drains" => Ok(ExecutorFault::Drains),
        _ => match one_of(input, &["listed", "no"])? {
            0 => expect_words(input, "as leaving").map(|()| ExecutorFault::ListedLeaving),
            _ => expect_words(input, "longer listed").map(|()| ExecutorFault::Unlisted),
        },
    }
}
