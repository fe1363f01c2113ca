//! `onyxshed status`: shows the status of every process, or why it did not answer.

use onyxshed_core::ResultCode;
use onyxshed_wire::admin::Status;
use serde::Serialize;
use smol_str::SmolStr;

use crate::args::ProcessArgs;
use crate::output::{Format, json, table};
use crate::query::{ProcessReply, query_status};
use crate::run::CommandOutput;
use crate::span;

#[derive(Serialize)]
struct Row<'a> {
    name: &'a SmolStr,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<&'a Status>,
    #[serde(skip_serializing_if = "Option::is_none")]
    no_answer: Option<&'a SmolStr>,
}

/// Queries every process and formats their status. The output is marked as incomplete if a process
/// did not answer.
pub async fn run(args: &ProcessArgs, format: Format) -> CommandOutput {
    let replies = query_status(&args.processes, args.timeout_ms.into()).await;
    let is_complete = replies.iter().all(|reply| reply.answer.is_ok());
    CommandOutput {
        text: render(&replies, format),
        incomplete: (!is_complete).then_some(ResultCode::PeerUnreachable),
    }
}

/// Formats the status of every process.
pub fn render(replies: &[ProcessReply<Status>], format: Format) -> String {
    match format {
        Format::Human => human(replies),
        Format::Json => {
            let rows: Vec<Row<'_>> = replies.iter().map(row).collect();
            json(&rows)
        }
    }
}

fn row(reply: &ProcessReply<Status>) -> Row<'_> {
    Row {
        name: &reply.process,
        status: reply.answer.as_ref().ok(),
        no_answer: reply.answer.as_ref().err(),
    }
}

fn human(replies: &[ProcessReply<Status>]) -> String {
    let headings = [
        "NAME", "PROCESS", "HOST", "STATE", "REVISION", "UPTIME", "VERSION", "BOOT",
    ];
    let rows: Vec<Vec<String>> = replies.iter().map(cells).collect();
    let mut text = table(&headings, &rows);
    for reply in replies {
        match &reply.answer {
            Ok(status) => text.push_str(&details(&reply.process, status)),
            Err(reason) => {
                let code = ResultCode::PeerUnreachable;
                text.push_str(&format!("{}: error {code}: {reason}\n", reply.process));
            }
        }
    }
    text
}

fn cells(reply: &ProcessReply<Status>) -> Vec<String> {
    let name = reply.process.to_string();
    match &reply.answer {
        Err(_) => vec![name, "-".into(), "-".into(), "no answer".into()],
        Ok(status) => vec![
            name,
            status.process.to_string(),
            status.host.to_string(),
            state(status),
            status
                .config_revision
                .map_or_else(|| "-".to_owned(), |revision| revision.to_string()),
            span::display_rounded(status.uptime_ms),
            status.version.to_string(),
            status.boot.to_string(),
        ],
    }
}

fn state(status: &Status) -> String {
    match &status.why_not_ready {
        None => "ready".to_owned(),
        Some(reason) => reason.to_string(),
    }
}

/// Formats the figures specific to the kind of process (`details`) as one line; empty if there are
/// none.
fn details(name: &str, status: &Status) -> String {
    let Some(details) = status.details.as_object() else {
        return String::new();
    };
    let figures: Vec<String> = details
        .iter()
        .map(|(key, value)| match value.as_str() {
            Some(text) => format!("{key}={text}"),
            None => format!("{key}={value}"),
        })
        .collect();
    match figures.is_empty() {
        true => String::new(),
        false => format!("{name}: {}\n", figures.join(" ")),
    }
}
