//! Parses a scenario line by line.

use std::fmt;

use winnow::ascii::space0;
use winnow::combinator::preceded;
use winnow::error::{ContextError, StrContext};
use winnow::prelude::*;

use super::grammar::statement;
use super::language::{Line, Script};

/// A syntax error in a scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScriptError {
    /// Line number in the file, counted from 1; blank lines and comments count as well.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// The word at this position in quotes, or `the end of the line`.
    pub found: String,
    /// The words or phrases that are allowed at this position, separated by commas.
    pub allowed: String,
}

impl fmt::Display for ScriptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ScriptError {
            line,
            column,
            found,
            allowed,
        } = self;
        write!(
            f,
            "line {line}, column {column}: found {found}, allowed: {allowed}"
        )
    }
}

impl std::error::Error for ScriptError {}

/// Parses a scenario. Empty lines and lines that begin with `#` are ignored.
///
/// # Errors
///
/// Fails at the first line that is not a valid statement.
pub fn parse(text: &str) -> Result<Script, ScriptError> {
    let mut lines = Vec::new();
    for (number, text) in (1..).zip(text.lines()) {
        let is_blank = text.trim().is_empty() || text.trim_start().starts_with('#');
        if !is_blank {
            let step = preceded(space0, statement)
                .parse(text)
                .map_err(|error| explain(number, text, error.offset(), error.inner()))?;
            lines.push(Line {
                number,
                text: text.into(),
                step,
            });
        }
    }
    Ok(Script { lines })
}

fn explain(line: usize, text: &str, offset: usize, error: &ContextError) -> ScriptError {
    let rest = &text[offset.min(text.len())..];
    let found = match rest.split_whitespace().next() {
        Some(word) => format!("{word:?}"),
        None => "the end of the line".to_owned(),
    };
    let mut allowed: Vec<String> = Vec::new();
    for context in error.context() {
        if let StrContext::Expected(value) = context {
            allowed.push(value.to_string());
        }
    }
    if allowed.is_empty() {
        allowed.push("the end of the line".to_owned());
    }
    ScriptError {
        line,
        column: text[..offset.min(text.len())].chars().count() + 1,
        found,
        allowed: allowed.join(", "),
    }
}
