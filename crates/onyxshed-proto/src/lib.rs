//! Messages between onyxshed's own processes, over `capnp-rpc`.
//!
//! The schemas are `schema/onyxshed.capnp` and `schema/pool.capnp`; `onyxshed_capnp` and `pool_capnp` are
//! generated from them and committed, so that a build needs no generator. The other modules convert
//! messages to and from the types of the other crates and validate every text that they decode; [`rpc`]
//! serves and calls the interfaces over TCP.

pub mod config;
pub mod error;
pub mod gossip;
pub mod handover;
#[allow(missing_docs, unused_qualifications, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod onyxshed_capnp;
pub mod pool;
#[allow(missing_docs, unused_qualifications, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod pool_capnp;
pub mod rpc;
pub mod snapshot;
pub mod status;
pub mod text;

pub use error::{Error, Result};
pub use snapshot::{ExecutorEntry, Snapshot};
pub use status::EntryStatus;
