//! Suggests the field that an unknown name was probably meant to be.

use crate::field::Field;

/// Unit suffixes that are removed before names are compared, including those of the settings' own
/// names.
const UNIT_SUFFIXES: &[&str] = &[
    "_ms", "_msec", "_millis", "_us", "_ns", "_s", "_sec", "_secs", "_seconds", "_min", "_minutes",
    "_h", "_bytes", "_b", "_kb", "_kib", "_mb", "_mib", "_gb", "_per_s", "_per_min",
];

/// Largest edit distance between a misspelled name and its suggestion.
const EDIT_DISTANCE_MAX: usize = 2;

/// Returns the field that `found` was probably meant to be: one with another unit, or with a
/// similar name. Returns `None` if there is none.
pub(crate) fn nearest(found: &str, fields: &[Field]) -> Option<&'static str> {
    let names = || fields.iter().map(|field| field.name);
    let same_stem = names().find(|name| stem(name) == stem(found));
    same_stem.or_else(|| {
        let by_distance = names().map(|name| (edit_distance(found, name), name));
        by_distance
            .filter(|(edit_distance, _)| *edit_distance <= EDIT_DISTANCE_MAX)
            .min()
            .map(|(_, name)| name)
    })
}

/// Removes the unit suffix from a name.
fn stem(name: &str) -> &str {
    let stems = UNIT_SUFFIXES
        .iter()
        .filter_map(|suffix| name.strip_suffix(suffix));
    stems.min_by_key(|stem| stem.len()).unwrap_or(name)
}

/// Returns the edit distance of two texts (Levenshtein distance).
fn edit_distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut row: Vec<usize> = (0..=to.len()).collect();
    for (index, char) in from.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for column in 0..to.len() {
            let replaced = diagonal + usize::from(char != to[column]);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[to.len()]
}
