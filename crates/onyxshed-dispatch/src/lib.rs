//! The entry host's state machine: from a caller's request to its one answer.
//!
//! [`Dispatch`] takes an [`Input`] with its time and gives [`Output`]s to carry out. It joins the
//! claim book and the policy: a submission is looked up, admitted, claimed, its tasks started, their
//! ends gathered, and the caller told exactly one of complete, failed, not run, unknown. It does no
//! input or output, so the same machine runs in the process and in searches over orders of events.

pub mod dispatch;
pub mod input;
pub mod job;
pub mod options;
pub mod output;
pub mod table;

pub use dispatch::Dispatch;
pub use input::{AttemptReport, Input, StopReport};
pub use options::DispatchOptions;
pub use output::{AttemptId, Output, RequestId};
