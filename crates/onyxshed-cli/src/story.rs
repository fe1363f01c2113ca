//! `onyxshed explain ID LOG...`: the outcome of a request and its cause, from the logs of all hosts.
//!
//! [`select`] finds the lines that concern the request and those on the state of its hosts at the time,
//! [`cause`] derives the cause. No process is queried.

pub mod cause;
pub mod select;

use std::path::PathBuf;

use serde::Serialize;

use crate::error::{Error, Result};
use crate::logs::{Logged, read_logs};
use crate::output::{Format, json, table};
use crate::timeline::render::time_of_day;
use cause::{Cause, cause_of};
use select::{Story, select};

/// The explanation of one request, as JSON.
#[derive(Debug, Serialize)]
struct Told<'a> {
    cause: Option<String>,
    look_next: &'static str,
    lines: Vec<&'a Logged>,
    unreadable_lines: usize,
}

/// Explains the outcome of a request or a job, given its id.
pub fn run(id: &str, logs: &[PathBuf], format: Format) -> Result<String> {
    let logs = read_logs(logs)?;
    let story = select(id, &logs.lines);
    if story.lines.is_empty() {
        let what = format!("line about {id:?} in the logs");
        return Err(Error::NotFound { what: what.into() });
    }
    let cause = cause_of(&story);
    Ok(match format {
        Format::Human => human(&story, cause, logs.unreadable),
        Format::Json => json(&Told {
            cause: cause.as_ref().map(ToString::to_string),
            look_next: look_next(cause.as_ref()),
            lines: story.lines,
            unreadable_lines: logs.unreadable,
        }),
    })
}

fn human(story: &Story<'_>, cause: Option<Cause>, unreadable: usize) -> String {
    let heads = ["TIME (UTC)", "HOST", "EVENT", "TASK", "PARTY", "DETAIL"];
    let rows: Vec<Vec<String>> = story.lines.iter().map(|line| cells(line)).collect();
    let mut text = table(&heads, &rows);
    if story.left_out > 0 {
        text += &format!("{} more lines on beliefs left out\n", story.left_out);
    }
    if unreadable > 0 {
        text += &format!("{unreadable} lines of the logs are no events\n");
    }
    let next = look_next(cause.as_ref());
    match cause {
        Some(cause) => text += &format!("cause: {cause}\n"),
        None => text += "cause: no answer to a caller is in the logs\n",
    }
    text + &format!("look next: {next}\n")
}

fn look_next(cause: Option<&Cause>) -> &'static str {
    match cause {
        Some(cause) => cause.look_next(),
        None => "the logs of the other hosts, and E607: lines may have been left out",
    }
}

fn cells(line: &Logged) -> Vec<String> {
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
