//! A submission's life on the host that holds it: claiming, running, ended.
//!
//! Each stage is a type of its own, and a stage is left only by giving it up for the next, so a job
//! that ended can't start a task and one that is being claimed has no results.

mod claiming;
mod ended;
mod running;

pub use claiming::Claiming;
pub use ended::Ended;
pub use running::{Evidence, GiveUp, Running};

use onyxshed_core::{ClassName, Mono, SubmissionId};
use onyxshed_wire::ContentHash;
use onyxshed_wire::caller::CopyMark;

/// What stays the same from arrival to end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobHead {
    /// The submission.
    pub id: SubmissionId,
    /// Its content.
    pub content: ContentHash,
    /// Its class.
    pub class: ClassName,
    /// Whether its tasks may run more than once.
    pub may_run_twice: bool,
    /// What the caller says of other copies.
    pub copy: CopyMark,
    /// When it has to be finished; it does not begin after this.
    pub deadline: Mono,
    /// When it is given up even if it has begun.
    pub end_by: Mono,
}

/// A job at whatever stage.
#[derive(Debug)]
pub enum Job {
    /// Its claim is not decided yet.
    Claiming(Claiming),
    /// This host may start its tasks.
    Running(Running),
    /// It has its final answer.
    Ended(Ended),
}

impl Job {
    /// Gets the class.
    pub fn class(&self) -> &ClassName {
        match self {
            Job::Claiming(job) => &job.head.class,
            Job::Running(job) => &job.head.class,
            Job::Ended(job) => &job.class,
        }
    }

    /// Gets the content that the id stands for.
    pub fn content(&self) -> ContentHash {
        match self {
            Job::Claiming(job) => job.head.content,
            Job::Running(job) => job.head.content,
            Job::Ended(job) => job.content,
        }
    }
}
