//! The scenario language, with one file for each scenario.
//!
//! [`parse()`] parses a file into a [`Script`] and reports errors with line and column; [`play()`] runs
//! the script with real processes.

pub mod ask;
pub mod grammar;
pub mod language;
pub mod parse;
pub mod play;
mod steps;
mod verdicts;
mod words;
pub mod world;

pub use language::{Script, Step};
pub use parse::{ScriptError, parse};
pub use play::play;
