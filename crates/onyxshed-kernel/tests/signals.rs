//! Real signals. One test in a file of its own: a signal reaches every kernel of a process.

use std::future::pending;

use onyxshed_kernel::{Kernel, LocalFuture, Result, RunEnd, RunOptions, Service, ServiceName};
use rustix::process::{Signal, getpid, kill_process};

/// Sends SIGTERM once it runs, and SIGTERM and SIGQUIT while it drains.
struct Impatient;

fn send(signal: Signal) {
    kill_process(getpid(), signal).expect("a process may signal itself");
}

impl Service for Impatient {
    fn name(&self) -> ServiceName {
        ServiceName::new("impatient")
    }

    fn start<'a>(&'a self, _: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        send(Signal::TERM);
        Box::pin(async { Ok(()) })
    }

    fn drain<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        assert!(kernel.readiness().is_draining());
        send(Signal::TERM);
        send(Signal::QUIT);
        Box::pin(pending())
    }
}

#[test]
fn sigterm_drains_and_sigquit_ends_it() {
    // SIGTERM comes while the process still starts: it must not kill it, nor be forgotten. The
    // drain never ends, and its bound lies far off, so only SIGQUIT can have ended the process.
    let options = RunOptions {
        has_ready_line: false,
        drain_timeout_ms: onyxshed_core::Millis(600_000),
        ..RunOptions::new("test")
    };
    let end = Kernel::new().run(vec![Box::new(Impatient)], options);
    assert_eq!(end, RunEnd::StoppedAtOnce);
}
