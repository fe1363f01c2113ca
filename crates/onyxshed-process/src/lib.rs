//! Startup code shared by all onyxshed processes.
//!
//! [`mod@command`] parses the command line and checks the settings; [`mod@run`] opens telemetry,
//! creates the kernel and its services and runs them; [`mod@listen`] opens the addresses that
//! services listen on; [`mod@requests`] serves HTTP requests.

pub mod command;
pub mod listen;
pub mod requests;
pub mod run;

pub use listen::{listen, serve_rpc};
pub use requests::{RequestListener, RequestServer, serve_requests};
pub use run::{CommonSettings, Process, ServiceContext};
