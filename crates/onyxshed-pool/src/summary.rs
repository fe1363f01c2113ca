//! One-line summary of a job's outcome. Entry hosts log it, and the command-line tool parses it to
//! explain the outcome.

use std::fmt;
use std::str::FromStr;

use onyxshed_core::Millis;
use smol_str::SmolStr;

use crate::error::{Error, Result};
use crate::job::{JobEnd, NotRunReason, UnknownReason};
use crate::resources::Resources;

/// Summary that an entry host logs when it answers a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSummary {
    /// Outcome with which the caller was answered.
    pub end: JobEnd,
    /// Time from the job's arrival to its answer.
    pub took: Millis,
    /// Time from arrival within which the job should have ended, according to the caller's
    /// estimate.
    pub target: Millis,
    /// Number of tasks in the job, whether or not they ran.
    pub tasks: u16,
    /// Caller's estimate of a task's run time.
    pub estimate: Millis,
    /// Resources that each task needs.
    pub demand: Resources,
    /// Pool to which the job was submitted last, or `none` if it was submitted to no pool.
    pub pool: SmolStr,
    /// Version of the manifest, which contains the routes and their objectives, that applied to the
    /// job.
    pub manifest: u64,
}

impl fmt::Display for JobSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} after {}, target {}, {} tasks of {} and {}, pool {}, manifest {}",
            self.end,
            self.took,
            self.target,
            self.tasks,
            self.estimate,
            self.demand,
            self.pool,
            self.manifest
        )
    }
}

impl FromStr for JobSummary {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        parse_summary(text).ok_or_else(|| Error::Id {
            kind: "job summary",
            text: text.into(),
            allowed: "a summary line logged by an entry host",
        })
    }
}

fn parse_summary(text: &str) -> Option<JobSummary> {
    let (end, rest) = text.split_once(" after ")?;
    let (took, rest) = rest.split_once(", target ")?;
    let (target, rest) = rest.split_once(", ")?;
    let (tasks, rest) = rest.split_once(" tasks of ")?;
    let (estimate, rest) = rest.split_once(" and ")?;
    let (demand, rest) = rest.split_once(", pool ")?;
    let (pool, manifest) = rest.split_once(", manifest ")?;
    Some(JobSummary {
        end: parse_end(end)?,
        took: parse_millis(took)?,
        target: parse_millis(target)?,
        tasks: tasks.parse().ok()?,
        estimate: parse_millis(estimate)?,
        demand: parse_resources(demand)?,
        pool: pool.into(),
        manifest: manifest.parse().ok()?,
    })
}

fn parse_millis(text: &str) -> Option<Millis> {
    text.strip_suffix("ms")?.parse().ok().map(Millis)
}

fn parse_resources(text: &str) -> Option<Resources> {
    let mut parts = text.split(' ');
    let mut next = |unit| -> Option<u32> { parts.next()?.strip_suffix(unit)?.parse().ok() };
    Some(Resources {
        cpu_millis: next("mcpu")?,
        memory_mb: next("MB")?,
        accelerators: next("acc")?,
    })
}

impl fmt::Display for JobEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JobEnd::Completed => f.write_str("Completed"),
            JobEnd::Failed => f.write_str("Failed"),
            JobEnd::NotRun(reason, retry_after) => write!(f, "NotRun({reason:?}, {retry_after})"),
            JobEnd::Unknown(reason) => write!(f, "Unknown({reason:?})"),
        }
    }
}

fn parse_end(text: &str) -> Option<JobEnd> {
    match text {
        "Completed" => return Some(JobEnd::Completed),
        "Failed" => return Some(JobEnd::Failed),
        _ => {}
    }
    let (kind, inner) = text.strip_suffix(')')?.split_once('(')?;
    match kind {
        "NotRun" => {
            let (reason, retry_after) = inner.split_once(", ")?;
            let mut reasons = NotRunReason::ALL.into_iter();
            let reason = reasons.find(|known| format!("{known:?}") == reason)?;
            Some(JobEnd::NotRun(reason, parse_millis(retry_after)?))
        }
        "Unknown" => {
            let mut reasons = UnknownReason::ALL.into_iter();
            let reason = reasons.find(|known| format!("{known:?}") == inner)?;
            Some(JobEnd::Unknown(reason))
        }
        _ => None,
    }
}
