//! Identifiers of jobs, tasks, runs, executors and hosts.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;

use crate::error::Error;

/// Identifier of a job, chosen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// Number of hexadecimal digits in the text form of a job id.
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
        // With upper-case digits, a job would have several text forms.
        let is_lower_hex = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        if text.len() != JOB_DIGITS || !is_lower_hex {
            return Err(error());
        }
        u64::from_str_radix(text, 16)
            .map(JobId)
            .map_err(|_| error())
    }
}

/// Identifier of a task. Its text form is the job's id, a dot and the task's index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job to which the task belongs.
    pub job: JobId,
    /// Index of the task in its job, from 0.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}

/// Class of work that a job belongs to: the route that its caller selected.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub SmolStr);

impl fmt::Display for ClassId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ClassId {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(ClassId(text.into()))
    }
}

/// Progress of a run in whole percent, rounded down; 0 to 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Percent(u8);

impl Percent {
    /// 100%, to which [`Percent::new`] reduces higher values.
    pub const ALL: Percent = Percent(100);

    /// Creates a percentage; values above 100 become 100.
    pub fn new(value: u64) -> Self {
        Percent(u8::try_from(value).unwrap_or(u8::MAX).min(Percent::ALL.0))
    }

    /// Returns the progress in percent, 0 to 100.
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

/// Number of a run of a task, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunNumber(pub u32);

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Fencing token of an owner. Executors refuse orders with a lower token than the highest that they have
/// seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// Number of low-order token bits that count successors since the last owner elected by the store.
/// A successor is an owner that its predecessor selected.
pub(crate) const SUCCESSOR_BITS: u32 = 4;

impl FencingToken {
    /// Returns the token of this owner's successor: higher than this token, and lower than that of every
    /// owner that the store elects later. Returns `None` when the successor bits are used up.
    pub fn successor(self) -> Option<FencingToken> {
        let successors_max = (1 << SUCCESSOR_BITS) - 1;
        (self.0 & successors_max < successors_max).then_some(FencingToken(self.0 + 1))
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifier under which the platform lists an executor.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecutorId(pub SmolStr);

impl fmt::Display for ExecutorId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// Identifier of an entry host's incarnation, which is one start of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerIncarnation(pub u64);

impl fmt::Display for PeerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Number of a connection that an entry host opened, unique within the host's incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(pub u64);

/// A connection of an entry host to an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerConnection {
    /// Incarnation of the entry host.
    pub peer: PeerIncarnation,
    /// The entry host's number for the connection.
    pub number: ConnectionNumber,
}

/// Identifier of a session of an entry host with an owner: the time during which no gap between the
/// heartbeats on one connection reaches `peer_timeout_ms` and the owner's process is not paused. 0 means
/// no session, as for the owner's own host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Session(pub u64);

/// Number that an entry host assigns to each submission of a job to an owner, and by which it
/// matches the outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionNumber(pub u64);

impl fmt::Display for SubmissionNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
