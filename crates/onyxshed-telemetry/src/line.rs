//! An event as one line of the log.

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

/// Writes an event as a line without its end; people's lines get time and level from the sink.
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
    serde_json::to_string(&line).expect("events hold only what JSON can write")
}

fn human(event: &Event) -> String {
    let mut line = event.kind.to_string();
    if let Some(submission) = &event.submission {
        let _ = write!(line, " submission={submission}");
    }
    if !event.request.is_empty() {
        let _ = write!(line, " request={}", on_one_line(&event.request));
    }
    if !event.job.is_empty() {
        let _ = write!(line, " job={}", on_one_line(&event.job));
    }
    if let Some(index) = event.task_index {
        let _ = write!(line, " task={index}");
    }
    if let Some(class) = &event.class {
        let _ = write!(line, " class={class}");
    }
    if !event.party.is_empty() {
        let _ = write!(line, " party={}", on_one_line(&event.party));
    }
    if !event.detail.is_empty() {
        let _ = write!(line, ": {}", on_one_line(&event.detail));
    }
    line
}

/// Replaces line ends and other control characters.
///
/// Failure guarded against: a text from a caller or upstream that holds a line end forges a line of
/// the log. Without control characters, one event stays one line.
fn on_one_line(text: &str) -> String {
    text.replace(char::is_control, " ")
}

/// Gets a level's word.
pub fn level_name(level: Level) -> &'static str {
    match level {
        Level::Debug => "debug",
        Level::Info => "info",
        Level::Warn => "warn",
        Level::Error => "error",
    }
}
