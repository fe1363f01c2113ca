//! State machine of an entry host, from a caller's request to its single answer.
//!
//! [`Dispatch`] processes one [`Input`] at a given time and returns the [`Output`]s to execute. It
//! combines the claim book with the dispatch policy: a submission is looked up, admitted and
//! claimed, its tasks are started and their results collected, and the caller gets exactly one
//! outcome: complete, failed, not run or unknown. The crate performs no I/O, so the same state
//! machine runs in the entry process and in randomized tests that search over orders of events.

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
