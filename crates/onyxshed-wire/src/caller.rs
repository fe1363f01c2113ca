//! The interface to callers: submitting a job, fetching its answer and cancelling it.

use onyxshed_core::{ClassName, Incarnation, Millis, Outcome, ResultCode, SubmissionId};
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use smol_str::SmolStr;

use crate::content::ContentHash;
use crate::error::{Error, Result};

/// Path to which jobs are submitted. The path of one job is this path, '/' and the submission's id.
pub const JOBS_PATH: &str = "/v1/jobs";

/// Maximum number of tasks in one submission.
pub const TASKS_MAX: usize = 550;

/// Header of a request that another entry host forwarded; such a request is not forwarded again.
pub const FORWARDED_HEADER: &str = "onyxshed-forwarded";

/// A caller's statement on whether it sent other copies of the same submission.
///
/// It determines the outcome that may be reported for a copy that is rejected before the log has
/// confirmed this host's claim on the submission: another host may be running an earlier copy without
/// this host being able to see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CopyMark {
    /// No copy was sent before. A rejection is reported as "not run".
    First,
    /// The caller makes no statement. A rejection is reported as "not run" while the log is readable
    /// and holds no claim on the submission.
    #[default]
    Unmarked,
    /// A copy was sent before and its answer is outstanding. A rejection is reported as "not run" only
    /// if this host holds the submission.
    Again,
}

impl CopyMark {
    /// Returns whether the caller makes no statement.
    pub fn is_unmarked(&self) -> bool {
        *self == CopyMark::Unmarked
    }
}

/// Body of `POST /v1/jobs`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Id that the caller gave to the submission.
    pub submission: SubmissionId,
    /// Class of work of the job.
    pub class: ClassName,
    /// Time from the submission's arrival to the caller's deadline, in milliseconds; absent if the
    /// caller states none. It can only shorten the deadlines that follow from the class's target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Millis>,
    /// The caller's statement on other copies of this submission.
    #[serde(default, skip_serializing_if = "CopyMark::is_unmarked")]
    pub copy: CopyMark,
    /// One opaque payload for each task, in base64.
    #[serde_as(as = "Vec<Base64>")]
    pub tasks: Vec<Vec<u8>>,
}

impl Submission {
    /// Decodes a submission from the body of a request. Returns an error if the body is malformed or
    /// the number of tasks is not in `1..=TASKS_MAX`.
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

    /// Returns the fingerprint of the class and the payloads, by which another submission with the
    /// same id is detected.
    pub fn content(&self) -> ContentHash {
        ContentHash::of(&self.class, &self.tasks)
    }
}

/// Body of all answers to callers.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Submission to which the answer belongs; absent if the request could not be decoded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<SubmissionId>,
    /// Outcome of the job; absent while the job is running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// Numbered code of the result; absent while the job is running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<ResultCode>,
    /// Description of the code, with details of this case.
    pub text: SmolStr,
    /// Results of all tasks in the order of submission, in base64; present only if the job completed.
    #[serde_as(as = "Option<Vec<Base64>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub results: Option<Vec<Vec<u8>>>,
    /// Time to wait before the job is submitted again, in milliseconds; absent if a retry is not
    /// suggested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
    /// Incarnation of an entry host, usually the one that answers. A submission whose id is bound
    /// to it needs no claim in the log.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bind_to: Option<Incarnation>,
}

impl Answer {
    /// Creates a final answer without results. A `detail` that is not empty is added to the code's text.
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

    /// Creates the answer to a job that completed.
    pub fn complete(submission: SubmissionId, results: Vec<Vec<u8>>) -> Self {
        Answer {
            results: Some(results),
            ..Self::ended(Some(submission), ResultCode::Complete, "")
        }
    }

    /// Creates the interim answer to a job that is running.
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

    /// Sets `retry_after_ms`, the time after which the caller may submit the job again.
    pub fn retry_after(mut self, wait: Millis) -> Self {
        self.retry_after_ms = Some(wait);
        self
    }

    /// Returns the HTTP status of the answer; 202 while the job is running.
    pub fn http_status(&self) -> u16 {
        const ACCEPTED: u16 = 202;
        self.code.map_or(ACCEPTED, ResultCode::http_status)
    }

    /// Decodes an answer from the body of a response.
    pub fn decode(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).map_err(Error::body)
    }
}
