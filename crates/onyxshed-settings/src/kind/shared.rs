//! Settings that several kinds of files have in common.

use serde::{Deserialize, Serialize};

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// The lowest level that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// All events, including the steps of single requests.
    Debug,
    /// State changes, and all higher levels.
    #[default]
    Info,
    /// Handled failures, and all higher levels.
    Warn,
    /// Only events that require an operator's action.
    Error,
}

/// Format and lowest level of the lines that a process logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The format of log lines.
    pub format: LogFormat,
    /// The lowest level that is logged.
    pub level: LogLevel,
}
