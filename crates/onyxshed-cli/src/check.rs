//! `onyxshed check`: checks a settings file and reports its faults.

use std::path::Path;

use onyxshed_settings::{ControlSettings, EntrySettings, OperatorSettings, SettingsKind, load};
use serde::Serialize;
use smol_str::SmolStr;

use crate::error::Result;
use crate::output::{Format, json};

#[derive(Serialize)]
struct CheckReport {
    file: SmolStr,
    kind: &'static str,
    is_valid: bool,
}

/// Checks a file by loading it. The error lists every fault.
pub fn run(file: &Path, kind: SettingsKind, format: Format) -> Result<String> {
    match kind {
        SettingsKind::Entry => load::<EntrySettings>(file).map(drop),
        SettingsKind::Control => load::<ControlSettings>(file).map(drop),
        SettingsKind::Operator => load::<OperatorSettings>(file).map(drop),
    }?;
    let name = file.display();
    Ok(match format {
        Format::Human => format!("{name}: valid {kind} settings\n"),
        Format::Json => json(&CheckReport {
            file: name.to_string().into(),
            kind: kind.as_str(),
            is_valid: true,
        }),
    })
}
