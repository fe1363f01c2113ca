//! Tests of a pool's decisions.

mod calls;
mod candidate;
mod division;
mod evacuation;
mod fixture;
mod handover;
mod hosts;
mod load;
mod lost;
mod order;
mod parts;
mod search;
mod slow;
mod successor;
mod summary;
mod taking;
mod world;
