//! Errors in parsing the text forms of this crate's types.

use smol_str::SmolStr;
use snafu::Snafu;

/// Error in parsing the text form of a value.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text does not have the expected form.
    #[snafu(display("{text:?} is no {kind}: {allowed}"))]
    Id {
        /// Kind of value that was expected.
        kind: &'static str,
        /// Text that was parsed.
        text: SmolStr,
        /// Form that was expected.
        allowed: &'static str,
    },
}

/// Result of parsing the text form of a value.
pub type Result<T> = std::result::Result<T, Error>;
