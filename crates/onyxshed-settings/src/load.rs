//! Loads and checks settings files.

use std::fs::File;
use std::io::Read;
use std::path::Path;

use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::check::Checker;
use crate::error::{Fault, Result, SettingsError};
use crate::kind::{ControlSettings, EntrySettings, OperatorSettings, Settings, SettingsKind};
use crate::position::Position;

/// Largest accepted file, in bytes.
const FILE_MAX_BYTES: u64 = 1 << 20;

/// Accepts JSON with comments and trailing commas, and no other extension.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Loads and checks a file. An error contains every fault found.
pub fn load<T: Settings>(path: impl AsRef<Path>) -> Result<T> {
    let file = path.as_ref().display().to_string();
    let text = read_text(path.as_ref(), &file)?;
    read(&file, &text)
}

/// Checks the text of a settings file of the given kind; `file` names it in faults.
pub fn check_text(kind: SettingsKind, file: &str, text: &str) -> Result<()> {
    match kind {
        SettingsKind::Entry => read::<EntrySettings>(file, text).map(drop),
        SettingsKind::Control => read::<ControlSettings>(file, text).map(drop),
        SettingsKind::Operator => read::<OperatorSettings>(file, text).map(drop),
    }
}

/// Parses and checks the text of a settings file; `file` names it in faults.
pub fn read<T: Settings>(file: &str, text: &str) -> Result<T> {
    // Some editors start a file with a byte order mark, which is not part of the settings.
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS)
        .map_err(|error| SettingsError::invalid(file, vec![syntax_fault(text, &error)]))?;
    let mut checker = Checker::new(text);
    let values = checker.check_file(parsed.value.as_ref(), T::KIND.fields());
    match serde_json::from_value::<T>(values.into()) {
        Ok(settings) => {
            for fault in settings.cross_check() {
                checker.fault_at_field(fault.field, fault.allowed);
            }
            match checker.into_faults() {
                faults if faults.is_empty() => Ok(settings),
                faults => Err(SettingsError::invalid(file, faults)),
            }
        }
        Err(error) => match checker.into_faults() {
            faults if faults.is_empty() => Err(SettingsError::unreadable(file, error)),
            faults => Err(SettingsError::invalid(file, faults)),
        },
    }
}

fn syntax_fault(text: &str, error: &jsonc_parser::errors::ParseError) -> Fault {
    Fault {
        position: Position::of_byte(text, error.range().start),
        path: Default::default(),
        found: smol_str::format_smolstr!("a syntax error ({})", error.kind()),
        allowed: "JSON with comments".into(),
    }
}

fn read_text(path: &Path, file: &str) -> Result<String> {
    let opened = File::open(path).map_err(|error| SettingsError::unreadable(file, error))?;
    let mut bytes = Vec::new();
    opened
        .take(FILE_MAX_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(|error| SettingsError::unreadable(file, error))?;
    if bytes.len() as u64 > FILE_MAX_BYTES {
        let reason = format!("the file is larger than {FILE_MAX_BYTES} bytes");
        return Err(SettingsError::unreadable(file, reason));
    }
    String::from_utf8(bytes).map_err(|error| {
        let at = error.utf8_error().valid_up_to();
        SettingsError::unreadable(file, format!("invalid UTF-8 at byte {at}"))
    })
}
