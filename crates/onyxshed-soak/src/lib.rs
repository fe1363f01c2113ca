//! Soak tests: the real programs as separate processes on one machine, under random faults.
//!
//! [`fleet`] starts the stand-ins of the store and the executors, the hosts, and a fault-injecting proxy
//! between all of them. [`callers`] submits jobs and resubmits those whose outcome is unknown, as the
//! platform's callers do; [`direct_callers`] does so without the proxy. [`faults`] draws a plan of faults from a seed. [`run`] carries the plan out, and
//! [`checks`] compares the answers that callers got with what executors recorded. [`unruly_clients`] send what no
//! caller may send ([`misbehavior`]), and [`footprint`] shows what hosts use meanwhile. Every process is ended by
//! its id.

pub mod callers;
pub mod checks;
pub mod direct;
pub mod direct_callers;
pub mod faults;
pub mod fleet;
pub mod footprint;
pub mod misbehavior;
pub mod run;
pub mod unruly_clients;

pub use onyxshed_proof::{Error, Result};
pub use run::{Report, SoakOptions, soak};
