//! Formats the time line, as a table that fits one screen or as JSON.

use std::collections::BTreeSet;
use std::fmt::Display;

use onyxshed_core::UnixMs;

use super::collapse::{CollapseScope, Line, collapse};
use super::merge::{Gap, GapReason, Timeline};
use crate::args::TimelineArgs;
use crate::output::{Format, json, table};

/// Formats the time line for people or for programs.
pub fn render(timeline: &Timeline, args: &TimelineArgs, format: Format) -> String {
    match format {
        Format::Human => human(timeline, args),
        Format::Json => json(timeline),
    }
}

fn human(timeline: &Timeline, args: &TimelineArgs) -> String {
    let mut lines = collapse(&timeline.events, CollapseScope::Neighbours);
    if args.submission.is_some() && lines.len() > args.lines {
        lines = collapse(&timeline.events, CollapseScope::Anywhere);
    }
    let omitted = lines.len().saturating_sub(args.lines);
    let shown = &lines[omitted..];
    let mut text = String::new();
    if omitted > 0 {
        text.push_str(&format!(
            "{omitted} earlier lines omitted; --lines shows more\n"
        ));
    }
    text.push_str(&match args.submission {
        Some(_) => one_submission(shown),
        None => many_submissions(shown),
    });
    let earliest = timeline.events.first().map(|entry| entry.event.hlc.wall);
    for gap in &timeline.gaps {
        text.push_str(&gap_line(gap, earliest));
    }
    text
}

fn one_submission(lines: &[Line]) -> String {
    let headings = ["TIME (UTC)", "PROCESS", "EVENT", "TASKS", "PARTY", "DETAIL"];
    let rows: Vec<Vec<String>> = lines.iter().map(cells).collect();
    table(&headings, &rows)
}

fn many_submissions(lines: &[Line]) -> String {
    let headings = [
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
    table(&headings, &rows)
}

fn cells(line: &Line) -> Vec<String> {
    vec![
        time_cell(line),
        line.process.to_string(),
        line.kind.to_string(),
        tasks_cell(line),
        first_and_count(&line.parties),
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
fn first_and_count(items: &BTreeSet<impl Display + Ord>) -> String {
    match (items.first(), items.len()) {
        (None, _) => String::new(),
        (Some(first), 1) => first.to_string(),
        (Some(first), count) => format!("{first} +{}", count - 1),
    }
}

/// Describes a gap. Returns an empty text for the start of a process, unless the process started
/// after the first event that is shown.
fn gap_line(gap: &Gap, earliest: Option<UnixMs>) -> String {
    let process = &gap.process;
    match &gap.missing {
        GapReason::NoAnswer(reason) => {
            format!("gap: {process} does not answer, its events are missing ({reason})\n")
        }
        GapReason::StartedAt(at) if earliest.is_some_and(|earliest| *at > earliest) => format!(
            "gap: {process} started at {}, its earlier events are missing\n",
            time_of_day(*at)
        ),
        GapReason::StartedAt(_) => String::new(),
        GapReason::Dropped(count) => {
            format!("gap: {process} dropped its {count} oldest events\n")
        }
        GapReason::Unreadable(count) => {
            format!("gap: {count} lines of {process} contain no event\n")
        }
        GapReason::TooMany => {
            format!("gap: {process} has older matching events, which are omitted\n")
        }
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
