//! Formats results for people or for programs.

use serde::Serialize;

/// Format of results and errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Tables and sentences.
    Human,
    /// One indented JSON document, for programs.
    Json,
}

/// Formats a value as an indented JSON document.
pub fn json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("every value of a result can be written as JSON")
        + "\n"
}

/// Formats rows below headings, with each column as wide as its widest cell.
pub fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = headings
        .iter()
        .map(|heading| heading.chars().count())
        .collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let headings: Vec<String> = headings
        .iter()
        .map(|heading| (*heading).to_owned())
        .collect();
    let mut text = line(&headings, &widths);
    for row in rows {
        text.push_str(&line(row, &widths));
    }
    text
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let mut text = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        text.push_str(&format!("{cell:<width$}  "));
    }
    text.trim_end().to_owned() + "\n"
}
