//! Identifiers, each with its own type.
//!
//! Names are short lower-case strings that operators choose. A [`SubmissionId`] is chosen by the
//! caller. It contains its creation time and may contain the [`Incarnation`] of the only entry host
//! that may start its tasks.

mod caller;
mod incarnation;
mod name;
mod number;
mod submission;

pub use caller::CallerId;
pub use incarnation::Incarnation;
pub use name::{ClassName, ExecutorName, HostName, UpstreamName, ZoneName};
pub use number::{Offset, Revision};
pub use submission::{ChangeId, SubmissionId, TaskId};
