//! Decisions on work, without input or output: what to admit, which task next, on which executor,
//! what to retry, whom not to trust.
//!
//! [`Policy`] is one zone-local state machine in an entry host. It sees classes, executors and every
//! attempt's end; it says what to start and when to ask again. Operators set only targets, so
//! everything else here is learned or derived.

pub mod decision;
pub mod placement;
pub mod policy;
pub mod work;

mod admission;
mod budget;
mod class;
mod demand;
mod estimate;
mod executor;
mod faults;
mod fleet;
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
