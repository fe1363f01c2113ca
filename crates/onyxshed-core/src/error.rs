//! Errors of parsing the shared types.

use smol_str::SmolStr;
use snafu::Snafu;

/// What was wrong with a text that should have been one of the shared types.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A name broke the rules for names.
    #[snafu(display(
        "{found:?} is no {kind}: allowed are 1 to 64 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
    ))]
    Name {
        /// Which kind of name was expected.
        kind: &'static str,
        /// The text as given, cut to 80 characters.
        found: SmolStr,
    },
    /// An identifier could not be read.
    #[snafu(display("{found:?} is no {kind}: allowed is {allowed}"))]
    Id {
        /// Which kind of identifier was expected.
        kind: &'static str,
        /// The text as given, cut to 80 characters.
        found: SmolStr,
        /// What a valid one looks like.
        allowed: &'static str,
    },
    /// A quantity could not be read.
    #[snafu(display("{found:?} is no {kind}: allowed is a whole number followed by {unit:?}"))]
    Quantity {
        /// Which kind of quantity was expected.
        kind: &'static str,
        /// The text as given, cut to 80 characters.
        found: SmolStr,
        /// The unit's suffix.
        unit: &'static str,
    },
    /// A value lies outside its range.
    #[snafu(display("{field} is {found}: allowed is {allowed}"))]
    Range {
        /// The field's name with its unit.
        field: &'static str,
        /// The value as given.
        found: SmolStr,
        /// The range in words.
        allowed: &'static str,
    },
}

/// Longest excerpt of a caller's text repeated in an error, in characters.
const EXCERPT_CHARS: usize = 80;

/// Cuts `text` to what an error may repeat.
fn excerpt(text: &str) -> SmolStr {
    text.chars().take(EXCERPT_CHARS).collect()
}

impl Error {
    /// Makes an error for a text that is no valid name.
    pub fn name(kind: &'static str, found: &str) -> Self {
        Error::Name {
            kind,
            found: excerpt(found),
        }
    }

    /// Makes an error for a text that is no valid identifier.
    pub fn id(kind: &'static str, found: &str, allowed: &'static str) -> Self {
        Error::Id {
            kind,
            found: excerpt(found),
            allowed,
        }
    }

    /// Makes an error for a text that is no valid quantity.
    pub fn quantity(kind: &'static str, found: &str, unit: &'static str) -> Self {
        Error::Quantity {
            kind,
            found: excerpt(found),
            unit,
        }
    }

    /// Makes an error for a value outside its range.
    pub fn range(field: &'static str, found: impl ToString, allowed: &'static str) -> Self {
        Error::Range {
            field,
            found: excerpt(&found.to_string()),
            allowed,
        }
    }
}

/// Result of parsing a shared type.
pub type Result<T> = std::result::Result<T, Error>;
