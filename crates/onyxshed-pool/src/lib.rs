//! Decisions of a pool of executors that one host at a time owns.
//!
//! Entry hosts hand jobs whole to the owner of a pool; the owner orders them, places their tasks,
//! renews the executors' leases and learns how runs ended. Everything here is a state machine: an
//! event with its time goes in, actions come out. No clock, socket, random number or log call.
//!
//! No two runs of a task may be at work at the same time. Three rules see to it:
//! - a task gets a new run only when its last one is known to have ended, to have been stopped, or
//!   to have outlived its lease;
//! - an owner that begins renews no lease on an executor until nothing runs there that it did not
//!   start itself;
//! - the runs of an entry host that is no longer heard are stopped well before its callers send
//!   their jobs again.

pub mod candidate;
pub mod error;
pub mod evacuation;
pub mod executor;
pub mod id;
pub mod job;
pub mod message;
pub mod offered_load;
pub mod options;
pub mod peers;
pub mod pool;
pub mod pool_selector;
pub mod resources;
pub mod shard_layout;
pub mod speed;
pub mod successor;
pub mod summary;

pub use candidate::{Candidate, CandidateStep, LastOwner};
pub use error::{Error, Result};
pub use evacuation::{EvacuationChange, EvacuationRecord, Evacuations, LogPosition};
pub use executor::ExecutorFacts;
pub use id::{
    ExecutorId, FencingToken, JobId, PeerIncarnation, Percent, RunNumber, Session,
    SubmissionNumber, TaskId,
};
pub use job::{JobEnd, JobRequest, NotRunReason, UnknownReason};
pub use message::{
    Action, Decision, ExecutorLists, ExecutorReport, FinishedRun, HoldAnswer, HoldOrder,
    RefuseReason, RunEnd, RunningRun, StartAnswer, StartOrder, StopAnswer, StopOrder,
};
pub use offered_load::OfferedLoad;
pub use options::PoolOptions;
pub use peers::PeerSessions;
pub use pool::Pool;
pub use pool_selector::{PoolLoad, PoolSelector};
pub use resources::Resources;
pub use shard_layout::{PoolId, ShardLayout};
pub use successor::{OwnershipTransfer, SuccessorOffer};
pub use summary::JobSummary;
