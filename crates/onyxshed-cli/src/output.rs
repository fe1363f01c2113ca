//! Answers as people or programs read them.

use serde::Serialize;

/// How answers are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Tables and sentences.
    Human,
    /// One JSON document.
    Json,
}

/// Writes a JSON document for people's eyes too.
pub fn json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("answers hold only what JSON can write") + "\n"
}

/// Writes rows under heads, each column as wide as its widest cell.
pub fn table(heads: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = heads.iter().map(|head| head.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let heads: Vec<String> = heads.iter().map(|head| (*head).to_owned()).collect();
    let mut text = line(&heads, &widths);
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
