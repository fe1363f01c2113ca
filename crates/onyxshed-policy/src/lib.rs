//! Scheduling decisions without input or output: which jobs to admit, which task to start next and
//! on which executor, what to retry, and which executors to stop using.
//!
//! [`Policy`] is a state machine in one entry host, for the executors of one zone. It receives the
//! configured classes and executors, the tasks to run and the end of each attempt from the
//! dispatch, and returns the tasks to start and the time of the next call. Operators set only
//! targets, so every other parameter is learned or derived.
//!
//! A slowdown is the ratio of an executor's service times to the usual service times of the same
//! classes. An executor of ordinary speed has the slowdown 1; a slower executor has a higher
//! slowdown.

pub mod decision;
pub mod placement;
pub mod policy;
pub mod work;

mod admission;
mod budget;
mod class;
mod estimate;
mod executor;
mod faults;
mod fleet;
mod offered_load;
mod queue;
mod running;
mod span;
mod upstream;

pub use decision::{BreakerReason, PolicyDecision, WastedMessages};
pub use placement::PlacementKind;
pub use policy::{Policy, PolicyOptions};
pub use work::{
    Admission, AttemptEnd, AttemptOutcome, ExecutorInfo, ExpiredTask, NextStep, QueuedTask,
    RetryStep,
};
