//! Tests of the policy: single calls, and runs in a queueing model with virtual time.

mod caller_limits;
mod facade;
mod faults;
mod figures;
mod fixture;
mod guards;
mod model;
mod orders;
mod overload;
mod parts;
mod random;
