//! Identifiers, each a type of its own.
//!
//! Names are short lower-case texts that operators choose. A [`SubmissionId`] is chosen by the
//! caller; it carries its time, and may carry the [`Incarnation`] of the entry host that alone may
//! start its tasks.

mod incarnation;
mod name;
mod number;
mod submission;

pub use incarnation::Incarnation;
pub use name::{ClassName, ExecutorName, HostName, UpstreamName, ZoneName};
pub use number::{Offset, Revision};
pub use submission::{ChangeId, SubmissionId, TaskId};
