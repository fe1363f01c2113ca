//! The binary `onyxshed`.

use std::process::ExitCode;

fn main() -> ExitCode {
    onyxshed_cli::main(std::env::args_os())
}
