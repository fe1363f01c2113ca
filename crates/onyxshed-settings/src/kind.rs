//! The kinds of settings files and the settings they are read into.

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
pub use entry::{CallerShareMode, EntrySettings, Placement, ReturnPlanMode};
pub use operator::{OperatorSettings, ProcessAddress};
pub use shared::{LogFormat, LogLevel, LogSettings};

/// The kind of a settings file, given by the process that reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsKind {
    /// Read by `onyxshed-entry`.
    Entry,
    /// Read by `onyxshed-control`.
    Control,
    /// Read by the command line `onyxshed`.
    Operator,
}

impl SettingsKind {
    /// All kinds, in the order of the settings page.
    pub const ALL: &'static [SettingsKind] = &[
        SettingsKind::Entry,
        SettingsKind::Control,
        SettingsKind::Operator,
    ];

    /// Returns the kind's name, as the command line accepts it.
    pub fn as_str(self) -> &'static str {
        match self {
            SettingsKind::Entry => "entry",
            SettingsKind::Control => "control",
            SettingsKind::Operator => "operator",
        }
    }

    /// Returns the kind's table of fields.
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

/// A fault of a field whose value is invalid only in combination with those of other fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrossFault {
    /// The field at which the fault is reported.
    pub field: &'static str,
    /// The allowed values, given the other fields.
    pub allowed: SmolStr,
}

/// Settings that can be loaded from a file.
pub trait Settings: DeserializeOwned {
    /// The kind of file they are read from.
    const KIND: SettingsKind;

    /// Checks fields against each other. Returns all faults found.
    fn cross_check(&self) -> Vec<CrossFault>;
}

/// Returns a fault of `field` if `holds` is false.
pub(crate) fn require(
    holds: bool,
    field: &'static str,
    allowed: impl FnOnce() -> SmolStr,
) -> Option<CrossFault> {
    (!holds).then(|| CrossFault {
        field,
        allowed: allowed(),
    })
}
