//! What every onyxshed process does at start, so that all behave alike.
//!
//! [`command`] reads the command line and checks the settings; [`run`] opens telemetry, puts the
//! kernel and its services together and runs them; [`listen`] opens the addresses that services
//! serve; [`requests`] serves callers.

pub mod command;
pub mod listen;
pub mod requests;
pub mod run;

pub use listen::{listen, serve_rpc};
pub use requests::serve_requests;
pub use run::{CommonSettings, Process, ServiceContext};
