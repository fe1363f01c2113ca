//! `onyxshed-host`: the process that runs on each host of the users' platform.
//!
//! Every host accepts jobs from callers ([`callers`]) and forwards each job as a whole to the owner
//! of a pool of executors, over a link ([`links`]) or within the process. An availability zone has
//! one pool, or several if it is large ([`shard_layouts`]). The owner of a pool is the host that
//! holds the partition of the pool's group in the platform's store ([`directory`], [`ownership`]).
//! A host that starts while the store is unavailable fetches the state that it needs from peers
//! ([`peer_state`]). The owner drives the state machine of `onyxshed-pool` ([`engine`]).
//!
//! This crate makes no scheduling decisions. Its services translate socket and timer events into
//! inputs of the pool's state machine, and the actions that it returns into calls.

pub mod arrivals;
pub mod boot_clock;
pub mod callers;
pub mod capacity;
pub mod decisions;
pub mod directory;
pub mod engine;
pub mod evacuations;
pub mod executors;
pub mod last_owner;
pub mod links;
pub mod manifest;
pub mod measures;
pub mod names;
pub mod ownership;
pub mod peer_state;
pub mod process;
pub mod ready;
pub mod refusal_metrics;
pub mod reload;
pub mod shard_layouts;
pub mod store_calls;
pub mod store_watch;
pub mod topic;
pub mod topic_relay;
pub mod zone_reader;
