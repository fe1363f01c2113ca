//! State that entry hosts share, derived without any I/O from the platform's log and from the
//! heartbeats of peers.
//!
//! The log's order is the only arbiter between hosts. [`config`] folds the `config` stream into the
//! configuration in force; [`claim`] decides from the `claims` stream which host may start a
//! submission; [`member`] tracks which peers are live. Each module is a state machine: the caller
//! passes in an event with its time and gets back a typed step.

pub mod append;
pub mod claim;
pub mod config;
pub mod error;
pub mod member;

pub use append::AppendFailure;
pub use claim::{
    BatchStep, ClaimBook, ClaimCounts, ClaimOptions, ClaimOutcome, ClaimResult, ClaimStep,
};
pub use config::{
    ChangeOutcome, Config, ConfigCounts, ConfigFold, ConfigOptions, FoldOutcome, Handover,
    Proposal, RepublishStep,
};
pub use error::{Error, Result};
pub use member::{
    Gossip, Heartbeat, LoadDigest, Member, MemberOptions, MemberState, MemberTable, MembershipEvent,
};
