//! Formats an event as one line of the log.

use std::fmt::Write;

use onyxshed_core::Event;
use onyxshed_core::event::Level;
use onyxshed_settings::LogFormat;
use serde::Serialize;

#[derive(Serialize)]
struct JsonLine<'a> {
    level: &'static str,
    name: &'static str,
    #[serde(flatten)]
    event: &'a Event,
}

/// Formats an event as a line without a line end. In the human format the log's sink adds time and
/// level.
pub fn format(event: &Event, format: LogFormat) -> String {
    match format {
        LogFormat::Human => human(event),
        LogFormat::Json => json(event),
    }
}

fn json(event: &Event) -> String {
    let line = JsonLine {
        level: level_name(event.kind.level()),
        name: event.kind.name(),
        event,
    };
    serde_json::to_string(&line).expect("an event always serializes to JSON")
}

fn human(event: &Event) -> String {
    let mut line = event.kind.to_string();
    if let Some(submission) = &event.submission {
        let _ = write!(line, " submission={submission}");
    }
    if !event.request.is_empty() {
        let _ = write!(line, " request={}", without_control_chars(&event.request));
    }
    if !event.job.is_empty() {
        let _ = write!(line, " job={}", without_control_chars(&event.job));
    }
    if let Some(index) = event.task_index {
        let _ = write!(line, " task={index}");
    }
    if let Some(class) = &event.class {
        let _ = write!(line, " class={class}");
    }
    if !event.party.is_empty() {
        let _ = write!(line, " party={}", without_control_chars(&event.party));
    }
    if !event.detail.is_empty() {
        let _ = write!(line, ": {}", without_control_chars(&event.detail));
    }
    line
}

/// Replaces line ends and other control characters by spaces.
///
/// A text from a caller or upstream that contains a line end could otherwise forge a line of the
/// log.
fn without_control_chars(text: &str) -> String {
    text.replace(char::is_control, " ")
}

/// Returns the name of a level as it is written in JSON lines.
pub fn level_name(level: Level) -> &'static str {
    match level {
        Level::Debug => "debug",
        Level::Info => "info",
        Level::Warn => "warn",
        Level::Error => "error",
    }
}
