//! Parsers for words, numbers and names, of which all statements consist.

use std::str::FromStr;

use onyxshed_core::Millis;
use smol_str::SmolStr;
use winnow::ascii::space0;
use winnow::combinator::terminated;
use winnow::error::{AddContext, ContextError, ErrMode, ParserError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::Stream;
use winnow::token::take_while;

/// Parses one word and the space after it.
pub(super) fn word<'s>(input: &mut &'s str) -> ModalResult<&'s str> {
    terminated(take_while(1.., |c: char| !c.is_whitespace()), space0).parse_next(input)
}

/// Fails with an error that lists the words allowed at the current position.
pub(super) fn fail_expected<T>(input: &mut &str, allowed: &[&'static str]) -> ModalResult<T> {
    let checkpoint = input.checkpoint();
    let mut error = ContextError::from_input(input);
    for text in allowed {
        let context = StrContext::Expected(StrContextValue::StringLiteral(text));
        error = error.add_context(input, &checkpoint, context);
    }
    Err(ErrMode::Cut(error))
}

/// Fails with an error that describes the input allowed at the current position.
pub(super) fn fail_described<T>(input: &mut &str, allowed: &'static str) -> ModalResult<T> {
    let checkpoint = input.checkpoint();
    let context = StrContext::Expected(StrContextValue::Description(allowed));
    let error = ContextError::from_input(input);
    Err(ErrMode::Cut(error.add_context(input, &checkpoint, context)))
}

/// Parses one of several words and returns its index among them.
pub(super) fn one_of(input: &mut &str, allowed: &[&'static str]) -> ModalResult<usize> {
    let checkpoint = input.checkpoint();
    let found = word(input).unwrap_or_default();
    match allowed.iter().position(|text| *text == found) {
        Some(index) => Ok(index),
        None => {
            input.reset(&checkpoint);
            fail_expected(input, allowed)
        }
    }
}

/// Parses the words of `words` one after another. Fails at the first word that does not follow.
pub(super) fn expect_words(input: &mut &str, words: &'static str) -> ModalResult<()> {
    for word in words.split(' ') {
        one_of(input, &[word])?;
    }
    Ok(())
}

/// Parses the word `allowed` if it follows, and returns whether it did. Otherwise, no input is
/// consumed.
pub(super) fn accept_word(input: &mut &str, allowed: &'static str) -> bool {
    let checkpoint = input.checkpoint();
    if word(input) == Ok(allowed) {
        return true;
    }
    input.reset(&checkpoint);
    false
}

/// Parses one word as a value of type `T`. `allowed` describes valid input in the error.
pub(super) fn parse_word<T: FromStr>(input: &mut &str, allowed: &'static str) -> ModalResult<T> {
    let checkpoint = input.checkpoint();
    let found = word(input).unwrap_or_default();
    match found.parse() {
        Ok(value) => Ok(value),
        Err(_) => {
            input.reset(&checkpoint);
            fail_described(input, allowed)
        }
    }
}

/// Parses a whole number.
pub(super) fn number<T: FromStr>(input: &mut &str) -> ModalResult<T> {
    parse_word(input, "a whole number")
}

/// Parses a duration such as `300 ms` or `2 s`.
pub(super) fn duration(input: &mut &str) -> ModalResult<Millis> {
    let count: u64 = number(input)?;
    let unit = one_of(input, &["ms", "s"])?;
    Ok(Millis([1, 1_000][unit] * count))
}

/// Parses the name of a host, an executor or a zone.
pub(super) fn name(input: &mut &str) -> ModalResult<SmolStr> {
    let checkpoint = input.checkpoint();
    let found = word(input).unwrap_or_default();
    let is_name = found.starts_with(|c: char| c.is_ascii_lowercase())
        && found
            .chars()
            .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit());
    if is_name {
        return Ok(found.into());
    }
    input.reset(&checkpoint);
    fail_described(input, "a name such as a1 or xa1")
}

/// Parses one or more names and the word `end` after them, which is not part of the result.
pub(super) fn names_until(input: &mut &str, end: &'static str) -> ModalResult<Vec<SmolStr>> {
    let mut names = vec![name(input)?];
    while !accept_word(input, end) {
        names.push(name(input)?);
    }
    Ok(names)
}

/// Parses one or more names, up to the end of the line or the word `until`, which is not consumed.
pub(super) fn names_to_end(input: &mut &str) -> ModalResult<Vec<SmolStr>> {
    let mut names = vec![name(input)?];
    while !input.is_empty() && !input.starts_with("until") {
        names.push(name(input)?);
    }
    Ok(names)
}
