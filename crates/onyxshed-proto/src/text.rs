//! Reading texts and lists from messages, checked and bounded.

use std::str::FromStr;

use crate::error::{Error, Result};

/// Most entries that a list in a message may hold.
pub const LIST_MAX: u32 = 100_000;

/// Reads a text field in the form its type has.
pub fn parse<T>(field: &'static str, text: capnp::Result<capnp::text::Reader<'_>>) -> Result<T>
where
    T: FromStr,
    T::Err: ToString,
{
    let text = text?.to_str().map_err(|error| Error::field(field, error))?;
    text.parse()
        .map_err(|error: T::Err| Error::field(field, error.to_string()))
}

/// Checks a list's length before anything is made from it.
pub fn bounded(field: &'static str, found: u32) -> Result<u32> {
    if found <= LIST_MAX {
        Ok(found)
    } else {
        Err(Error::TooLong {
            field,
            found,
            max: LIST_MAX,
        })
    }
}
