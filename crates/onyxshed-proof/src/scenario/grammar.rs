//! The grammar of the statements that do something.

use onyxshed_core::Millis;
use onyxshed_standins::faults::Mode;
use smol_str::{SmolStr, format_smolstr};
use winnow::prelude::*;
use winnow::stream::Stream;

use crate::cluster::{Edge, Part, Topology};

use super::ask::{condition, expectation};
use super::language::{
    Action, Content, ExecutorFault, Jobs, PlatformFault, Publication, Receivers, Setting, Step,
    Submit, Target, Told,
};
use super::words::{
    described, expected, may_say, name, names_to_end, names_until, number, one_of, parsed, say,
    span,
};

/// First words of all statements.
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

/// Takes one statement.
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
        "wait" => say(input, "until").and_then(|()| condition(input).map(Step::Wait)),
        "let" => pass(input),
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
            say(input, "answers on")?;
            Ok(Step::Network(Mode::DropAnswer, edge(input)?))
        }
        "delay" => delay(input),
        "break" => break_off(input),
        "platform" => platform(input).map(Step::Platform),
        "executor" => Ok(Step::Executor(name(input)?, executor(input)?)),
        "host" => list_host(input),
        "note" => {
            say(input, "the starts of executor")?;
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
            say(input, "with")?;
            if may_say(input, "a") {
                say(input, "queue of")?;
                return number(input).map(Setting::Queue);
            }
            let slots = number(input)?;
            one_of(input, &["slot", "slots"])?;
            Ok(Setting::Slots(slots))
        }
        "log" => say(input, "kept for").and_then(|()| span(input).map(Setting::Retention)),
        "host" => say(input, "list late by").and_then(|()| span(input).map(Setting::HostListLag)),
        "ids" => say(input, "valid for").and_then(|()| span(input).map(Setting::Horizon)),
        "clocks" => say(input, "within").and_then(|()| span(input).map(Setting::Skew)),
        "claims" => {
            say(input, "awaited for").and_then(|()| span(input).map(Setting::ClaimPatience))
        }
        "drains" => say(input, "up to").and_then(|()| span(input).map(Setting::DrainTimeout)),
        _ => say(input, "gone after").and_then(|()| span(input).map(Setting::GoneAfter)),
    }
}

fn topology(input: &mut &str) -> ModalResult<Topology> {
    one_of(input, &["zone", "zones"])?;
    let zones = names_until(input, "with")?;
    let entry_hosts = number(input)?;
    say(input, "entry")?;
    one_of(input, &["host", "hosts"])?;
    say(input, "and")?;
    let executors = number(input)?;
    one_of(input, &["executor", "executors"])?;
    say(input, "each")?;
    Ok(Topology {
        zones,
        entry_hosts,
        executors,
    })
}

/// Takes `class fee within 5 s [may run twice] [from revision 2] [and lose the race]`.
fn publication(input: &mut &str) -> ModalResult<Publication> {
    say(input, "class")?;
    publication_of_class(input)
}

/// Takes what comes behind `class`.
pub(super) fn publication_of_class(input: &mut &str) -> ModalResult<Publication> {
    let class = parsed(input, "a class name")?;
    say(input, "within")?;
    let within = span(input)?;
    let may_run_twice = may_say(input, "may");
    if may_run_twice {
        say(input, "run twice")?;
    }
    let from = match may_say(input, "from") {
        true => {
            say(input, "revision")?;
            Some(number(input)?)
        }
        false => None,
    };
    let told = match may_say(input, "and") {
        true => told(input)?,
        false => Told::default(),
    };
    Ok(Publication {
        class,
        within,
        may_run_twice,
        from,
        told,
    })
}

/// Takes what an operator is told, where it is not that the change is accepted.
fn told(input: &mut &str) -> ModalResult<Told> {
    match one_of(input, &["lose", "reach", "learn"])? {
        0 => say(input, "the race").map(|()| Told::Raced),
        1 => say(input, "nobody").map(|()| Told::Unreachable),
        _ => say(input, "nothing").map(|()| Told::Undecided),
    }
}

/// Takes `job J1`, `jobs J1 to J9` or `every job`.
pub(super) fn jobs(input: &mut &str) -> ModalResult<Jobs> {
    let place = one_of(input, JOBS_WORDS)?;
    jobs_behind(input, place)
}

/// First words of what names jobs.
const JOBS_WORDS: &[&str] = &["job", "jobs", "every"];

/// Takes what comes behind one of [`JOBS_WORDS`].
pub(super) fn jobs_behind(input: &mut &str, place: usize) -> ModalResult<Jobs> {
    match place {
        0 => Ok(Jobs::Named(vec![job(input)?.0])),
        1 => job_range(input).map(Jobs::Named),
        _ => say(input, "job").map(|()| Jobs::Every),
    }
}

fn job_range(input: &mut &str) -> ModalResult<Vec<SmolStr>> {
    let here = input.checkpoint();
    let (_, letters, first) = job(input)?;
    say(input, "to")?;
    let (_, other_letters, last) = job(input)?;
    if letters != other_letters || last < first {
        input.reset(&here);
        return described(input, "a range such as J1 to J9");
    }
    let range = first..=last;
    Ok(range
        .map(|number| format_smolstr!("{letters}{number}"))
        .collect())
}

/// Takes a job's name: letters, the first a capital, and a number.
fn job(input: &mut &str) -> ModalResult<(SmolStr, SmolStr, u32)> {
    const ALLOWED: &str = "a job's name such as J1";
    let here = input.checkpoint();
    let found: SmolStr = parsed(input, ALLOWED)?;
    let digits = found.trim_start_matches(|c: char| c.is_ascii_alphabetic());
    let letters = &found[..found.len() - digits.len()];
    match (
        letters.starts_with(|c: char| c.is_ascii_uppercase()),
        digits.parse(),
    ) {
        (true, Ok(number)) => Ok((found.clone(), letters.into(), number)),
        _ => {
            input.reset(&here);
            described(input, ALLOWED)
        }
    }
}

/// Takes `to entry a1`.
fn to_entry(input: &mut &str) -> ModalResult<SmolStr> {
    say(input, "to entry")?;
    name(input)
}

/// Takes `at entry a1`.
fn at_entry(input: &mut &str) -> ModalResult<SmolStr> {
    say(input, "at entry")?;
    name(input)
}

/// Takes `to entry a1`, `to each of a1 b1` or `to a1 b1 in turn`.
fn receivers(input: &mut &str) -> ModalResult<Receivers> {
    say(input, "to")?;
    match one_of(input, &["entry", "each", "entries"])? {
        0 => Ok(Receivers::Each(vec![name(input)?])),
        1 => {
            say(input, "of")?;
            names_to_end(input).map(Receivers::Each)
        }
        _ => {
            let names = names_until(input, "in")?;
            say(input, "turn")?;
            Ok(Receivers::InTurn(names))
        }
    }
}

fn submit(input: &mut &str) -> ModalResult<Step> {
    let jobs = jobs(input)?;
    say(input, "class")?;
    let class = parsed(input, "a class name")?;
    say(input, "tasks")?;
    let tasks = number(input)?;
    say(input, "of")?;
    let service = span(input)?;
    let failing = match may_say(input, "failing") {
        true => Some(number(input)?),
        false => None,
    };
    let deadline = match may_say(input, "deadline") {
        true => Some(span(input)?),
        false => None,
    };
    let content = Content::New {
        class,
        tasks,
        service,
        failing,
        deadline,
    };
    send(input, jobs, content)
}

fn resubmit(input: &mut &str) -> ModalResult<Step> {
    let jobs = jobs(input)?;
    let content = match may_say(input, "with") {
        true => say(input, "other content").map(|()| Content::Other)?,
        false => Content::Same,
    };
    send(input, jobs, content)
}

fn send(input: &mut &str, jobs: Jobs, content: Content) -> ModalResult<Step> {
    let to = receivers(input)?;
    let is_persistent = may_say(input, "until");
    if is_persistent {
        say(input, "run")?;
    }
    Ok(Step::Submit(Submit {
        jobs,
        content,
        to,
        is_persistent,
    }))
}

fn pass(input: &mut &str) -> ModalResult<Step> {
    let time: Millis = span(input)?;
    say(input, "pass")?;
    Ok(Step::Pass(time))
}

fn target(input: &mut &str) -> ModalResult<Target> {
    match one_of(input, &["entry", "control", "host", "every", "executor"])? {
        0 => name(input).map(|host| Target::Part(Part::Entry, host)),
        1 => name(input).map(|host| Target::Part(Part::Control, host)),
        2 => name(input).map(Target::Host),
        3 => say(input, "host").map(|()| Target::EveryHost),
        _ => name(input).map(Target::Executor),
    }
}

fn blackhole(input: &mut &str) -> ModalResult<Mode> {
    if may_say(input, "requests") {
        return say(input, "on").map(|()| Mode::BlackholeUp);
    }
    if may_say(input, "answers") {
        return say(input, "on").map(|()| Mode::BlackholeDown);
    }
    Ok(Mode::BlackholeBoth)
}

fn delay(input: &mut &str) -> ModalResult<Step> {
    let edge = edge(input)?;
    say(input, "by")?;
    let delay_ms = span(input)?.0;
    Ok(Step::Network(Mode::Delay { delay_ms }, edge))
}

/// Takes `off answers after 10 bytes on …`.
fn break_off(input: &mut &str) -> ModalResult<Step> {
    say(input, "off answers after")?;
    let bytes = number(input)?;
    say(input, "bytes on")?;
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
            say(input, "from platform")?;
            Ok(Edge::PartToPlatform(Part::Entry, host))
        }
        "control" => {
            let host = name(input)?;
            say(input, "from")?;
            match one_of(input, &["platform", "its"])? {
                0 => Ok(Edge::PartToPlatform(Part::Control, host)),
                _ => say(input, "entry").map(|()| Edge::ControlToEntry(host)),
            }
        }
        "host" => {
            let host = name(input)?;
            say(input, "from")?;
            match one_of(input, &["platform", "its"])? {
                0 => Ok(Edge::HostToPlatform(host)),
                _ => say(input, "peers").map(|()| Edge::PeersToHost(host)),
            }
        }
        "zone" => {
            let zone = name(input)?;
            say(input, "from")?;
            match one_of(input, &["platform", "peers"])? {
                0 => Ok(Edge::ZoneToPlatform(zone)),
                _ => Ok(Edge::PeersToZone(zone)),
            }
        }
        "executor" => name(input).map(Edge::Executor),
        "executors" => {
            say(input, "of zone")?;
            name(input).map(Edge::ExecutorsOfZone)
        }
        _ => say(input, "hosts from each other").map(|()| Edge::AllPeers),
    }
}

fn platform(input: &mut &str) -> ModalResult<PlatformFault> {
    match one_of(
        input,
        &["goes", "comes", "loses", "drops", "answers", "forgets"],
    )? {
        0 => {
            say(input, "down")?;
            Ok(match one_of(input, &["refusing", "hanging"])? {
                0 => PlatformFault::DownRefusing,
                _ => PlatformFault::DownHanging,
            })
        }
        1 => say(input, "back").map(|()| PlatformFault::Back),
        2 => {
            say(input, "the answers of")?;
            appends(input).map(PlatformFault::LosesAnswers)
        }
        3 => appends(input).map(PlatformFault::DropsAppends),
        4 => platform_answers(input),
        _ => {
            let stream = parsed(input, "a stream such as config")?;
            say(input, "up to")?;
            Ok(PlatformFault::Forgets(stream, number(input)?))
        }
    }
}

fn platform_answers(input: &mut &str) -> ModalResult<PlatformFault> {
    if may_say(input, "with") {
        say(input, "status")?;
        return number(input).map(PlatformFault::Status);
    }
    if may_say(input, "out") {
        return say(input, "of date").map(|()| PlatformFault::OutOfDate);
    }
    if !input.starts_with(|c: char| c.is_ascii_digit()) {
        return expected(input, &["with status", "out of date", "300 ms late"]);
    }
    let time = span(input)?;
    say(input, "late")?;
    Ok(PlatformFault::Slow(time))
}

fn appends(input: &mut &str) -> ModalResult<u32> {
    let count = number(input)?;
    one_of(input, &["append", "appends"])?;
    Ok(count)
}

/// Takes `a1 is listed` or `a1 is no longer listed`.
fn list_host(input: &mut &str) -> ModalResult<Step> {
    let host = name(input)?;
    say(input, "is")?;
    match one_of(input, &["listed", "no"])? {
        0 => Ok(Step::ListHost(host, true)),
        _ => say(input, "longer listed").map(|()| Step::ListHost(host, false)),
    }
}

fn executor(input: &mut &str) -> ModalResult<ExecutorFault> {
    const VERBS: &[&str] = &[
        "goes", "fails", "refuses", "slows", "answers", "breaks", "recovers", "drains", "is",
    ];
    match VERBS[one_of(input, VERBS)?] {
        "goes" => say(input, "silent").map(|()| ExecutorFault::Silent),
        "fails" => say(input, "everything").map(|()| ExecutorFault::FailsAll),
        "refuses" => say(input, "everything").map(|()| ExecutorFault::RefusesAll),
        "slows" => {
            say(input, "down")?;
            let times = number(input)?;
            say(input, "times")?;
            Ok(ExecutorFault::Slows(times))
        }
        "answers" => match one_of(input, &["late", "for"])? {
            0 => say(input, "by").and_then(|()| span(input).map(ExecutorFault::Late)),
            _ => say(input, "another task").map(|()| ExecutorFault::Foreign),
        },
        "breaks" => say(input, "off its answers").map(|()| ExecutorFault::BreaksOff),
        "recovers" => Ok(ExecutorFault::Recovers),
        "drains" => Ok(ExecutorFault::Drains),
        _ => match one_of(input, &["listed", "no"])? {
            0 => say(input, "as leaving").map(|()| ExecutorFault::ListedLeaving),
            _ => say(input, "longer listed").map(|()| ExecutorFault::Unlisted),
        },
    }
}
