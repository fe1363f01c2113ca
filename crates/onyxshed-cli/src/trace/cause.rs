//! Derives the cause of the answer to a request.

use std::fmt;

use onyxshed_core::EventKind;
use onyxshed_pool::{JobEnd, JobSummary, NotRunReason, UnknownReason};
use smol_str::SmolStr;

use super::select::RequestTrace;
use crate::logs::LogLine;

/// Longest duration of a job that still counts as in time, in thousandths of its target. The log contains only the caller's estimate, which is off by a few hundredths at best.
const IN_TIME_MAX_PER_MILLE: u64 = 1_050;

/// Why a request got its last answer, as far as the logs show.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// The job ended in time.
    InTime,
    /// The job ended late because runs were lost or stopped; with the number of these runs, and how
    /// the last of them ended.
    RunsLost(usize, SmolStr),
    /// The job ended late although no run was lost: it waited for capacity.
    WaitedForCapacity,
    /// A task reached its limit of failures, on these executors.
    TaskFailed(Vec<SmolStr>),
    /// The host knew no owner of any pool; with the last event about pools in the logs.
    NoOwnerKnown(SmolStr),
    /// The owner was about to release its pool.
    OwnerReleasing,
    /// Other work left too little time for the job.
    NoTime,
    /// No executor of the pool could run such a task.
    NoExecutor,
    /// The owner rejected the job because it had received nothing from the host for too long.
    OldSession,
    /// This kind of job is not supported.
    Unsupported(SmolStr),
    /// The host refused the request on arrival because all pools were overloaded; with the reason.
    OnArrival(SmolStr),
    /// The request was rejected before it became a job; with status and reason.
    Rejected(SmolStr),
    /// The owner or the link to it was lost; with the last event about that.
    OwnerLost(SmolStr),
    /// The owner's process was paused; with the last event about that.
    OwnerPaused(SmolStr),
    /// The owner received nothing more from the host.
    HostUnresponsive,
    /// The caller's time limit expired; with the number of runs that were lost.
    TimeLimitExpired(usize),
    /// The caller cancelled the request or disconnected.
    CallerCancelled,
    /// The caller sent the request again while it ran.
    Superseded,
    /// The host was stopped before the job ended, so its outcome is unknown.
    HostStopped,
    /// Operators have evacuated the zone, or all zones.
    ZoneEvacuated,
    /// The class of the job had used its share of an overloaded pool.
    ClassShare,
    /// The caller had used its share of what its class may use.
    CallerShare,
    /// A host lacked the processor time to serve the job.
    HostOverloaded,
    /// The jobs of a pool used the memory that its owner had for them.
    MemoryFull,
    /// No executor that could run the remaining tasks responded.
    ExecutorsLost,
}

/// Derives the cause of the last answer, or `None` if the logs contain no answer.
pub fn cause_of(trace: &RequestTrace<'_>) -> Option<Cause> {
    let (line, summary) = trace.answers.last()?;
    let Some(summary) = summary else {
        return Some(cause_without_summary(line));
    };
    Some(match summary.end {
        JobEnd::Completed => completed(trace, summary),
        JobEnd::Failed => Cause::TaskFailed(failed_executors(trace)),
        JobEnd::NotRun(reason, _) => not_run(trace, summary, reason),
        JobEnd::Unknown(reason) => unknown(trace, reason),
    })
}

/// Derives the cause of an answer whose detail is not a [`JobSummary`].
fn cause_without_summary(line: &LogLine) -> Cause {
    match line.event.kind {
        EventKind::PoolJobRefused if line.event.detail.starts_with("status ") => {
            Cause::Rejected(line.event.detail.clone())
        }
        EventKind::PoolJobRefused if line.event.detail.starts_with("on arrival: ") => {
            Cause::OnArrival(line.event.detail.clone())
        }
        EventKind::PoolJobRefused => Cause::Unsupported(line.event.detail.clone()),
        _ => Cause::CallerCancelled,
    }
}

fn completed(trace: &RequestTrace<'_>, summary: &JobSummary) -> Cause {
    if summary.took.0 * 1_000 <= summary.target.0 * IN_TIME_MAX_PER_MILLE {
        return Cause::InTime;
    }
    let lost = lost_runs(trace);
    match lost.last() {
        Some(line) => Cause::RunsLost(lost.len(), describe(line)),
        None => Cause::WaitedForCapacity,
    }
}

fn not_run(trace: &RequestTrace<'_>, summary: &JobSummary, reason: NotRunReason) -> Cause {
    match reason {
        NotRunReason::NoTime => Cause::NoTime,
        NotRunReason::NoExecutor => Cause::NoExecutor,
        NotRunReason::OldSession => Cause::OldSession,
        NotRunReason::NotOwner if summary.pool == "none" => {
            let seen = describe_last(
                trace,
                &[
                    EventKind::PoolGivenUp,
                    EventKind::PoolLinkDown,
                    EventKind::StoreLost,
                    EventKind::ProcessStarted,
                ],
            );
            Cause::NoOwnerKnown(seen)
        }
        NotRunReason::NotOwner => Cause::OwnerReleasing,
        NotRunReason::ZoneEvacuated => Cause::ZoneEvacuated,
        NotRunReason::ClassShare => Cause::ClassShare,
        NotRunReason::CallerShare => Cause::CallerShare,
        NotRunReason::HostOverloaded => Cause::HostOverloaded,
        NotRunReason::MemoryFull => Cause::MemoryFull,
    }
}

fn unknown(trace: &RequestTrace<'_>, reason: UnknownReason) -> Cause {
    match reason {
        UnknownReason::OwnerChanged => Cause::OwnerLost(describe_last(
            trace,
            &[EventKind::PoolGivenUp, EventKind::PoolLinkDown],
        )),
        UnknownReason::OwnerPaused => {
            Cause::OwnerPaused(describe_last(trace, &[EventKind::PauseDetected]))
        }
        UnknownReason::PeerSilent => Cause::HostUnresponsive,
        UnknownReason::TimeOut => Cause::TimeLimitExpired(lost_runs(trace).len()),
        UnknownReason::Cancelled => Cause::CallerCancelled,
        UnknownReason::Superseded => Cause::Superseded,
        UnknownReason::EntryStopped => Cause::HostStopped,
        UnknownReason::ZoneEvacuated => Cause::ZoneEvacuated,
        UnknownReason::ExecutorsLost => Cause::ExecutorsLost,
    }
}

fn lost_runs<'a>(trace: &RequestTrace<'a>) -> Vec<&'a LogLine> {
    let lines = trace.lines.iter().copied();
    lines
        .filter(|line| line.event.kind == EventKind::PoolRunEnded)
        .collect()
}

fn failed_executors(trace: &RequestTrace<'_>) -> Vec<SmolStr> {
    let lost = lost_runs(trace);
    let failed = lost
        .iter()
        .filter(|line| line.event.detail.contains("failed"));
    failed.map(|line| line.event.party.clone()).collect()
}

/// Describes the newest event of these kinds, or says that the logs contain none.
fn describe_last(trace: &RequestTrace<'_>, kinds: &[EventKind]) -> SmolStr {
    let mut lines = trace.lines.iter().rev();
    let found = lines.find(|line| kinds.contains(&line.event.kind));
    found.map_or_else(
        || SmolStr::new_static("nothing in these logs"),
        |line| describe(line),
    )
}

fn describe(line: &LogLine) -> SmolStr {
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
    /// Returns the events, metrics or documents to check next.
    pub fn next_check(&self) -> &'static str {
        match self {
            Cause::InTime | Cause::Superseded => "nothing; the id may be of another request",
            Cause::RunsLost(..) => "E821 and E823 of the executors named",
            Cause::WaitedForCapacity | Cause::NoTime => {
                "the load: onyxshed_pool_job_seconds, and E821, E823 for executors out of use"
            }
            Cause::TaskFailed(_) => "the task itself, since it failed on several executors",
            Cause::NoOwnerKnown(_) => "E810 and E811 of the zone's hosts, E841 of the store",
            Cause::OwnerReleasing => "E602 and E813 at the owner",
            Cause::NoExecutor => "E820, E824, E825, and the manifest's upstream for the route",
            Cause::OldSession | Cause::HostUnresponsive => "E503 at this host, E830 at the owner",
            Cause::Unsupported(_) => "docs/PLATFORM-DESIGN.md, for what is not built",
            Cause::Rejected(_) => {
                "E840 and E845 at this host: which manifest it had by then, and E841 if it had none"
            }
            Cause::OwnerLost(_) => "the old owner's log: killed, cut off, or refused its token",
            Cause::OwnerPaused(_) => "the owner's processor: frozen, or at its limit",
            Cause::TimeLimitExpired(0) => "the caller's time limit against the tasks' run time",
            Cause::TimeLimitExpired(_) => "E821 and E823 of the executors on which its runs ended",
            Cause::CallerCancelled => "the caller",
            Cause::HostStopped => "who stopped the host, and how long its callers' jobs take",
            Cause::ExecutorsLost => "E821, E824 and E825: which executors the pool lost",
            Cause::ZoneEvacuated => "E846 and E847: which zones are evacuated, and since when",
            Cause::OnArrival(_) => {
                "E850 of the pools' owners: which were overloaded, and since when"
            }
            Cause::ClassShare | Cause::CallerShare | Cause::HostOverloaded => {
                "docs/OPERATIONS.md, callers are refused"
            }
            Cause::MemoryFull => "docs/OPERATIONS.md, clients are refused at a limit",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::InTime => f.write_str("answered in time"),
            Cause::RunsLost(count, last) => {
                write!(
                    f,
                    "late: {count} runs were lost or stopped, the last: {last}"
                )
            }
            Cause::WaitedForCapacity => {
                f.write_str("late: no run was lost, so it waited for capacity")
            }
            Cause::TaskFailed(executors) if executors.is_empty() => f.write_str(
                "a task reached its limit of failures; the owner's log is not among the files",
            ),
            Cause::TaskFailed(executors) => write!(
                f,
                "a task reached its limit of failures, on {}",
                executors.join(", ")
            ),
            Cause::NoOwnerKnown(seen) => {
                write!(
                    f,
                    "not run: the host knew no owner of a pool; last seen: {seen}"
                )
            }
            Cause::OwnerReleasing => {
                f.write_str("not run: the owner was about to release its pool")
            }
            Cause::NoTime => f.write_str("not run: other work left too little time for it"),
            Cause::NoExecutor => f.write_str("not run: no executor could run such a task"),
            Cause::OldSession => {
                f.write_str("not run: the owner had received nothing from the host for too long")
            }
            Cause::Unsupported(reason) | Cause::Rejected(reason) | Cause::OnArrival(reason) => {
                write!(f, "not run: {reason}")
            }
            Cause::OwnerLost(seen) => write!(f, "unknown: the owner was lost; {seen}"),
            Cause::OwnerPaused(seen) => {
                write!(f, "unknown: the owner's process was paused; {seen}")
            }
            Cause::HostUnresponsive => {
                f.write_str("unknown: the owner received nothing more from the host")
            }
            Cause::TimeLimitExpired(0) => f.write_str("unknown: the caller's time limit expired"),
            Cause::TimeLimitExpired(lost) => {
                write!(
                    f,
                    "unknown: the caller's time limit expired; {lost} runs were lost or stopped"
                )
            }
            Cause::CallerCancelled => {
                f.write_str("the caller cancelled the request or disconnected")
            }
            Cause::Superseded => f.write_str("the caller sent it again while it ran"),
            Cause::HostStopped => f.write_str("unknown: the host was stopped before the job ended"),
            Cause::ExecutorsLost => {
                f.write_str("unknown: no executor that could run the remaining tasks responded")
            }
            Cause::ZoneEvacuated => f.write_str("its zone, or every zone, is evacuated"),
            Cause::ClassShare => {
                f.write_str("not run: its class had used its share of an overloaded pool")
            }
            Cause::CallerShare => {
                f.write_str("not run: its caller had used its share of what its class may use")
            }
            Cause::HostOverloaded => {
                f.write_str("not run: a host lacked the processor time to serve it")
            }
            Cause::MemoryFull => f.write_str("not run: the owner's memory for jobs was full"),
        }
    }
}
