//! Derives why a request got the answer that it got.

use std::fmt;

use onyxshed_core::EventKind;
use onyxshed_pool::{JobEnd, JobSummary, NotRunReason, UnknownReason};
use smol_str::SmolStr;

use super::select::Story;
use crate::logs::Logged;

/// How late a job may end relative to its target and still count as in time, in thousandths of the
/// target. The log contains only the caller's estimate, which is off by a few hundredths at best.
const IN_TIME_MILLIS: u64 = 1_050;

/// The cause of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// The job ended in time.
    InTime,
    /// The job ended late because runs were lost or stopped: their number, and the end of the last one.
    RunsLost(usize, SmolStr),
    /// The job ended late although no run was lost: it waited for capacity.
    WaitedForRoom,
    /// A task reached its limit of failures, on these executors.
    TaskFailed(Vec<SmolStr>),
    /// The host knew no owner of any pool; with its last event about pools.
    NoOwnerKnown(SmolStr),
    /// The owner was about to release its pool.
    OwnerStopping,
    /// Other work left too little time for the job.
    NoTime,
    /// No executor of the pool could run such a task.
    NoExecutor,
    /// The owner had received nothing from the host for too long.
    OldSession,
    /// This kind of job is not supported.
    NotBuilt(SmolStr),
    /// The request was rejected before it became a job; with status and reason.
    Declined(SmolStr),
    /// The owner or the link to it was lost; with the last event about that.
    OwnerLost(SmolStr),
    /// The owner's process was paused; with the last event about that.
    OwnerPaused(SmolStr),
    /// The owner received nothing more from the host.
    HostNotHeard,
    /// The caller's time limit expired; with the number of runs that were lost.
    OutOfTime(usize),
    /// The caller cancelled the request or disconnected.
    CallerLeft,
    /// The caller sent the request again while it ran.
    SentAgain,
    /// The host was stopped.
    HostStopped,
    /// Operators have evacuated the zone, or all zones.
    ZoneEvacuated,
    /// No executor that could run the remaining tasks responded.
    ExecutorsLost,
}

/// Derives the cause of the last answer, or `None` if the logs contain no answer.
pub fn cause_of(story: &Story<'_>) -> Option<Cause> {
    let (line, summary) = story.answers.last()?;
    let Some(summary) = summary else {
        return Some(without_summary(line));
    };
    Some(match summary.end {
        JobEnd::Completed => completed(story, summary),
        JobEnd::Failed => Cause::TaskFailed(failed_on(story)),
        JobEnd::NotRun(reason, _) => not_run(story, summary, reason),
        JobEnd::Unknown(reason) => unknown(story, reason),
    })
}

/// Derives the cause of an answer whose detail is not a [`JobSummary`].
fn without_summary(line: &Logged) -> Cause {
    match line.event.kind {
        EventKind::PoolJobRefused if line.event.detail.starts_with("status ") => {
            Cause::Declined(line.event.detail.clone())
        }
        EventKind::PoolJobRefused => Cause::NotBuilt(line.event.detail.clone()),
        _ => Cause::CallerLeft,
    }
}

fn completed(story: &Story<'_>, summary: &JobSummary) -> Cause {
    if summary.took.0 * 1_000 <= summary.target.0 * IN_TIME_MILLIS {
        return Cause::InTime;
    }
    let lost = runs_lost(story);
    match lost.last() {
        Some(line) => Cause::RunsLost(lost.len(), words_of(line)),
        None => Cause::WaitedForRoom,
    }
}

fn not_run(story: &Story<'_>, summary: &JobSummary, reason: NotRunReason) -> Cause {
    match reason {
        NotRunReason::NoTime => Cause::NoTime,
        NotRunReason::NoExecutor => Cause::NoExecutor,
        NotRunReason::OldSession => Cause::OldSession,
        NotRunReason::NotOwner if summary.pool == "none" => {
            let seen = last_of(
                story,
                &[
                    EventKind::PoolGivenUp,
                    EventKind::PoolLinkDown,
                    EventKind::StoreLost,
                    EventKind::ProcessStarted,
                ],
            );
            Cause::NoOwnerKnown(seen)
        }
        NotRunReason::NotOwner => Cause::OwnerStopping,
        NotRunReason::ZoneEvacuated => Cause::ZoneEvacuated,
    }
}

fn unknown(story: &Story<'_>, reason: UnknownReason) -> Cause {
    match reason {
        UnknownReason::OwnerChanged => Cause::OwnerLost(last_of(
            story,
            &[EventKind::PoolGivenUp, EventKind::PoolLinkDown],
        )),
        UnknownReason::OwnerPaused => {
            Cause::OwnerPaused(last_of(story, &[EventKind::PauseDetected]))
        }
        UnknownReason::PeerSilent => Cause::HostNotHeard,
        UnknownReason::TimeOut => Cause::OutOfTime(runs_lost(story).len()),
        UnknownReason::Cancelled => Cause::CallerLeft,
        UnknownReason::Superseded => Cause::SentAgain,
        UnknownReason::EntryStopped => Cause::HostStopped,
        UnknownReason::ZoneEvacuated => Cause::ZoneEvacuated,
        UnknownReason::ExecutorsLost => Cause::ExecutorsLost,
    }
}

fn runs_lost<'a>(story: &Story<'a>) -> Vec<&'a Logged> {
    let lines = story.lines.iter().copied();
    lines
        .filter(|line| line.event.kind == EventKind::PoolRunEnded)
        .collect()
}

fn failed_on(story: &Story<'_>) -> Vec<SmolStr> {
    let lost = runs_lost(story);
    let failed = lost
        .iter()
        .filter(|line| line.event.detail.contains("failed"));
    failed.map(|line| line.event.party.clone()).collect()
}

/// Describes the newest event of these kinds, or says that the logs contain none.
fn last_of(story: &Story<'_>, kinds: &[EventKind]) -> SmolStr {
    let mut lines = story.lines.iter().rev();
    let found = lines.find(|line| kinds.contains(&line.event.kind));
    found.map_or_else(
        || SmolStr::new_static("nothing in these logs"),
        |line| words_of(line),
    )
}

fn words_of(line: &Logged) -> SmolStr {
    let event = &line.event;
    let parts = [
        line.host.as_str(),
        event.kind.name(),
        event.party.as_str(),
        event.detail.as_str(),
    ];
    let parts: Vec<&str> = parts.into_iter().filter(|part| !part.is_empty()).collect();
    parts.join(" ").into()
}

impl Cause {
    /// Returns where to look next.
    pub fn look_next(&self) -> &'static str {
        match self {
            Cause::InTime | Cause::SentAgain => "nothing; the id may be of another request",
            Cause::RunsLost(..) => "E821 and E823 of the executors named",
            Cause::WaitedForRoom | Cause::NoTime => {
                "the load: onyxshed_pool_job_seconds, and E821, E823 for executors out of use"
            }
            Cause::TaskFailed(_) => "the task itself, since it failed on several executors",
            Cause::NoOwnerKnown(_) => "E810 and E811 of the zone's hosts, E841 of the store",
            Cause::OwnerStopping => "E602 and E813 at the owner",
            Cause::NoExecutor => "E820, E824, E825, and the manifest's upstream for the route",
            Cause::OldSession | Cause::HostNotHeard => "E503 at this host, E830 at the owner",
            Cause::NotBuilt(_) => "docs/PLATFORM-DESIGN.md, for what is not built",
            Cause::Declined(_) => {
                "E840 and E845 at this host: which manifest it had by then, and E841 if it had none"
            }
            Cause::OwnerLost(_) => "the old owner's log: killed, cut off, or refused its token",
            Cause::OwnerPaused(_) => "the owner's processor: frozen, or at its limit",
            Cause::OutOfTime(0) => "the caller's time limit against the tasks' run time",
            Cause::OutOfTime(_) => "E821 and E823 of the executors on which its runs ended",
            Cause::CallerLeft => "the caller",
            Cause::HostStopped => "who stopped the host, and how long its callers' jobs take",
            Cause::ExecutorsLost => "E821, E824 and E825: which executors the pool lost",
            Cause::ZoneEvacuated => "E846 and E847: which zones are evacuated, and since when",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::InTime => f.write_str("it was answered in time"),
            Cause::RunsLost(count, last) => {
                write!(
                    f,
                    "late: {count} runs were lost or stopped, the last: {last}"
                )
            }
            Cause::WaitedForRoom => f.write_str("late: no run was lost, so it waited for room"),
            Cause::TaskFailed(executors) if executors.is_empty() => {
                f.write_str("a task failed as often as it may; the owner's log is not here")
            }
            Cause::TaskFailed(executors) => write!(
                f,
                "a task failed as often as it may, on {}",
                executors.join(", ")
            ),
            Cause::NoOwnerKnown(seen) => {
                write!(
                    f,
                    "not run: the host knew no owner of a pool; last seen: {seen}"
                )
            }
            Cause::OwnerStopping => f.write_str("not run: the owner asked was giving its pool up"),
            Cause::NoTime => f.write_str("not run: other work left it no time"),
            Cause::NoExecutor => f.write_str("not run: no executor could run such a task"),
            Cause::OldSession => {
                f.write_str("not run: the owner had not heard the host for too long")
            }
            Cause::NotBuilt(what) | Cause::Declined(what) => write!(f, "not run: {what}"),
            Cause::OwnerLost(seen) => write!(f, "unknown: the owner was lost; {seen}"),
            Cause::OwnerPaused(seen) => write!(f, "unknown: the owner stood still; {seen}"),
            Cause::HostNotHeard => f.write_str("unknown: the owner no longer heard the host"),
            Cause::OutOfTime(0) => f.write_str("unknown: its caller's time ran out"),
            Cause::OutOfTime(lost) => {
                write!(
                    f,
                    "unknown: its caller's time ran out; {lost} runs were lost or stopped"
                )
            }
            Cause::CallerLeft => f.write_str("its caller left"),
            Cause::SentAgain => f.write_str("its caller sent it again while it ran"),
            Cause::HostStopped => f.write_str("unknown: the host was stopped before it ended"),
            Cause::ExecutorsLost => {
                f.write_str("unknown: no executor answered that could run the rest of it")
            }
            Cause::ZoneEvacuated => f.write_str("its zone, or every zone, is evacuated"),
        }
    }
}
