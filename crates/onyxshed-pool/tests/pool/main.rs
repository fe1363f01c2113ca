//! Tests of the scheduling decisions of a pool.

mod caller_limits;
mod calls;
mod candidate;
mod copies;
mod evacuation;
mod fixture;
mod handover;
mod hosts;
mod levels;
mod link_plan;
mod load;
mod lost;
mod order;
mod overload;
mod overload_failures;
mod overload_state;
mod parts;
mod search;
mod shard_layout;
mod simulation;
mod slow;
mod successor;
mod summary;
mod taking;
mod transfers;
mod zone_executors;
