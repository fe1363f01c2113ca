//! Identifiers of submissions, tasks and configuration changes.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use ulid::Ulid;

use super::incarnation::Incarnation;
use crate::error::{Error, Result};
use crate::time::UnixMs;

/// Format of a submission id, for error messages.
const SUBMISSION_ID_FORMAT: &str = "a ULID, or a ULID, '-' and an incarnation";

/// Identifier that a caller assigns to a submission: a ULID, optionally bound to an entry host.
///
/// An unbound id (`01J…`) may be claimed by any entry host through the platform's log. The tasks of
/// a bound id (`01J…-00c0ffee00c0ffee`) may be started only by that incarnation, which needs no
/// claim in the log. Every answer contains the incarnation that the caller can bind new ids to.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct SubmissionId {
    /// ULID chosen by the caller; contains the time at which the id was created.
    pub ulid: Ulid,
    /// The only incarnation that may start the submission's tasks; `None` for an unbound id.
    pub bound_to: Option<Incarnation>,
}

impl SubmissionId {
    /// Creates an id that any entry host may claim.
    pub fn unbound(ulid: Ulid) -> Self {
        Self {
            ulid,
            bound_to: None,
        }
    }

    /// Returns the creation time encoded in the ULID.
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
        let invalid = || Error::id("submission id", text, SUBMISSION_ID_FORMAT);
        let (ulid, bound_to) = match text.split_once('-') {
            None => (text, None),
            Some((ulid, incarnation)) => (ulid, Some(incarnation.parse().map_err(|_| invalid())?)),
        };
        Ok(Self {
            ulid: parse_ulid(ulid).ok_or_else(invalid)?,
            bound_to,
        })
    }
}

/// Identifier of one task: the id of its submission and its index in the submission.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct TaskId {
    /// Id of the submission that contains the task.
    pub submission: SubmissionId,
    /// Index of the task in the submission, starting at 0.
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
        let invalid = || Error::id("task id", text, "a submission id, '.' and a number");
        let (submission, index) = text.rsplit_once('.').ok_or_else(invalid)?;
        Ok(Self {
            submission: submission.parse().map_err(|_| invalid())?,
            index: index.parse().map_err(|_| invalid())?,
        })
    }
}

/// Identifier that an operator assigns to a configuration change.
///
/// It identifies the change in the log when the reply to the publishing call was lost.
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

/// Parses a ULID; returns `None` if `text` is malformed or exceeds 128 bits.
///
/// The `ulid` crate silently drops bits beyond 128, so without this check two different texts could
/// denote the same submission.
fn parse_ulid(text: &str) -> Option<Ulid> {
    const FIRST_CHAR_MAX: u8 = b'7';
    let is_in_range = text
        .bytes()
        .next()
        .is_some_and(|first| first <= FIRST_CHAR_MAX);
    text.parse().ok().filter(|_| is_in_range)
}
