//! Overload as a state of a pool, and what an overloaded pool admits.

use std::fmt;
use std::str::FromStr;

use onyxshed_core::{CallerId, Millis, Share};

use crate::error::Error;
use crate::id::ClassId;

/// Whether a pool can serve the load that it is offered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverloadState {
    /// Jobs wait briefly or not at all.
    #[default]
    Normal,
    /// More is offered than the executors can do in time.
    Overloaded,
    /// The owner's host lacks the processor time to serve what is offered.
    Saturated,
}

impl OverloadState {
    /// All states. The index of a state in this array is its encoding on the wire.
    pub const ALL: [OverloadState; 3] = [
        OverloadState::Normal,
        OverloadState::Overloaded,
        OverloadState::Saturated,
    ];
}

impl fmt::Display for OverloadState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OverloadState::Normal => "normal",
            OverloadState::Overloaded => "overloaded",
            OverloadState::Saturated => "saturated",
        })
    }
}

/// Whether overload decisions take effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OverloadMode {
    /// The state of overload is not evaluated.
    #[default]
    Off,
    /// Decisions are logged and counted, but have no effect.
    Shadow,
    /// Decisions take effect.
    On,
}

impl fmt::Display for OverloadMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OverloadMode::Off => "off",
            OverloadMode::Shadow => "shadow",
            OverloadMode::On => "on",
        })
    }
}

impl FromStr for OverloadMode {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "off" => Ok(OverloadMode::Off),
            "shadow" => Ok(OverloadMode::Shadow),
            "on" => Ok(OverloadMode::On),
            _ => Err(Error::Id {
                kind: "overload mode",
                text: text.into(),
                allowed: "off, shadow or on",
            }),
        }
    }
}

/// What a pool admits of a class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassAdmission {
    /// The class.
    pub class: ClassId,
    /// Share of the class's arriving jobs that is admitted.
    pub admitted: Share,
    /// Expected wait of an admitted job until its first task starts.
    pub wait: Millis,
}

/// What a pool admits of a caller that has used more than its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimit {
    /// The caller.
    pub caller: CallerId,
    /// Share of the caller's arriving jobs that is admitted.
    pub admitted: Share,
}
