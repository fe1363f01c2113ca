//! Handling of SIGHUP. This test has a file of its own because a signal reaches every kernel in the
//! test process.

use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use onyxshed_kernel::{Kernel, LocalFuture, Result, RunEnd, RunOptions, Service, ServiceName};
use rustix::process::{Signal as SentSignal, getpid, kill_process};

/// A service that sends SIGHUP when it starts and when it drains, and listens for SIGHUP itself.
struct ReloadingService;

fn send(signal: SentSignal) {
    kill_process(getpid(), signal).expect("a process may signal itself");
}

async fn receive_hangup() {
    let mut signals = Signals::new([Signal::Hup]).expect("the handler is installed");
    send(SentSignal::HUP);
    let received = async { signals.next().await.is_some() };
    let timeout = async {
        Timer::after(Duration::from_secs(20)).await;
        false
    };
    assert!(received.or(timeout).await, "the service received no SIGHUP");
}

impl Service for ReloadingService {
    fn name(&self) -> ServiceName {
        ServiceName::new("reloading")
    }

    fn start<'a>(&'a self, _: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async {
            send(SentSignal::HUP);
            receive_hangup().await;
            send(SentSignal::TERM);
            Ok(())
        })
    }

    fn drain<'a>(&'a self, _: &'a Kernel) -> LocalFuture<'a, ()> {
        Box::pin(receive_hangup())
    }
}

// SIGHUP ends a process without a drain unless a handler is installed.
#[test]
fn sighup_ends_neither_process_nor_drain() {
    let options = RunOptions {
        has_ready_line: false,
        ..RunOptions::new("test")
    };
    let end = Kernel::new().run(vec![Box::new(ReloadingService)], options);
    assert_eq!(end, RunEnd::Drained);
}
