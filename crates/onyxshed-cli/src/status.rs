//! `onyxshed status`: shows the status of every process, or why it did not answer.

use onyxshed_core::ResultCode;
use onyxshed_wire::admin::Status;
use serde::Serialize;
use smol_str::SmolStr;

use crate::args::ProcessArgs;
use crate::ask::{Asked, ask_status};
use crate::output::{Format, json, table};
use crate::run::Said;
use crate::span;

#[derive(Serialize)]
struct Row<'a> {
    name: &'a SmolStr,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<&'a Status>,
    #[serde(skip_serializing_if = "Option::is_none")]
    no_answer: Option<&'a SmolStr>,
}

/// Queries every process and shows their status.
pub async fn run(ask: &ProcessArgs, format: Format) -> Said {
    let asked = ask_status(&ask.processes, ask.timeout_ms.into()).await;
    let is_whole = asked.iter().all(|asked| asked.answer.is_ok());
    Said {
        text: render(&asked, format),
        partly: (!is_whole).then_some(ResultCode::PeerUnreachable),
    }
}

/// Formats the status of every process.
pub fn render(asked: &[Asked<Status>], format: Format) -> String {
    match format {
        Format::Human => human(asked),
        Format::Json => {
            let rows: Vec<Row<'_>> = asked.iter().map(row).collect();
            json(&rows)
        }
    }
}

fn row(asked: &Asked<Status>) -> Row<'_> {
    Row {
        name: &asked.process,
        status: asked.answer.as_ref().ok(),
        no_answer: asked.answer.as_ref().err(),
    }
}

fn human(asked: &[Asked<Status>]) -> String {
    let heads = [
        "NAME", "PROCESS", "HOST", "STATE", "REVISION", "UPTIME", "VERSION", "BOOT",
    ];
    let rows: Vec<Vec<String>> = asked.iter().map(cells).collect();
    let mut text = table(&heads, &rows);
    for asked in asked {
        match &asked.answer {
            Ok(status) => text.push_str(&details(&asked.process, status)),
            Err(reason) => {
                let code = ResultCode::PeerUnreachable;
                text.push_str(&format!("{}: error {code}: {reason}\n", asked.process));
            }
        }
    }
    text
}

fn cells(asked: &Asked<Status>) -> Vec<String> {
    let name = asked.process.to_string();
    match &asked.answer {
        Err(_) => vec![name, "-".into(), "-".into(), "no answer".into()],
        Ok(status) => vec![
            name,
            status.process.to_string(),
            status.host.to_string(),
            state(status),
            status
                .config_revision
                .map_or_else(|| "-".to_owned(), |revision| revision.to_string()),
            span::rough(status.uptime_ms),
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

/// Formats the process's own figures as one line.
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
