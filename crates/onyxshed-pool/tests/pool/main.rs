//! Tests of the scheduling decisions of a pool.

mod calls;
mod candidate;
mod copies;
mod evacuation;
mod fixture;
mod handover;
mod hosts;
mod load;
mod lost;
mod order;
mod parts;
mod search;
mod shard_layout;
mod simulation;
mod slow;
mod successor;
mod summary;
mod taking;
mod transfers;
