//! Validation of texts and lists in messages.

use std::str::FromStr;

use crate::error::{Error, Result};

/// Maximum number of entries in a list of a message.
pub const LIST_MAX: u32 = 100_000;

/// Parses the text of a field as a `T`. An error about an invalid text contains the name `field`.
pub fn parse<T>(field: &'static str, text: capnp::Result<capnp::text::Reader<'_>>) -> Result<T>
where
    T: FromStr,
    T::Err: ToString,
{
    let text = text?.to_str().map_err(|error| Error::field(field, error))?;
    text.parse()
        .map_err(|error: T::Err| Error::field(field, error.to_string()))
}

/// Returns the length of a list, or an error if it is above [`LIST_MAX`]. To be called before
/// memory is allocated for the entries.
pub fn check_length(field: &'static str, found: u32) -> Result<u32> {
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
