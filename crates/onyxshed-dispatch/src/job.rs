//! Jobs of an entry host and their stages: claiming, running and ended.
//!
//! Each stage has its own type, and moving a job to the next stage consumes the value of the
//! current stage. An ended job therefore can't start a task, and a job that is being claimed has no
//! results.

mod claiming;
mod ended;
mod running;

pub use claiming::ClaimingJob;
pub use ended::EndedJob;
pub use running::{AbortCodes, RunningJob, StartEvidence};

use onyxshed_core::{ClassName, Mono, SubmissionId};
use onyxshed_wire::ContentHash;
use onyxshed_wire::caller::CopyMark;

/// Id, content, class and deadlines of a job. Only `copy` can change after the job is accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobHead {
    /// Id that the caller assigned to the submission.
    pub id: SubmissionId,
    /// Hash of the submission's content.
    pub content: ContentHash,
    /// Class of the job, whose configured target limits both deadlines.
    pub class: ClassName,
    /// Whether the job's tasks may run more than once.
    pub may_run_twice: bool,
    /// Whether the caller may have sent earlier copies of the submission: the highest mark of the
    /// copies received until the claim is decided.
    pub copy: CopyMark,
    /// Time by which the job should be finished; a job of which no task has started by then is
    /// aborted.
    pub deadline: Mono,
    /// Time at which the job is aborted even if tasks have started.
    pub final_deadline: Mono,
}

/// Job in any of its stages.
#[derive(Debug)]
pub enum Job {
    /// The claim of the job is not decided yet.
    Claiming(ClaimingJob),
    /// This host may start the job's tasks.
    Running(RunningJob),
    /// The job has its final answer.
    Ended(EndedJob),
}

impl Job {
    /// Returns the class that the submission named, which stays the same in every stage.
    pub fn class(&self) -> &ClassName {
        match self {
            Job::Claiming(job) => &job.head.class,
            Job::Running(job) => &job.head.class,
            Job::Ended(job) => &job.class,
        }
    }

    /// Returns the hash of the content that was submitted under the job's id.
    pub fn content(&self) -> ContentHash {
        match self {
            Job::Claiming(job) => job.head.content,
            Job::Running(job) => job.head.content,
            Job::Ended(job) => job.content,
        }
    }
}
