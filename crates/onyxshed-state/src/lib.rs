//! Decisions on what entry hosts agree about, without input or output.
//!
//! The platform's log is the only arbiter. [`config`] folds the `config` stream into the
//! configuration in force; [`claim`] decides from the `claims` stream which host may start a
//! submission; [`member`] judges which peers are live. Each is a state machine: an event with its
//! time goes in, a typed step comes out.

pub mod append;
pub mod claim;
pub mod config;
pub mod error;
pub mod member;

pub use append::AppendFailure;
pub use claim::{
    BatchStep, ClaimBook, ClaimCounts, ClaimOptions, ClaimOutcome, ClaimStep, SettledClaim,
};
pub use config::{
    ChangeOutcome, Config, ConfigCounts, ConfigFold, ConfigOptions, FoldOutcome, Handover,
    Proposal, RepublishStep,
};
pub use error::{Error, Result};
pub use member::{
    Gossip, Heartbeat, LoadDigest, Member, MemberOptions, MemberState, MemberTable, MembershipEvent,
};
