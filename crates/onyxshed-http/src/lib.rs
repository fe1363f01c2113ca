//! HTTP/1.1 with bounds, over `async-h1`.
//!
//! `async-h1` reads and writes messages but sets no limits. This crate adds them: how long a header
//! or body may take, how large it may be, how many connections an address serves, and how long one
//! may idle. The client tells whether any byte of a request may have left this process, which is
//! what "not run" rests on.

pub mod bounded;
pub mod client;
pub mod connections;
pub mod error;
pub mod head;
mod idle;
pub mod message;
pub mod server;

pub use client::{ClientOptions, Connection};
pub use error::{CallError, Error, Result, SendState};
pub use message::{Call, Reply};
pub use server::{Handler, Server, ServerOptions, ServerStats};
