//! Log offsets and configuration revisions.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one, saturating at the maximum.
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                text.parse().map(Self).map_err(|_| Error::id($kind, text, "a whole number"))
            }
        }
    };
}

number_type!(
    /// Offset of a record in a stream of the platform's log.
    Offset,
    "offset"
);
number_type!(
    /// Revision of the configuration: the number of configuration changes accepted up to it. It
    /// never decreases.
    Revision,
    "revision"
);
