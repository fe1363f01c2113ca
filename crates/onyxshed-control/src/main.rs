//! `onyxshed-control`: keeps the entry process of one entry host informed.

use std::process::ExitCode;

use onyxshed_control::{command, process};

fn main() -> ExitCode {
    command::run(process::run)
}
