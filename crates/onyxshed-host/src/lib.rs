//! `onyxshed-host`: one host of the system on the users' platform.
//!
//! Every host takes callers' jobs ([`callers`]) and hands each one whole to the owner of a pool of
//! executors, over a link ([`links`]) or within the process. Each availability zone has a pool, or
//! several where it is large ([`divisions`]); a pool's owner is the host that holds its partition of
//! a group in the platform's store ([`directory`], [`ownership`]); a host that
//! starts while the store is away learns from others what it needs ([`peer_state`]). The owner runs the decisions of `onyxshed-pool` ([`engine`]).
//!
//! Nothing here decides about tasks: these services turn sockets and timers into events of the
//! decisions, and their actions into calls.

pub mod boot_clock;
pub mod callers;
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
pub mod reload;
pub mod shard_layouts;
pub mod store_watch;
pub mod topic;
