//! Outcome of a request, as reported to the caller.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::error::{Error, Result};

/// Final outcome of a request; every final answer has exactly one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr)]
pub enum Outcome {
    /// Every task finished, and the answer contains every result.
    Complete,
    /// A task ran and failed, or the job was stopped after a task had started.
    Failed,
    /// It is proven that no task of this submission was started.
    ///
    /// Only after this outcome can the caller submit the work under a new id without the risk that a
    /// task runs twice.
    NotRun,
    /// It is not known whether a task ran.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Outcome::Complete => "complete",
            Outcome::Failed => "failed",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        })
    }
}

impl FromStr for Outcome {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "complete" => Ok(Outcome::Complete),
            "failed" => Ok(Outcome::Failed),
            "not_run" => Ok(Outcome::NotRun),
            "unknown" => Ok(Outcome::Unknown),
            _ => Err(Error::id(
                "outcome",
                text,
                "complete, failed, not_run or unknown",
            )),
        }
    }
}
