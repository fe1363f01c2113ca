//! Hosts on the platform's stand-ins, one promise at a time.

mod callers;
mod evacuation;
mod owners;
mod support;
