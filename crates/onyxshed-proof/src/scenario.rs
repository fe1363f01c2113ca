//! The scenario language, with one file for each scenario.
//!
//! [`parse()`] parses a file into a [`Script`] and reports errors with line and column; [`play()`] runs
//! the script with real processes.

mod checks;
pub mod expectation;
pub mod grammar;
pub mod language;
pub mod parse;
pub mod play;
pub mod scenario_run;
mod steps;
mod tokens;

pub use language::{Script, Step};
pub use parse::{ScriptError, parse};
pub use play::play;
