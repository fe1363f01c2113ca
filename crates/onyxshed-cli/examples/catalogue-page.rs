//! Writes docs/RESULT-CODES.md (argument `codes`) or docs/EVENTS.md (`events`) to standard output.

use onyxshed_cli::catalogue::{codes_page, events_page};

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("codes") => print!("{}", codes_page()),
        Some("events") => print!("{}", events_page()),
        _ => eprintln!("expected the argument `codes` or `events`"),
    }
}
