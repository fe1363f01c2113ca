//! Tests of a pool's decisions.

mod calls;
mod fixture;
mod hosts;
mod load;
mod model;
mod parts;
mod search;
mod world;
