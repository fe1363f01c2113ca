//! What an unknown field was probably meant to be.

use crate::field::Field;

/// Endings that people give to numbers, ours among them.
const ENDINGS: &[&str] = &[
    "_ms", "_msec", "_millis", "_us", "_ns", "_s", "_sec", "_secs", "_seconds", "_min", "_minutes",
    "_h", "_bytes", "_b", "_kb", "_kib", "_mb", "_mib", "_gb", "_per_s", "_per_min",
];

/// Most edits between a slip and what was meant.
const EDITS_MAX: usize = 2;

/// Finds the field that `found` was probably meant to be: another unit, or a slip of the pen.
pub(crate) fn nearest(found: &str, fields: &[Field]) -> Option<&'static str> {
    let names = || fields.iter().map(|field| field.name);
    let by_stem = names().find(|name| stem(name) == stem(found));
    by_stem.or_else(|| {
        let close = names().map(|name| (edits(found, name), name));
        close
            .filter(|(edits, _)| *edits <= EDITS_MAX)
            .min()
            .map(|(_, name)| name)
    })
}

/// Cuts the unit off a name.
fn stem(name: &str) -> &str {
    let cut = ENDINGS
        .iter()
        .filter_map(|ending| name.strip_suffix(ending));
    cut.min_by_key(|stem| stem.len()).unwrap_or(name)
}

/// Counts the edits from one text to the other (Levenshtein distance).
fn edits(from: &str, to: &str) -> usize {
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
