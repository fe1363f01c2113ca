//! Identifiers of submissions, of their tasks, and of configuration changes.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use ulid::Ulid;

use super::incarnation::Incarnation;
use crate::error::{Error, Result};
use crate::time::UnixMs;

/// What a submission id looks like, for error messages.
const SUBMISSION_FORM: &str = "a ULID, or a ULID, '-' and an incarnation";

/// A caller's name for one submission: a ULID, optionally bound to an entry host.
///
/// An unbound id (`01J…`) may be claimed by any entry host through the platform's log. A bound id
/// (`01J…-00c0ffee00c0ffee`) may be started by that incarnation alone, which needs no log: every
/// answer tells the caller the incarnation to bind to.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct SubmissionId {
    /// The caller's ULID.
    pub ulid: Ulid,
    /// The only incarnation that may start its tasks, if the id is bound.
    pub bound_to: Option<Incarnation>,
}

impl SubmissionId {
    /// Makes an unbound id.
    pub fn unbound(ulid: Ulid) -> Self {
        Self {
            ulid,
            bound_to: None,
        }
    }

    /// Gets the time that the id carries.
    pub fn time(&self) -> UnixMs {
        UnixMs(self.ulid.timestamp_ms())
    }
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.bound_to {
            None => write!(f, "{}", self.ulid),
            Some(incarnation) => write!(f, "{}-{incarnation}", self.ulid),
        }
    }
}

impl fmt::Debug for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for SubmissionId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let bad = || Error::id("submission id", text, SUBMISSION_FORM);
        let (ulid, bound_to) = match text.split_once('-') {
            None => (text, None),
            Some((ulid, tag)) => (ulid, Some(tag.parse().map_err(|_| bad())?)),
        };
        Ok(Self {
            ulid: parse_ulid(ulid).ok_or_else(bad)?,
            bound_to,
        })
    }
}

/// One task of a submission: the submission's id and the task's place in it.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct TaskId {
    /// The submission.
    pub submission: SubmissionId,
    /// The task's place in the submission, from 0.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.submission, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let bad = || Error::id("task id", text, "a submission id, '.' and a number");
        let (submission, index) = text.rsplit_once('.').ok_or_else(bad)?;
        Ok(Self {
            submission: submission.parse().map_err(|_| bad())?,
            index: index.parse().map_err(|_| bad())?,
        })
    }
}

/// An operator's name for one configuration change; it finds the change when an answer was lost.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct ChangeId(pub Ulid);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl fmt::Debug for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for ChangeId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        parse_ulid(text)
            .map(Self)
            .ok_or_else(|| Error::id("change id", text, "a ULID"))
    }
}

/// Reads a ULID. The library drops bits beyond 128, by which two texts would name one submission.
fn parse_ulid(text: &str) -> Option<Ulid> {
    const FIRST_MAX: u8 = b'7';
    let is_in_range = text.bytes().next().is_some_and(|first| first <= FIRST_MAX);
    text.parse().ok().filter(|_| is_in_range)
}
