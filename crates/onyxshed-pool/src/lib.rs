//! Scheduling decisions for a pool of executors, which is owned by one host at a time.
//!
//! Entry hosts submit whole jobs to the owner of a pool. The owner queues the jobs, places their
//! tasks on executors, renews the executors' leases and collects the results of runs. The crate is
//! a sans-I/O state machine: an event and its time go in, [`Action`]s come out. It reads no clock
//! and uses no socket, random number or log call.
//!
//! Two runs of a task never execute at the same time. Three rules ensure this:
//! - a task gets a new run only when its previous run is known to have ended or to have been
//!   stopped, or when the lease of that run has expired;
//! - a new owner renews no lease on an executor while a run that it did not start itself is still
//!   executing there;
//! - the runs of the jobs that an unresponsive entry host has submitted are stopped well before its
//!   callers resubmit these jobs.

pub mod admission_levels;
pub mod candidate;
pub mod class_estimates;
pub mod class_queues;
pub mod class_shares;
pub mod commitments;
pub mod end_forecast;
pub mod error;
pub mod evacuation;
pub mod executor;
mod executor_set;
pub mod id;
pub mod job;
mod job_table;
pub mod level_table;
pub mod link_plan;
pub mod message;
pub mod offered_load;
pub mod options;
pub mod overload;
pub mod overload_detector;
pub mod peers;
pub mod pool;
pub mod pool_choice;
pub mod pool_selector;
pub mod resources;
pub mod room_credit;
pub mod room_forecast;
pub mod shard_layout;
pub mod size_limit;
pub mod speed;
mod start_window;
pub mod successor;
pub mod summary;
mod work_sum;
pub mod zone_executors;
pub mod zone_reader;

pub use admission_levels::{Arrival, ClassLevels};
pub use candidate::{Candidate, CandidateStep, LastOwner, takeover_order, wait_before_list};
pub use end_forecast::JobNeeds;
pub use error::{Error, Result};
pub use evacuation::{EvacuationChange, EvacuationRecord, Evacuations, LogPosition};
pub use executor::ExecutorFacts;
pub use id::{
    ClassId, ConnectionNumber, ExecutorId, FencingToken, JobId, PeerConnection, PeerIncarnation,
    Percent, RunNumber, Session, SubmissionNumber, TaskId,
};
pub use job::{JobEnd, JobRequest, NotRunReason, UnknownReason};
pub use level_table::{EntryDecision, LevelTable};
pub use link_plan::linked_pools;
pub use message::{
    Action, Decision, ExecutorLists, ExecutorReport, FinishedRun, HoldAnswer, HoldOrder,
    RefuseReason, RunEnd, RunningRun, StartAnswer, StartOrder, StopAnswer, StopOrder,
};
pub use offered_load::OfferedLoad;
pub use options::PoolOptions;
pub use overload::{CallerLimit, ClassAdmission, OverloadMode, OverloadState};
pub use overload_detector::{JobWait, LoadSample, OverloadChange, OverloadDetector, TICK_PERIOD};
pub use peers::{ExpiredSession, Heartbeat, PeerSessions};
pub use pool::Pool;
pub use pool_choice::{AfterEnd, PoolChoices};
pub use pool_selector::{PoolLoad, PoolSelector};
pub use resources::Resources;
pub use room_credit::RoomCredit;
pub use shard_layout::{PoolId, ShardLayout};
pub use successor::{OwnershipTransfer, SuccessorOffer};
pub use summary::JobSummary;
pub use zone_executors::{ZoneChanges, ZoneExecutors};
pub use zone_reader::{ZoneAnswer, ZoneList, ZoneView};
