//! `onyxshed-control`: keeps the entry process of one entry host informed.

use std::process::ExitCode;

use onyxshed_control::process::ControlProcess;
use onyxshed_process::command;

fn main() -> ExitCode {
    command::main::<ControlProcess>()
}
