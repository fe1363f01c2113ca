//! Durations as operators type them: `500ms`, `2s`, `5m`, `1h`.

use onyxshed_core::Millis;

/// Units with their lengths in milliseconds. The first unit with which a text ends is used, so `ms`
/// precedes `s`.
const UNITS: &[(&str, u64)] = &[("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Parses a duration. The error describes the expected format.
pub fn parse(text: &str) -> Result<Millis, String> {
    let bad = || {
        format!(
            "{text:?} is not a duration: expected a whole number followed by ms, s, m or h, such as 500ms or 2s"
        )
    };
    let with_unit = UNITS
        .iter()
        .find_map(|(unit, factor)| Some((text.strip_suffix(unit)?, *factor)));
    let (digits, factor) = with_unit.ok_or_else(bad)?;
    let number: u64 = digits.parse().map_err(|_| bad())?;
    number.checked_mul(factor).map(Millis).ok_or_else(bad)
}

/// Formats a duration exactly, in the largest unit of which it is a whole multiple.
pub fn display(span: Millis) -> String {
    let mut largest_first = UNITS.iter().rev();
    let whole = largest_first.find(|(_, factor)| span.0 > 0 && span.0.is_multiple_of(*factor));
    match whole {
        Some((unit, factor)) => format!("{}{unit}", span.0 / factor),
        None => "0ms".to_owned(),
    }
}

/// Formats a duration in the largest unit that is not longer than it, rounded down.
pub fn display_rounded(span: Millis) -> String {
    let mut largest_first = UNITS.iter().rev();
    let largest = largest_first.find(|(_, factor)| span.0 >= *factor);
    match largest {
        Some((unit, factor)) => format!("{}{unit}", span.0 / factor),
        None => "0ms".to_owned(),
    }
}
