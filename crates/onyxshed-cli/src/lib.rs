//! `onyxshed`: the operator's command line.
//!
//! [`command`] defines the command line, [`args`] turns it into an [`args::Action`], and one module for
//! each action executes it. Results go to standard output, progress and errors to standard error, each
//! error with its numbered code.

pub mod args;
pub mod catalogue;
pub mod check;
pub mod clock;
pub mod command;
pub mod drain;
pub mod error;
pub mod exit;
pub mod logs;
pub mod output;
pub mod progress;
pub mod query;
pub mod run;
pub mod span;
pub mod status;
pub mod target;
pub mod timeline;
pub mod trace;

pub use error::{Error, Result};
pub use run::main;
