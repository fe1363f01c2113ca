//! Tests of a pool's decisions.

mod calls;
mod candidate;
mod fixture;
mod hosts;
mod load;
mod parts;
mod search;
mod world;
