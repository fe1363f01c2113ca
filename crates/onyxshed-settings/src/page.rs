//! Generates the page docs/SETTINGS.md from the tables of fields.

use std::fmt::Write;

use crate::field::{Fallback, Field, FieldKind};
use crate::kind::SettingsKind;

const HEAD: &str = "\
# Settings

Generated from the tables in `crates/onyxshed-settings/src/tables.rs`; after a change to these, run
`cargo run -p onyxshed-settings --example settings-page > docs/SETTINGS.md`. A test checks that the
page matches the tables.

A settings file is one JSON object with comments (`//` and `/* */`) and trailing commas. It is
checked in full before a process opens anything: `onyxshed check FILE --kind entry`, or `--check` of
the process itself, only checks the file and exits with 2 if it has a fault. Every fault is reported
as `file:line:column: field: found …; allowed: …`.

Numbers are whole, and their unit is part of the name: `_ms` milliseconds, `_bytes` bytes, `_per_s`
per second; other numbers are counts. Addresses are IP addresses with a port; no two fields of a file
may have the same one (but a list of peers may contain the process's own).
";

/// Returns the whole text of docs/SETTINGS.md.
pub fn page() -> String {
    let mut page = HEAD.to_owned();
    for kind in SettingsKind::ALL {
        let _ = write!(page, "\n## {}\n\n", title(*kind));
        page.push_str(&table("", kind.fields()));
        let _ = write!(page, "\n```jsonc\n{}```\n", sample(*kind));
    }
    page
}

/// Returns the text of the sample file of a kind, which docs/SETTINGS.md contains.
pub fn sample(kind: SettingsKind) -> &'static str {
    match kind {
        SettingsKind::Entry => include_str!("../samples/entry.jsonc"),
        SettingsKind::Control => include_str!("../samples/control.jsonc"),
        SettingsKind::Operator => include_str!("../samples/operator.jsonc"),
    }
}

fn title(kind: SettingsKind) -> &'static str {
    match kind {
        SettingsKind::Entry => "Entry: `onyxshed-entry`",
        SettingsKind::Control => "Control: `onyxshed-control`",
        SettingsKind::Operator => "Operator: the command line `onyxshed`",
    }
}

fn table(prefix: &str, fields: &[Field]) -> String {
    let mut rows = String::new();
    if prefix.is_empty() {
        rows.push_str("| field | default | unit | allowed | meaning |\n");
        rows.push_str("|---|---|---|---|---|\n");
    }
    for field in fields {
        let _ = writeln!(
            rows,
            "| `{prefix}{}` | {} | {} | {} | {} |",
            field.name,
            default_cell(field),
            unit_cell(field.kind),
            field.kind.allowed(),
            field.description
        );
        match field.kind {
            FieldKind::Section(inner) => {
                rows.push_str(&table(&format!("{prefix}{}.", field.name), inner))
            }
            FieldKind::Sections(inner) => {
                rows.push_str(&table(&format!("{prefix}{}[].", field.name), inner));
            }
            _ => {}
        }
    }
    rows
}

fn default_cell(field: &Field) -> String {
    match field.fallback {
        Fallback::Required => "required".to_owned(),
        Fallback::Number(number) => number.to_string(),
        Fallback::Word(word) => format!("`{word}`"),
        Fallback::Empty => "empty".to_owned(),
        Fallback::Absent => "none".to_owned(),
    }
}

fn unit_cell(kind: FieldKind) -> String {
    match kind {
        FieldKind::Number { unit, .. } => unit.to_string(),
        _ => "-".to_owned(),
    }
}
