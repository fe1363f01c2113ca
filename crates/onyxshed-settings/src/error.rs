//! What is wrong with a settings file.

use std::fmt::{self, Write};

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

use crate::place::Place;

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Where it is.
    pub place: Place,
    /// The field's path, such as `log.level` or `processes[1].name`; empty for the whole file.
    pub path: SmolStr,
    /// What was found.
    pub found: SmolStr,
    /// What is allowed.
    pub allowed: SmolStr,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = match self.path.as_str() {
            "" => "the file",
            path => path,
        };
        let Fault {
            place,
            found,
            allowed,
            ..
        } = self;
        write!(f, "{place}: {path}: found {found}; allowed: {allowed}")
    }
}

/// Why a settings file can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{file}: {reason}"))]
    Unreadable {
        /// The file's name as given.
        file: SmolStr,
        /// The system's words.
        reason: SmolStr,
    },
    /// The file holds wrong values.
    #[snafu(display("{file}: {} in the settings", count(faults.len())))]
    Invalid {
        /// The file's name as given.
        file: SmolStr,
        /// Every fault, in order of place.
        faults: Vec<Fault>,
    },
}

fn count(faults: usize) -> SmolStr {
    match faults {
        1 => SmolStr::new_static("1 fault"),
        more => smol_str::format_smolstr!("{more} faults"),
    }
}

impl SettingsError {
    /// Makes an error for a file that can't be read.
    pub fn unreadable(file: &str, reason: impl ToString) -> Self {
        SettingsError::Unreadable {
            file: file.into(),
            reason: reason.to_string().into(),
        }
    }

    /// Makes an error for faults found, which it sorts by place.
    pub fn invalid(file: &str, mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| fault.place);
        SettingsError::Invalid {
            file: file.into(),
            faults,
        }
    }

    /// Gets the numbered code.
    pub fn code(&self) -> ResultCode {
        match self {
            SettingsError::Unreadable { .. } => ResultCode::SettingsUnreadable,
            SettingsError::Invalid { .. } => ResultCode::SettingsInvalid,
        }
    }

    /// Writes the whole explanation, one line a fault, each starting with `file:line:column`.
    pub fn explain(&self) -> String {
        let mut text = format!("error {}: {self}", self.code());
        if let SettingsError::Invalid { file, faults } = self {
            for fault in faults {
                let _ = write!(text, "\n  {file}:{fault}");
            }
        }
        text
    }
}

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;
