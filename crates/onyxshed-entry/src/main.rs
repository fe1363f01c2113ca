//! `onyxshed-entry`: faces callers and upstreams on one entry host.

use std::process::ExitCode;

use onyxshed_entry::{command, process};

fn main() -> ExitCode {
    command::run(process::run)
}
