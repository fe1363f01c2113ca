//! Parts that several kinds of files share.

use serde::{Deserialize, Serialize};

/// How log lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// The quietest level that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Every event.
    Debug,
    /// Changes of state and worse.
    #[default]
    Info,
    /// Handled failures and worse.
    Warn,
    /// Only what needs a person.
    Error,
}

/// The log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// How lines are written.
    pub format: LogFormat,
    /// The quietest level that is logged.
    pub level: LogLevel,
}
