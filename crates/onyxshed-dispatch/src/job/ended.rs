//! Last stage of a job: it has its final answer.
//!
//! An ended job is remembered until its id is too old to be accepted, so that no late copy of the
//! submission starts it again.

use onyxshed_core::{ClassName, ResultCode, SubmissionId};
use onyxshed_wire::ContentHash;
use onyxshed_wire::caller::Answer;
use smol_str::SmolStr;

/// Job that has ended, with its final answer.
#[derive(Debug)]
pub struct EndedJob {
    /// Hash of the content that was submitted under the job's id.
    pub content: ContentHash,
    /// Class of the job, copied from its head when the job ended.
    pub class: ClassName,
    /// Code of the final answer; `AnswerDropped` replaces it for a complete job without results.
    pub code: ResultCode,
    /// Further details for the answer, such as the index of the failed task; may be empty.
    pub detail: SmolStr,
    /// Results of all tasks; `None` if the job is not complete or its results were dropped.
    pub results: Option<Vec<Vec<u8>>>,
}

impl EndedJob {
    /// Returns the answer to a repeated request. A complete job whose results were dropped is
    /// answered with [`ResultCode::AnswerDropped`].
    pub fn answer(&self, id: SubmissionId) -> Answer {
        match (&self.results, self.code) {
            (Some(results), _) => Answer::complete(id, results.clone()),
            (None, ResultCode::Complete) => Answer::ended(Some(id), ResultCode::AnswerDropped, ""),
            (None, code) => Answer::ended(Some(id), code, &self.detail),
        }
    }

    /// Returns the total size of the stored results, in bytes.
    pub fn result_bytes(&self) -> u64 {
        let results = self.results.iter().flatten();
        results.map(|result| result.len() as u64).sum()
    }
}
