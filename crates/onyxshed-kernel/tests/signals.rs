//! Handling of real signals. This test has a file of its own because a signal reaches every kernel
//! in the test process.

use std::future::pending;

use onyxshed_kernel::{Kernel, LocalFuture, Result, RunEnd, RunOptions, Service, ServiceName};
use rustix::process::{Signal, getpid, kill_process};

/// A service that sends SIGTERM when it starts, and SIGTERM and SIGQUIT when it drains.
struct SignallingService;

fn send(signal: Signal) {
    kill_process(getpid(), signal).expect("a process may signal itself");
}

impl Service for SignallingService {
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
fn sigterm_starts_drain_and_sigquit_ends_process() {
    // SIGTERM arrives while the process is still starting: it must neither kill the process nor be
    // lost. The drain never finishes and its timeout is far off, so only SIGQUIT can have ended the
    // process.
    let options = RunOptions {
        has_ready_line: false,
        drain_timeout_ms: onyxshed_core::Millis(600_000),
        ..RunOptions::new("test")
    };
    let end = Kernel::new().run(vec![Box::new(SignallingService)], options);
    assert_eq!(end, RunEnd::StoppedAtOnce);
}
