//! Errors of reading a settings file.

use std::fmt::{self, Write};

use onyxshed_core::ResultCode;
use smol_str::SmolStr;
use snafu::Snafu;

use crate::position::Position;

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line and column in the file; faults are reported in this order.
    pub position: Position,
    /// The field's path, such as `log.level` or `processes[1].name`; empty for the whole file.
    pub path: SmolStr,
    /// The value found, as an excerpt of the file or a description.
    pub found: SmolStr,
    /// The allowed values, described in words for the report.
    pub allowed: SmolStr,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = match self.path.as_str() {
            "" => "the file",
            path => path,
        };
        let Fault {
            position,
            found,
            allowed,
            ..
        } = self;
        write!(f, "{position}: {path}: found {found}; allowed: {allowed}")
    }
}

/// The reason why settings can't be loaded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{file}: {reason}"))]
    Unreadable {
        /// The file's name as given.
        file: SmolStr,
        /// The operating system's or the decoder's error message, or the reason why the content is
        /// rejected as a whole, such as its size.
        reason: SmolStr,
    },
    /// The file has invalid, missing or unknown fields.
    #[snafu(display("{file}: {} in the settings", fault_count(faults.len())))]
    Invalid {
        /// The file's name as given.
        file: SmolStr,
        /// All faults, sorted by position.
        faults: Vec<Fault>,
    },
}

fn fault_count(faults: usize) -> SmolStr {
    match faults {
        1 => SmolStr::new_static("1 fault"),
        more => smol_str::format_smolstr!("{more} faults"),
    }
}

impl SettingsError {
    /// Creates an error for a file that can't be read.
    pub fn unreadable(file: &str, reason: impl ToString) -> Self {
        SettingsError::Unreadable {
            file: file.into(),
            reason: reason.to_string().into(),
        }
    }

    /// Creates an error from faults and sorts them by position.
    pub fn invalid(file: &str, mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| fault.position);
        SettingsError::Invalid {
            file: file.into(),
            faults,
        }
    }

    /// Returns the numbered result code: [`ResultCode::SettingsUnreadable`] or
    /// [`ResultCode::SettingsInvalid`].
    pub fn code(&self) -> ResultCode {
        match self {
            SettingsError::Unreadable { .. } => ResultCode::SettingsUnreadable,
            SettingsError::Invalid { .. } => ResultCode::SettingsInvalid,
        }
    }

    /// Returns the full report: the error, then one line for each fault, starting with
    /// `file:line:column`.
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

/// Result whose error says that a settings file is unreadable, or lists its faults.
pub type Result<T> = std::result::Result<T, SettingsError>;
