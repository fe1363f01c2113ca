//! Shows targets, and the changes on the log.

use onyxshed_core::{ChangeId, ClassName, ClassTarget, Offset, ResultCode, Revision, UnixMs};
use onyxshed_state::ChangeOutcome;
use onyxshed_wire::record::ChangeBody;
use serde::Serialize;
use smol_str::format_smolstr;

use super::log::{ConfigLog, LoggedChange, RecordOutcome};
use crate::args::PlatformArgs;
use crate::error::{Error, Result};
use crate::output::{Format, json, table};
use crate::progress::Progress;
use crate::span;

#[derive(Serialize)]
struct Targets<'a> {
    revision: Revision,
    classes: Vec<&'a ClassTarget>,
}

#[derive(Serialize)]
struct History<'a> {
    changes: Vec<Change<'a>>,
    /// Number of records that can't be decoded; every reader ignores the same ones.
    unreadable: u64,
}

#[derive(Serialize)]
struct ExpiredChange {
    change_id: ChangeId,
    fate: &'static str,
    revision: Revision,
}

#[derive(Serialize)]
struct Change<'a> {
    offset: Offset,
    at_ms: UnixMs,
    change_id: ChangeId,
    based_on: Revision,
    body: &'a ChangeBody,
    fate: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
}

/// Shows every target, or that of one class.
pub async fn show(
    platform: PlatformArgs,
    class: Option<ClassName>,
    format: Format,
) -> Result<String> {
    let mut log = ConfigLog::new(platform);
    let progress = Progress::new("the platform's log");
    progress.during(log.read_all()).await?;
    let config = log.fold().config();
    let wanted = |target: &&ClassTarget| class.as_ref().is_none_or(|class| target.class == *class);
    let classes: Vec<&ClassTarget> = config.classes.values().filter(wanted).collect();
    if let (Some(class), true) = (&class, classes.is_empty()) {
        return Err(Error::NotFound {
            item: format_smolstr!("class {class} in revision {}", config.revision),
        });
    }
    let revision = config.revision;
    Ok(match format {
        Format::Json => json(&Targets { revision, classes }),
        Format::Human => format!("revision {revision}\n{}", targets_table(&classes)),
    })
}

fn targets_table(classes: &[&ClassTarget]) -> String {
    let rows: Vec<Vec<String>> = classes
        .iter()
        .map(|target| {
            vec![
                target.class.to_string(),
                target.upstream.to_string(),
                span::display(target.finish_within_ms),
                yes_or_no(target.may_run_twice).to_owned(),
            ]
        })
        .collect();
    table(
        &["CLASS", "UPSTREAM", "FINISH WITHIN", "MAY RUN TWICE"],
        &rows,
    )
}

/// Shows the changes that the log still contains, optionally only those of one class or with one id.
pub async fn history(
    platform: PlatformArgs,
    class: Option<ClassName>,
    change: Option<ChangeId>,
    format: Format,
) -> Result<String> {
    let log = read_remaining(platform).await?;
    let is_wanted = |entry: &&LoggedChange| {
        class
            .as_ref()
            .is_none_or(|class| class_of(&entry.change.body) == class)
            && change.is_none_or(|change| entry.change.change_id == change)
    };
    let all = log.changes();
    let changes: Vec<&LoggedChange> = all.iter().filter(is_wanted).collect();
    if let (Some(change), true) = (change, changes.is_empty()) {
        return show_expired(&log, change, format);
    }
    let unreadable = log.fold().counts().unreadable;
    Ok(match format {
        Format::Json => json(&History {
            changes: changes.iter().map(|entry| as_json(entry)).collect(),
            unreadable,
        }),
        Format::Human => history_table(&changes) + &unreadable_line(unreadable),
    })
}

/// Reads the log even if it has lost records, since the remaining records are useful too.
async fn read_remaining(platform: PlatformArgs) -> Result<ConfigLog> {
    let mut log = ConfigLog::new(platform);
    let progress = Progress::new("the platform's log");
    match progress.during(log.read_all()).await {
        Ok(()) | Err(Error::ConfigIncomplete) => Ok(log),
        Err(error) => Err(error),
    }
}

/// Shows the outcome of a change whose record is no longer on the log, which a snapshot may contain.
fn show_expired(log: &ConfigLog, change_id: ChangeId, format: Format) -> Result<String> {
    match log.fold().find_change(change_id) {
        ChangeOutcome::Accepted(revision) => Ok(match format {
            Format::Json => json(&ExpiredChange {
                change_id,
                fate: "accepted",
                revision,
            }),
            Format::Human => {
                format!("change {change_id} made revision {revision}; its record has expired\n")
            }
        }),
        _ if !log.fold().is_complete() => Err(Error::ConfigIncomplete),
        _ => Err(Error::ChangeNotSeen { change_id }),
    }
}

fn unreadable_line(count: u64) -> String {
    match count {
        0 => String::new(),
        count => format!(
            "{count} records can't be read and are ignored by all (error {})\n",
            ResultCode::RecordIgnored
        ),
    }
}

fn history_table(changes: &[&LoggedChange]) -> String {
    let rows: Vec<Vec<String>> = changes
        .iter()
        .map(|entry| {
            let change = &entry.change;
            vec![
                entry.offset.to_string(),
                change.change_id.to_string(),
                change.based_on.to_string(),
                describe_outcome(entry.outcome),
                describe_body(&change.body),
            ]
        })
        .collect();
    table(&["OFFSET", "CHANGE", "BASED ON", "FATE", "WHAT"], &rows)
}

fn as_json(entry: &LoggedChange) -> Change<'_> {
    let (fate, revision) = match entry.outcome {
        RecordOutcome::Accepted(revision) => ("accepted", Some(revision)),
        RecordOutcome::Raced(_) => ("raced", None),
        RecordOutcome::Ignored => ("ignored", None),
        RecordOutcome::Duplicate(revision) => ("copy", Some(revision)),
        RecordOutcome::Undetermined => ("unjudged", None),
    };
    Change {
        offset: entry.offset,
        at_ms: entry.at,
        change_id: entry.change.change_id,
        based_on: entry.change.based_on,
        body: &entry.change.body,
        fate,
        revision,
    }
}

fn describe_outcome(outcome: RecordOutcome) -> String {
    match outcome {
        RecordOutcome::Accepted(revision) => format!("revision {revision}"),
        RecordOutcome::Raced(found) => format!("raced, found {found}"),
        RecordOutcome::Ignored => "ignored, violates a rule".to_owned(),
        RecordOutcome::Duplicate(revision) => format!("copy, revision {revision}"),
        RecordOutcome::Undetermined => "undetermined, records are lost".to_owned(),
    }
}

fn describe_body(body: &ChangeBody) -> String {
    match body {
        ChangeBody::Remove(class) => format!("remove {class}"),
        ChangeBody::Put(target) => format!(
            "put {} on {} within {}{}",
            target.class,
            target.upstream,
            span::display(target.finish_within_ms),
            if target.may_run_twice {
                ", may run twice"
            } else {
                ""
            }
        ),
    }
}

fn class_of(body: &ChangeBody) -> &ClassName {
    match body {
        ChangeBody::Put(target) => &target.class,
        ChangeBody::Remove(class) => class,
    }
}

fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
