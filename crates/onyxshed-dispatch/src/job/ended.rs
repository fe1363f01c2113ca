//! A job that has its final answer, remembered until the horizon so that no copy starts it again.

use onyxshed_core::{ClassName, ResultCode, SubmissionId};
use onyxshed_wire::ContentHash;
use onyxshed_wire::caller::Answer;
use smol_str::SmolStr;

/// A job that is over.
#[derive(Debug)]
pub struct Ended {
    /// The content that the id stands for.
    pub content: ContentHash,
    /// Its class.
    pub class: ClassName,
    /// How it ended.
    pub code: ResultCode,
    /// Particulars.
    pub detail: SmolStr,
    /// The results, while they are kept; only of a complete job.
    pub results: Option<Vec<Vec<u8>>>,
}

impl Ended {
    /// Gets the answer for a caller who asks again.
    pub fn answer(&self, id: SubmissionId) -> Answer {
        match (&self.results, self.code) {
            (Some(results), _) => Answer::complete(id, results.clone()),
            (None, ResultCode::Complete) => Answer::ended(Some(id), ResultCode::AnswerDropped, ""),
            (None, code) => Answer::ended(Some(id), code, &self.detail),
        }
    }

    /// Gets how many bytes of results it keeps.
    pub fn kept_bytes(&self) -> u64 {
        let results = self.results.iter().flatten();
        results.map(|result| result.len() as u64).sum()
    }
}
