//! `onyxshed-host`: one host of the system on the users' platform.

use std::process::ExitCode;

// The system's allocator stays: mimalloc takes three times the memory here and no less processor time.
fn main() -> ExitCode {
    onyxshed_host::process::main()
}
