//! Words, numbers and names: what every statement is made of.

use std::str::FromStr;

use onyxshed_core::Millis;
use smol_str::SmolStr;
use winnow::ascii::space0;
use winnow::combinator::terminated;
use winnow::error::{AddContext, ContextError, ErrMode, ParserError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::Stream;
use winnow::token::take_while;

/// Takes one word and the space behind it.
pub(super) fn word<'s>(input: &mut &'s str) -> ModalResult<&'s str> {
    terminated(take_while(1.., |c: char| !c.is_whitespace()), space0).parse_next(input)
}

/// Makes the error that says what was allowed where the input stands.
pub(super) fn fail_expected<T>(input: &mut &str, allowed: &[&'static str]) -> ModalResult<T> {
    let checkpoint = input.checkpoint();
    let mut error = ContextError::from_input(input);
    for text in allowed {
        let context = StrContext::Expected(StrContextValue::StringLiteral(text));
        error = error.add_context(input, &checkpoint, context);
    }
    Err(ErrMode::Cut(error))
}

/// Makes the error that describes what was allowed where the input stands.
pub(super) fn fail_described<T>(input: &mut &str, allowed: &'static str) -> ModalResult<T> {
    let checkpoint = input.checkpoint();
    let context = StrContext::Expected(StrContextValue::Description(allowed));
    let error = ContextError::from_input(input);
    Err(ErrMode::Cut(error.add_context(input, &checkpoint, context)))
}

/// Takes one of several words and gets its place among them.
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

/// Takes words that must come now.
pub(super) fn expect_words(input: &mut &str, words: &'static str) -> ModalResult<()> {
    for word in words.split(' ') {
        one_of(input, &[word])?;
    }
    Ok(())
}

/// Takes a word if it comes now.
pub(super) fn accept_word(input: &mut &str, allowed: &'static str) -> bool {
    let checkpoint = input.checkpoint();
    if word(input) == Ok(allowed) {
        return true;
    }
    input.reset(&checkpoint);
    false
}

/// Takes a word that can be read as a type.
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

/// Takes a whole number.
pub(super) fn number<T: FromStr>(input: &mut &str) -> ModalResult<T> {
    parse_word(input, "a whole number")
}

/// Takes a span such as `300 ms` or `2 s`.
pub(super) fn duration(input: &mut &str) -> ModalResult<Millis> {
    let count: u64 = number(input)?;
    let unit = one_of(input, &["ms", "s"])?;
    Ok(Millis([1, 1_000][unit] * count))
}

/// Takes the name of a machine or zone.
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

/// Takes names up to a word that ends them.
pub(super) fn names_until(input: &mut &str, end: &'static str) -> ModalResult<Vec<SmolStr>> {
    let mut names = vec![name(input)?];
    while !accept_word(input, end) {
        names.push(name(input)?);
    }
    Ok(names)
}

/// Takes names up to the line's end or the word `until`.
pub(super) fn names_to_end(input: &mut &str) -> ModalResult<Vec<SmolStr>> {
    let mut names = vec![name(input)?];
    while !input.is_empty() && !input.starts_with("until") {
        names.push(name(input)?);
    }
    Ok(names)
}
