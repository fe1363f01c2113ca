//! The catalogues of result codes and events: explains one number, or writes a whole page.

use std::fmt::Write;

use onyxshed_core::event::Level;
use onyxshed_core::{EventKind, ResultCode};
use serde::Serialize;

use crate::error::{Error, Result};
use crate::exit::exit_number;
use crate::output::{Format, json};

const CODES_HEAD: &str = "\
# Result codes

Written from `crates/onyxshed-core/src/code.rs`; change that and run
`cargo run -p onyxshed-cli --example catalogue-page -- codes > docs/RESULT-CODES.md`. A test holds
page and code together.

The first digit tells the outcome: 1 complete, 2 failed, 3 not run, 4 unknown; 5 is for errors of
processes and commands. Only \"not run\" invites a repeat. The same text comes from
`onyxshed explain NUMBER`.
";

const EVENTS_HEAD: &str = "\
# Events

Written from `crates/onyxshed-core/src/event.rs`; change that and run
`cargo run -p onyxshed-cli --example catalogue-page -- events > docs/EVENTS.md`. A test holds page
and code together.

Log, metrics (`onyxshed_events_total{kind=\"…\"}`) and time line use these numbers. The log leaves
out what is quieter than its level (`log.level` in the settings); the time line keeps every event.
The same text comes from `onyxshed explain E301`.
";

/// Titles of the groups of events, by the hundreds of their numbers.
const EVENT_GROUPS: &[(u16, &str)] = &[
    (1, "Jobs and callers"),
    (2, "Claims"),
    (3, "Tasks and upstreams"),
    (4, "Configuration"),
    (5, "Peers"),
    (6, "Processes"),
    (7, "Platform"),
    (8, "Pools on the users' platform"),
];

/// Titles of the groups of result codes, by the thousands of their numbers.
const CODE_GROUPS: &[(u16, &str)] = &[
    (1, "Complete"),
    (2, "Failed: it ran, or was stopped after a task had started"),
    (3, "Not run: proved that no task was started"),
    (4, "Unknown: it can't be told whether a task ran"),
    (5, "Processes and commands"),
];

#[derive(Serialize)]
struct Explanation {
    number: u16,
    name: String,
    text: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<String>,
}

/// Explains a result code (`3004`) or an event (`E301`).
pub fn explain(number: &str, format: Format) -> Result<String> {
    let explanation = find_explanation(number).ok_or_else(|| {
        Error::usage(format_args!(
            "{number:?} is neither a result code nor an event"
        ))
    })?;
    Ok(match (format, &explanation.outcome) {
        (Format::Json, _) => json(&explanation),
        (Format::Human, Some(outcome)) => format!(
            "{} {} (outcome {outcome}): {}\n",
            explanation.number, explanation.name, explanation.text
        ),
        (Format::Human, None) => {
            format!(
                "{} {}: {}\n",
                explanation.number, explanation.name, explanation.text
            )
        }
    })
}

fn find_explanation(text: &str) -> Option<Explanation> {
    if let Some(digits) = text.strip_prefix(['E', 'e']) {
        let kind = EventKind::try_from(digits.parse::<u16>().ok()?).ok()?;
        return Some(Explanation {
            number: kind.number(),
            name: kind.name().to_owned(),
            text: kind.text(),
            outcome: None,
        });
    }
    let code = ResultCode::try_from(text.parse::<u16>().ok()?).ok()?;
    Some(Explanation {
        number: code.number(),
        name: format!("{code:?}"),
        text: code.text(),
        outcome: code.outcome().map(|outcome| outcome.to_string()),
    })
}

/// Returns the text of docs/RESULT-CODES.md.
pub fn codes_page() -> String {
    let mut page = CODES_HEAD.to_owned();
    for (thousands, title) in CODE_GROUPS {
        let _ = write!(page, "\n## {title}\n\n");
        let column = match thousands {
            5 => "exit code",
            _ => "HTTP status",
        };
        let _ = writeln!(
            page,
            "| number | name | {column} | meaning |\n|---|---|---|---|"
        );
        let group = ResultCode::ALL
            .iter()
            .filter(|code| code.number() / 1_000 == *thousands);
        for code in group {
            let status = match thousands {
                5 => u16::from(exit_number(*code)),
                _ => code.http_status(),
            };
            let _ = writeln!(page, "| {code} | `{code:?}` | {status} | {} |", code.text());
        }
    }
    page
}

/// Returns the text of docs/EVENTS.md.
pub fn events_page() -> String {
    let mut page = EVENTS_HEAD.to_owned();
    for (hundreds, title) in EVENT_GROUPS {
        let _ = write!(page, "\n## {title}\n\n");
        page.push_str("| number | name | level | meaning |\n|---|---|---|---|\n");
        let group = EventKind::ALL
            .iter()
            .filter(|kind| kind.number() / 100 == *hundreds);
        for kind in group {
            let level = level_name(kind.level());
            let _ = writeln!(
                page,
                "| E{} | `{}` | {level} | {} |",
                kind.number(),
                kind.name(),
                kind.text()
            );
        }
    }
    page
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Debug => "debug",
        Level::Info => "info",
        Level::Warn => "warn",
        Level::Error => "error",
    }
}
