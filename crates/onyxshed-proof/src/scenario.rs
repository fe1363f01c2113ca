//! The scenario language: one readable file a scenario.
//!
//! [`parse`] reads a file into a [`Script`], and says with line and column what is wrong with a bad
//! one; [`play`] runs it with real processes.

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
