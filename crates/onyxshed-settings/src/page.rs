//! The page docs/SETTINGS.md, written from the tables.

use std::fmt::Write;

use crate::field::{Fallback, Field, Kind};
use crate::kind::SettingsKind;

const HEAD: &str = "\
# Settings

Written from the tables in `crates/onyxshed-settings/src/tables.rs`; change those and run
`cargo run -p onyxshed-settings --example settings-page > docs/SETTINGS.md`. A test holds page and
tables together.

A settings file is one JSON object with comments (`//` and `/* */`) and trailing commas. It is
checked in full before a process opens anything: `onyxshed check FILE --kind entry`, or `--check` of
the process itself, does only this and exits with 2 if the file has a fault. Every fault is reported
as `file:line:column: field: found …; allowed: …`.

Numbers are whole, and their unit is part of the name: `_ms` milliseconds, `_bytes` bytes, `_per_s`
a second; others are counts. Addresses are IP numbers with a port; no two fields of a file may have
the same one (a list of peers may hold the process's own).
";

/// Writes the whole page.
pub fn page() -> String {
    let mut page = HEAD.to_owned();
    for kind in SettingsKind::ALL {
        let _ = write!(page, "\n## {}\n\n", title(*kind));
        page.push_str(&table("", kind.fields()));
        let _ = write!(page, "\n```jsonc\n{}```\n", sample(*kind));
    }
    page
}

/// Gets a file of a kind that shows it in use.
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
            default(field),
            unit(field.kind),
            field.kind.allowed(),
            field.text
        );
        match field.kind {
            Kind::Section(inner) => {
                rows.push_str(&table(&format!("{prefix}{}.", field.name), inner))
            }
            Kind::Sections(inner) => {
                rows.push_str(&table(&format!("{prefix}{}[].", field.name), inner));
            }
            _ => {}
        }
    }
    rows
}

fn default(field: &Field) -> String {
    match field.fallback {
        Fallback::Required => "required".to_owned(),
        Fallback::Number(number) => number.to_string(),
        Fallback::Word(word) => format!("`{word}`"),
        Fallback::Empty => "empty".to_owned(),
        Fallback::Absent => "none".to_owned(),
    }
}

fn unit(kind: Kind) -> String {
    match kind {
        Kind::Number { unit, .. } => unit.to_string(),
        _ => "-".to_owned(),
    }
}
