//! HTTP/1.1 client and server with limits, built on `async-h1`.
//!
//! `async-h1` reads and writes messages but sets no limits. This crate adds them: the time and size
//! of a head and a body, the number of connections to an address, and how long a connection may be
//! idle. The client reports whether any byte of a request may have left this process; the outcome
//! "not run" relies on that.

pub mod bounded;
pub mod caller_identity;
pub mod capacity;
pub mod client;
pub mod connections;
pub mod error;
pub mod head;
pub mod listen;
pub mod message;
mod open_streams;
pub mod server;

pub use caller_identity::CallerIdentity;
pub use capacity::{CapacityPlan, ListenerLimits, MachineLimits};
pub use client::{ClientOptions, Connection};
pub use error::{CallError, Error, Result, SendState};
pub use listen::ListenOptions;
pub use message::{Call, Reply};
pub use server::{Handler, Server, ServerOptions, ServerStats};
