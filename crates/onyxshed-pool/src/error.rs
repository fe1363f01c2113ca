//! Errors of reading identifiers.

use smol_str::SmolStr;
use snafu::Snafu;

/// What is wrong with a text.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is no id.
    #[snafu(display("{text:?} is no {kind}: {allowed}"))]
    Id {
        /// What it should be.
        kind: &'static str,
        /// The text.
        text: SmolStr,
        /// What is allowed.
        allowed: &'static str,
    },
}

/// Result of reading an identifier.
pub type Result<T> = std::result::Result<T, Error>;
