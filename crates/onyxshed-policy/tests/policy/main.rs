//! Tests of the policy, alone and in a small queueing model in virtual time.

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
