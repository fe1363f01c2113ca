//! `onyxshed-entry`: serves callers and dispatches their tasks to upstreams on one entry host.

use std::process::ExitCode;

use mimalloc::MiMalloc;
use onyxshed_entry::process::EntryProcess;
use onyxshed_process::command;

/// The HTTP library allocates buffers for each message. With the system's allocator, these
/// allocations took a fifth of the processor time (docs/MEASUREMENTS.md).
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    command::main::<EntryProcess>()
}
