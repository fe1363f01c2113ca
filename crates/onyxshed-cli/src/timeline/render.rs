//! Formats the time line, as a table that fits one screen or as JSON.

use std::collections::BTreeSet;
use std::fmt::Display;

use onyxshed_core::UnixMs;

use super::collapse::{Line, Reach, collapse};
use super::merge::{Gap, Merged, Missing};
use crate::args::TimelineArgs;
use crate::output::{Format, json, table};

/// Formats the time line for people or for programs.
pub fn render(merged: &Merged, args: &TimelineArgs, format: Format) -> String {
    match format {
        Format::Human => human(merged, args),
        Format::Json => json(merged),
    }
}

fn human(merged: &Merged, args: &TimelineArgs) -> String {
    let mut lines = collapse(&merged.events, Reach::Neighbours);
    if args.submission.is_some() && lines.len() > args.lines {
        lines = collapse(&merged.events, Reach::Anywhere);
    }
    let left_out = lines.len().saturating_sub(args.lines);
    let shown = &lines[left_out..];
    let mut text = String::new();
    if left_out > 0 {
        text.push_str(&format!(
            "{left_out} earlier lines left out; --lines shows more\n"
        ));
    }
    text.push_str(&match args.submission {
        Some(_) => one_submission(shown),
        None => many_submissions(shown),
    });
    let earliest = merged.events.first().map(|entry| entry.event.hlc.wall);
    for gap in &merged.gaps {
        text.push_str(&gap_line(gap, earliest));
    }
    text
}

fn one_submission(lines: &[Line]) -> String {
    let heads = ["TIME (UTC)", "PROCESS", "EVENT", "TASKS", "PARTY", "DETAIL"];
    let rows: Vec<Vec<String>> = lines.iter().map(cells).collect();
    table(&heads, &rows)
}

fn many_submissions(lines: &[Line]) -> String {
    let heads = [
        "TIME (UTC)",
        "PROCESS",
        "EVENT",
        "TASKS",
        "PARTY",
        "SUBMISSION",
        "CLASS",
        "DETAIL",
    ];
    let rows: Vec<Vec<String>> = lines.iter().map(cells_with_submission).collect();
    table(&heads, &rows)
}

fn cells(line: &Line) -> Vec<String> {
    vec![
        time_cell(line),
        line.process.to_string(),
        line.kind.to_string(),
        tasks_cell(line),
        some_of(&line.parties),
        line.detail.replace(char::is_control, " "),
    ]
}

fn cells_with_submission(line: &Line) -> Vec<String> {
    let mut cells = cells(line);
    let submission = line.submission.map_or_else(
        || line.job.to_string(),
        |submission| submission.ulid.to_string(),
    );
    let detail = cells.pop();
    cells.extend([submission, line.class.to_string()]);
    cells.extend(detail);
    cells
}

fn time_cell(line: &Line) -> String {
    let first = time_of_day(line.first.wall);
    match line.last.wall.since(line.first.wall).0 {
        0 => first,
        span_ms => format!("{first} +{span_ms}ms"),
    }
}

fn tasks_cell(line: &Line) -> String {
    match (line.tasks.first(), line.tasks.last()) {
        (Some(first), Some(last)) if first == last && line.count == 1 => first.to_string(),
        (Some(first), Some(last)) => format!("{first}-{last} ({}x)", line.count),
        _ => String::new(),
    }
}

/// Names the first of several items and counts the others.
fn some_of(things: &BTreeSet<impl Display + Ord>) -> String {
    match (things.first(), things.len()) {
        (None, _) => String::new(),
        (Some(first), 1) => first.to_string(),
        (Some(first), count) => format!("{first} +{}", count - 1),
    }
}

/// Describes a gap. Returns an empty text if the gap is before all events that are shown.
fn gap_line(gap: &Gap, earliest: Option<UnixMs>) -> String {
    let process = &gap.process;
    match &gap.missing {
        Missing::NoAnswer(reason) => {
            format!("gap: {process} does not answer, its events are missing ({reason})\n")
        }
        Missing::StartedAt(at) if earliest.is_some_and(|earliest| *at > earliest) => format!(
            "gap: {process} started at {}, nothing is known of it before\n",
            time_of_day(*at)
        ),
        Missing::StartedAt(_) => String::new(),
        Missing::Dropped(count) => {
            format!("gap: {process} dropped its {count} oldest events\n")
        }
        Missing::Unreadable(count) => format!("gap: {count} lines of {process} hold no event\n"),
        Missing::TooMany => format!("gap: {process} has older events that match, left out\n"),
    }
}

/// Formats the time of day in UTC, with milliseconds.
pub fn time_of_day(at: UnixMs) -> String {
    let of_day_ms = at.0 % 86_400_000;
    let (seconds, millis) = (of_day_ms / 1_000, of_day_ms % 1_000);
    let (minutes, second) = (seconds / 60, seconds % 60);
    let (hour, minute) = (minutes / 60, minutes % 60);
    format!("{hour:02}:{minute:02}:{second:02}.{millis:03}")
}
