//! `onyxshed-entry`: faces callers and upstreams on one entry host.

use std::process::ExitCode;

use onyxshed_entry::process::EntryProcess;
use onyxshed_process::command;

fn main() -> ExitCode {
    command::main::<EntryProcess>()
}
