//! Reads log files as events.

use std::path::{Path, PathBuf};

use onyxshed_core::Event;
use serde::Serialize;
use smol_str::SmolStr;

use crate::error::{Error, Result};

/// A line of a log that contains an event.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LogLine {
    /// The host that wrote the line.
    pub host: SmolStr,
    /// The event parsed from the first `{` of the line on.
    #[serde(flatten)]
    pub event: Event,
}

/// The lines of all log files.
#[derive(Debug, Default)]
pub struct Logs {
    /// Lines with events, ordered by their hybrid logical clocks, which keep cause before effect even if a
    /// host's wall clock jumps back.
    pub lines: Vec<LogLine>,
    /// Number of lines that contain no event.
    pub unreadable: usize,
}

/// Reads log files and orders their lines by their clocks. Returns an error if a file can't be
/// read.
pub fn read_logs(files: &[PathBuf]) -> Result<Logs> {
    let mut logs = Logs::default();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|error| Error::Log {
            file: file.display().to_string().into(),
            reason: error.to_string().into(),
        })?;
        logs.add(&host_of(file), &text);
    }
    logs.lines.sort_by_key(|line| line.event.hlc);
    Ok(logs)
}

fn host_of(file: &Path) -> SmolStr {
    let stem = file.file_stem().unwrap_or_default();
    stem.to_string_lossy().into()
}

impl Logs {
    /// Adds the lines of a host's log.
    pub fn add(&mut self, host: &SmolStr, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match read_line(host, line) {
                Some(parsed) => self.lines.push(parsed),
                None => self.unreadable += 1,
            }
        }
    }
}

/// Parses a line. A log collector may have put a time and the host before the event; then the last word
/// before the event names the host.
fn read_line(host: &SmolStr, line: &str) -> Option<LogLine> {
    let begin = line.find('{')?;
    let (prefix, event) = line.split_at(begin);
    let host_word = prefix.split_whitespace().last();
    Some(LogLine {
        host: host_word.map_or_else(|| host.clone(), SmolStr::from),
        event: serde_json::from_str(event).ok()?,
    })
}
