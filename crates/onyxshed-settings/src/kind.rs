//! The kinds of settings files.

mod control;
mod entry;
mod operator;
mod shared;

use std::fmt;
use std::str::FromStr;

use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::field::Field;
use crate::tables;

pub use control::ControlSettings;
pub use entry::{EntrySettings, Placement};
pub use operator::{OperatorSettings, ProcessAddress};
pub use shared::{LogFormat, LogLevel, LogSettings};

/// Which process a file is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsKind {
    /// `onyxshed-entry`.
    Entry,
    /// `onyxshed-control`.
    Control,
    /// The command line `onyxshed`.
    Operator,
}

impl SettingsKind {
    /// Every kind.
    pub const ALL: &'static [SettingsKind] = &[
        SettingsKind::Entry,
        SettingsKind::Control,
        SettingsKind::Operator,
    ];

    /// Gets the word for the kind.
    pub fn as_str(self) -> &'static str {
        match self {
            SettingsKind::Entry => "entry",
            SettingsKind::Control => "control",
            SettingsKind::Operator => "operator",
        }
    }

    /// Gets the kind's table of fields.
    pub fn fields(self) -> &'static [Field] {
        match self {
            SettingsKind::Entry => tables::ENTRY,
            SettingsKind::Control => tables::CONTROL,
            SettingsKind::Operator => tables::OPERATOR,
        }
    }
}

impl fmt::Display for SettingsKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for SettingsKind {
    type Err = onyxshed_core::Error;

    fn from_str(text: &str) -> onyxshed_core::Result<Self> {
        let mut kinds = Self::ALL.iter().copied();
        kinds
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| onyxshed_core::Error::id("kind", text, "entry, control or operator"))
    }
}

/// A fault that only shows when fields are looked at together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrossFault {
    /// The field that it is reported at.
    pub field: &'static str,
    /// What is allowed, given the other fields.
    pub allowed: SmolStr,
}

/// Settings that can be loaded from a file.
pub trait Settings: DeserializeOwned {
    /// Which process they are for.
    const KIND: SettingsKind;

    /// Checks fields against each other.
    fn cross_check(&self) -> Vec<CrossFault>;
}

/// Makes a fault unless the rule holds.
pub(crate) fn expect(
    holds: bool,
    field: &'static str,
    allowed: impl FnOnce() -> SmolStr,
) -> Option<CrossFault> {
    (!holds).then(|| CrossFault {
        field,
        allowed: allowed(),
    })
}
