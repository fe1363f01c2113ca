//! `onyxshed-control`: supplies the entry process of one entry host with configuration, executors and
//! peers.

use std::process::ExitCode;

use onyxshed_control::process::ControlProcess;
use onyxshed_process::command;

fn main() -> ExitCode {
    command::main::<ControlProcess>()
}
