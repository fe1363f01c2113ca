//! State machine of an entry host, from a caller's request to its single answer.
//!
//! [`Dispatch`] processes one [`Input`] at a given time and returns the [`Output`]s that the entry
//! process must execute. For each submission it consults the claim book, which records the host
//! that may start the submission, and the dispatch policy, which admits jobs and selects executors.
//! It collects the results of the tasks, and the caller gets exactly one outcome: complete, failed,
//! not run or unknown. The crate performs no I/O, so the same state machine runs in the entry
//! process and in randomized tests that search over orders of events.

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
