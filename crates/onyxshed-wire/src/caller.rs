//! The interface to callers: submit a job, fetch its answer, cancel it.

use onyxshed_core::{ClassName, Incarnation, Millis, Outcome, ResultCode, SubmissionId};
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use smol_str::SmolStr;

use crate::content::ContentHash;
use crate::error::{Error, Result};

/// Path under which jobs are submitted; one job's path is this, '/' and its submission id.
pub const JOBS_PATH: &str = "/v1/jobs";

/// Most tasks in one submission.
pub const TASKS_MAX: usize = 550;

/// Header that marks a request passed on by another entry host, so that it is not passed on again.
pub const FORWARDED_HEADER: &str = "onyxshed-forwarded";

/// What a caller says of other copies of its submission.
///
/// It decides what may be said of a copy that is refused before the log has given this host the
/// submission: an earlier copy may be under way on another host without being seen from here.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CopyMark {
    /// No copy was sent before: a refusal is "not run".
    First,
    /// Nothing is said: a refusal is "not run" while the log is readable and shows no claim.
    #[default]
    Unmarked,
    /// A copy was sent before and its answer is open: a refusal is "not run" only when this host
    /// holds the submission.
    Again,
}

impl CopyMark {
    /// Tells whether nothing is said.
    pub fn is_unmarked(&self) -> bool {
        *self == CopyMark::Unmarked
    }
}

/// Body of `POST /v1/jobs`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The caller's name for this submission.
    pub submission: SubmissionId,
    /// The class of work.
    pub class: ClassName,
    /// How soon the caller wants it, if sooner than the class's target, in milliseconds from its
    /// arrival.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Millis>,
    /// What the caller says of other copies of this submission.
    #[serde(default, skip_serializing_if = "CopyMark::is_unmarked")]
    pub copy: CopyMark,
    /// One opaque payload a task, in base64.
    #[serde_as(as = "Vec<Base64>")]
    pub tasks: Vec<Vec<u8>>,
}

impl Submission {
    /// Reads a submission from a body.
    pub fn decode(body: &[u8]) -> Result<Self> {
        let submission: Submission = serde_json::from_slice(body).map_err(Error::body)?;
        let found = submission.tasks.len();
        if (1..=TASKS_MAX).contains(&found) {
            Ok(submission)
        } else {
            Err(Error::TaskCount {
                found,
                max: TASKS_MAX,
            })
        }
    }

    /// Gets the fingerprint of the content.
    pub fn content(&self) -> ContentHash {
        ContentHash::of(&self.class, &self.tasks)
    }
}

/// Body of every answer to a caller.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The submission it answers, absent when the request could not be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<SubmissionId>,
    /// How it ended; absent while it is still running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// The numbered result; absent while it is still running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<ResultCode>,
    /// The code in words, with particulars.
    pub text: SmolStr,
    /// Every task's result in the order submitted, in base64; only in a complete answer.
    #[serde_as(as = "Option<Vec<Base64>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub results: Option<Vec<Vec<u8>>>,
    /// When a repeat is invited, how long to wait first, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
    /// The entry host's incarnation: ids bound to it need no claim in the log.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bind_to: Option<Incarnation>,
}

impl Answer {
    /// Makes a final answer that carries no results.
    pub fn ended(submission: Option<SubmissionId>, code: ResultCode, detail: &str) -> Self {
        let text = match detail {
            "" => SmolStr::new_static(code.text()),
            detail => smol_str::format_smolstr!("{} ({detail})", code.text()),
        };
        Answer {
            submission,
            outcome: code.outcome(),
            code: Some(code),
            text,
            results: None,
            retry_after_ms: None,
            bind_to: None,
        }
    }

    /// Makes the answer to a job that completed.
    pub fn complete(submission: SubmissionId, results: Vec<Vec<u8>>) -> Self {
        Answer {
            results: Some(results),
            ..Self::ended(Some(submission), ResultCode::Complete, "")
        }
    }

    /// Makes the interim answer for a job that is still running.
    pub fn running(submission: SubmissionId) -> Self {
        Answer {
            submission: Some(submission),
            outcome: None,
            code: None,
            text: SmolStr::new_static("The job is running."),
            results: None,
            retry_after_ms: None,
            bind_to: None,
        }
    }

    /// Invites a repeat after `wait`.
    pub fn retry_after(mut self, wait: Millis) -> Self {
        self.retry_after_ms = Some(wait);
        self
    }

    /// Gets the HTTP status that goes with the answer.
    pub fn http_status(&self) -> u16 {
        const ACCEPTED: u16 = 202;
        self.code.map_or(ACCEPTED, ResultCode::http_status)
    }

    /// Reads an answer from a body.
    pub fn decode(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).map_err(Error::body)
    }
}
