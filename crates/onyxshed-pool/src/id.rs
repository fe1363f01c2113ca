//! Identifiers of jobs, tasks, runs and their parties.

use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;

use crate::error::Error;

/// Job, named by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// Hexadecimal digits of a job's id.
const JOB_DIGITS: usize = 16;

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error::Id {
            kind: "job",
            text: text.into(),
            allowed: "16 lower-case hexadecimal digits",
        };
        // Upper-case digits would name the same job by two texts.
        let is_plain = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        if text.len() != JOB_DIGITS || !is_plain {
            return Err(error());
        }
        u64::from_str_radix(text, 16)
            .map(JobId)
            .map_err(|_| error())
    }
}

/// One task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's place in it.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}

/// Share of a run's work that is done, in whole percent, rounded down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Percent(u8);

impl Percent {
    /// Everything.
    pub const ALL: Percent = Percent(100);

    /// Makes a share; more than everything counts as everything.
    pub fn new(value: u64) -> Self {
        Percent(u8::try_from(value).unwrap_or(u8::MAX).min(Percent::ALL.0))
    }

    /// Gets the number of percent.
    pub fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.strip_suffix('%').and_then(|text| text.parse().ok());
        digits
            .filter(|value| *value <= Percent::ALL.0)
            .map(Percent)
            .ok_or_else(|| Error::Id {
                kind: "share",
                text: text.into(),
                allowed: "0% to 100%",
            })
    }
}

/// Start of a task, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunNumber(pub u32);

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Token of an owner; executors refuse one that is lower than any they have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// Lowest bits of a token, which count successors: owners that were made so by the owner before them.
pub(crate) const SUCCESSOR_BITS: u32 = 4;

impl FencingToken {
    /// Gets the token of this owner's successor: higher than this one, and lower than that of every owner
    /// that the store makes later. None after as many successors in a row as can be counted.
    pub fn of_successor(self) -> Option<FencingToken> {
        let successors_max = (1 << SUCCESSOR_BITS) - 1;
        (self.0 & successors_max < successors_max).then_some(FencingToken(self.0 + 1))
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Executor, by the id under which it is listed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecutorId(pub SmolStr);

impl fmt::Display for ExecutorId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// One run of an entry host's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerIncarnation(pub u64);

impl fmt::Display for PeerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Stretch of time in which an owner has heard an entry host without a break; 0 is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Session(pub u64);

/// One hand-over of a job, counted by the entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionNumber(pub u64);
