//! `onyxshed explain ID LOG...`: the outcome of a request and its cause, from the logs of all hosts.
//!
//! [`mod@select`] finds the lines that concern the request and those on the state of its hosts at the time,
//! [`cause`] derives the cause. No process is queried.

pub mod cause;
pub mod select;

use std::path::PathBuf;

use serde::Serialize;

use crate::error::{Error, Result};
use crate::logs::{LogLine, read_logs};
use crate::output::{Format, json, table};
use crate::timeline::render::time_of_day;
use cause::{Cause, cause_of};
use select::{RequestTrace, select};

/// The explanation of one request, as JSON.
#[derive(Debug, Serialize)]
struct Explanation<'a> {
    cause: Option<String>,
    look_next: &'static str,
    lines: Vec<&'a LogLine>,
    unreadable_lines: usize,
}

/// Explains the outcome of a request or a job, given its id.
pub fn run(id: &str, logs: &[PathBuf], format: Format) -> Result<String> {
    let logs = read_logs(logs)?;
    let trace = select(id, &logs.lines);
    if trace.lines.is_empty() {
        let item = format!("line about {id:?} in the logs");
        return Err(Error::NotFound { item: item.into() });
    }
    let cause = cause_of(&trace);
    Ok(match format {
        Format::Human => human(&trace, cause, logs.unreadable),
        Format::Json => json(&Explanation {
            cause: cause.as_ref().map(ToString::to_string),
            look_next: next_check(cause.as_ref()),
            lines: trace.lines,
            unreadable_lines: logs.unreadable,
        }),
    })
}

fn human(trace: &RequestTrace<'_>, cause: Option<Cause>, unreadable: usize) -> String {
    let headings = ["TIME (UTC)", "HOST", "EVENT", "TASK", "PARTY", "DETAIL"];
    let rows: Vec<Vec<String>> = trace.lines.iter().map(|line| cells(line)).collect();
    let mut text = table(&headings, &rows);
    if trace.omitted > 0 {
        text += &format!("{} more lines of context omitted\n", trace.omitted);
    }
    if unreadable > 0 {
        text += &format!("{unreadable} lines of the logs are no events\n");
    }
    let next = next_check(cause.as_ref());
    match cause {
        Some(cause) => text += &format!("cause: {cause}\n"),
        None => text += "cause: no answer to a caller is in the logs\n",
    }
    text + &format!("look next: {next}\n")
}

/// Returns the suggestion for an engineer about what to check next.
fn next_check(cause: Option<&Cause>) -> &'static str {
    match cause {
        Some(cause) => cause.next_check(),
        None => "the logs of the other hosts, and E607: lines may have been left out",
    }
}

fn cells(line: &LogLine) -> Vec<String> {
    let event = &line.event;
    let task = event
        .task_index
        .map_or_else(String::new, |index| index.to_string());
    vec![
        time_of_day(event.hlc.wall),
        line.host.to_string(),
        event.kind.to_string(),
        task,
        event.party.to_string(),
        event.detail.replace(char::is_control, " "),
    ]
}
