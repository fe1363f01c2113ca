//! Entry point of the command `onyxshed-load`.

use std::process::ExitCode;

fn main() -> ExitCode {
    onyxshed_load::cli::main()
}
