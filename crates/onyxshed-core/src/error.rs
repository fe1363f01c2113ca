//! Errors from parsing and validating the shared types.

use smol_str::SmolStr;
use snafu::Snafu;

/// Error returned when a text or value is not valid for one of the shared types.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is not 1 to 64 of `a-z`, `0-9`, `.`, `_` and `-`, or does not start with a letter
    /// or digit.
    #[snafu(display(
        "{found:?} is no {kind}: allowed are 1 to 64 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
    ))]
    Name {
        /// Kind of name that was expected, such as "class name".
        kind: &'static str,
        /// Text that was found, truncated to 80 characters.
        found: SmolStr,
    },
    /// The text could not be parsed as an identifier.
    #[snafu(display("{found:?} is no {kind}: allowed is {allowed}"))]
    Id {
        /// Kind of identifier that was expected, such as "submission id".
        kind: &'static str,
        /// Text that was found, truncated to 80 characters.
        found: SmolStr,
        /// Description of the expected format.
        allowed: &'static str,
    },
    /// The text could not be parsed as a quantity.
    #[snafu(display("{found:?} is no {kind}: allowed is a whole number followed by {unit:?}"))]
    Quantity {
        /// Kind of quantity that was expected, such as "size in bytes".
        kind: &'static str,
        /// Text that was found, truncated to 80 characters.
        found: SmolStr,
        /// Suffix of the expected unit, such as "ms".
        unit: &'static str,
    },
    /// The value of a field is outside the allowed range.
    #[snafu(display("{field} is {found}: allowed is {allowed}"))]
    Range {
        /// Name of the field, including its unit.
        field: &'static str,
        /// Value that was found, truncated to 80 characters.
        found: SmolStr,
        /// Description of the allowed range.
        allowed: &'static str,
    },
}

/// Maximum length of a caller's text that an error repeats, in characters.
const EXCERPT_CHARS: usize = 80;

/// Returns the first [`EXCERPT_CHARS`] characters of `text`.
fn excerpt(text: &str) -> SmolStr {
    text.chars().take(EXCERPT_CHARS).collect()
}

impl Error {
    /// Creates an error for a text that is not a valid name of the given kind.
    pub fn name(kind: &'static str, found: &str) -> Self {
        Error::Name {
            kind,
            found: excerpt(found),
        }
    }

    /// Creates an error for a text that is not a valid identifier of the given kind.
    pub fn id(kind: &'static str, found: &str, allowed: &'static str) -> Self {
        Error::Id {
            kind,
            found: excerpt(found),
            allowed,
        }
    }

    /// Creates an error for a text that is not a valid quantity with the given unit.
    pub fn quantity(kind: &'static str, found: &str, unit: &'static str) -> Self {
        Error::Quantity {
            kind,
            found: excerpt(found),
            unit,
        }
    }

    /// Creates an error for a field whose value is out of range.
    pub fn range(field: &'static str, found: impl ToString, allowed: &'static str) -> Self {
        Error::Range {
            field,
            found: excerpt(&found.to_string()),
            allowed,
        }
    }
}

/// Result of parsing or validating a value of a shared type.
pub type Result<T> = std::result::Result<T, Error>;
