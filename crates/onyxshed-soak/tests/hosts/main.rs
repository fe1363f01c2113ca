//! Tests of real hosts on the stand-ins of the platform, each of one promise.

mod callers;
mod evacuation;
mod lagging_owners;
mod late_requests;
mod links;
mod overload;
mod owners;
mod stops;
mod support;
mod topics;
mod transfers;
