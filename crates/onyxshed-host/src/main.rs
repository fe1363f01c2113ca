//! `onyxshed-host`: one host of the system on the users' platform.

use std::process::ExitCode;

use mimalloc::MiMalloc;

/// The HTTP library allocates buffers for each message; the system's allocator took a fifth of the
/// processor time (docs/MEASUREMENTS.md).
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    onyxshed_host::process::main()
}
