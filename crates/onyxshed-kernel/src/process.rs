//! The life of a process: building, running, draining.
//!
//! Each state is a type, so that a process can neither drain before it runs nor take up work again
//! once it drains.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use futures_lite::FutureExt;
use onyxshed_core::{Event, EventKind, Millis};
use serde::Serialize;
use smol_str::SmolStr;

use crate::error::{Error, Result};
use crate::kernel::Kernel;
use crate::order::start_order;
use crate::pause;
use crate::service::Service;
use crate::signal::StopRequest;

/// How a process is run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunOptions {
    /// The binary's name, as the ready line gives it.
    pub name: SmolStr,
    /// Longest drain, in milliseconds. Default 30 s.
    pub drain_timeout_ms: Millis,
    /// Whether the ready line is written to standard output. Default true.
    pub has_ready_line: bool,
    /// Shortest standstill of the whole process that is told, in milliseconds. Default 500 ms.
    pub pause_least_ms: Millis,
}

impl RunOptions {
    /// Makes options with the defaults.
    pub fn new(name: impl Into<SmolStr>) -> Self {
        RunOptions {
            name: name.into(),
            drain_timeout_ms: Millis(30_000),
            has_ready_line: true,
            pause_least_ms: Millis(500),
        }
    }
}

/// How a process ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// Everything in flight was finished: exit code 0.
    Drained,
    /// It did not come up: exit code 1.
    Failed(Error),
    /// The drain ran out of time with work in flight: exit code 4.
    DrainTimedOut,
    /// SIGQUIT ended it at once: exit code 5.
    StoppedAtOnce,
}

impl RunEnd {
    /// Gets the exit code's number.
    pub fn exit_number(&self) -> u8 {
        match self {
            RunEnd::Drained => 0,
            RunEnd::Failed(_) => 1,
            RunEnd::DrainTimedOut => 4,
            RunEnd::StoppedAtOnce => 5,
        }
    }
}

impl From<RunEnd> for ExitCode {
    fn from(end: RunEnd) -> ExitCode {
        ExitCode::from(end.exit_number())
    }
}

/// Longest time that services may take to stop, all together.
///
/// Failure guarded against: a service whose stop never returns. Symptom: the process hangs after
/// its last word and is never replaced. Nothing is in flight by then, so giving up loses nothing.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// State before the start.
#[derive(Debug)]
pub struct Building;

/// State while work is taken in.
#[derive(Debug)]
pub struct Running {
    watch: Task<()>,
}

/// State in which no work is taken in any more.
#[derive(Debug)]
pub struct Draining {
    _watch: Task<()>,
}

/// A process in one state of its life.
pub struct Process<State> {
    kernel: Kernel,
    services: Vec<Box<dyn Service>>,
    options: RunOptions,
    state: State,
}

/// The line that tells whoever started the process that it serves, and where.
#[derive(Debug, Serialize)]
struct ReadyLine<'a> {
    ready: &'a str,
    addresses: BTreeMap<&'static str, SocketAddr>,
}

impl Process<Building> {
    /// Puts a process together.
    pub fn new(kernel: Kernel, services: Vec<Box<dyn Service>>, options: RunOptions) -> Self {
        Process {
            kernel,
            services,
            options,
            state: Building,
        }
    }

    /// Tries to start every service in the order of their needs; on an error, those that run are
    /// stopped again.
    pub async fn start(mut self) -> Result<Process<Running>> {
        self.services = start_order(self.services)?;
        self.emit(EventKind::ProcessStarted);
        for index in 0..self.services.len() {
            if let Err(error) = self.start_one(index).await {
                self.services.truncate(index);
                self.stop_all().await;
                return Err(error);
            }
        }
        self.kernel.readiness().set_running();
        self.emit(EventKind::ProcessReady);
        if self.options.has_ready_line {
            self.write_ready_line();
        }
        let watch = pause::watch(self.kernel.bus().clone(), self.options.pause_least_ms);
        let watch = self.kernel.spawn(watch);
        Ok(self.become_state(|Building| Running { watch }))
    }

    async fn start_one(&self, index: usize) -> Result<()> {
        let service = &self.services[index];
        service.start(&self.kernel).await?;
        let event = Event::new(EventKind::ServiceStarted).party(service.name().as_str());
        self.kernel.emit(event);
        Ok(())
    }

    /// Writes the ready line; if nobody reads standard output, the process goes on without it.
    fn write_ready_line(&self) {
        let line = ReadyLine {
            ready: &self.options.name,
            addresses: self.kernel.addresses(),
        };
        let line = serde_json::to_string(&line).expect("the line holds only texts");
        let mut stdout = io::stdout().lock();
        let _ = writeln!(stdout, "{line}").and_then(|()| stdout.flush());
    }
}

impl Process<Running> {
    /// Serves until told to stop, and stops.
    pub async fn live(self) -> RunEnd {
        match self.kernel.stop_request().await {
            StopRequest::Drain => self.begin_drain().finish().await,
            StopRequest::AtOnce => self.stop_at_once().await,
        }
    }

    /// Takes the process out of service: readiness goes first.
    pub fn begin_drain(self) -> Process<Draining> {
        self.kernel.readiness().set_draining();
        self.emit(EventKind::ProcessDraining);
        self.become_state(|running| Draining {
            _watch: running.watch,
        })
    }

    async fn stop_at_once(self) -> RunEnd {
        self.kernel.readiness().set_draining();
        self.end(RunEnd::StoppedAtOnce).await
    }
}

impl Process<Draining> {
    /// Waits for the work in flight, within bounds, and stops every service.
    pub async fn finish(self) -> RunEnd {
        let end = self
            .told_to_quit()
            .or(self.drain_all())
            .or(self.out_of_time())
            .await;
        self.end(end).await
    }

    /// Drains services in reverse order: whoever uses a service is done before it is.
    async fn drain_all(&self) -> RunEnd {
        for service in self.services.iter().rev() {
            service.drain(&self.kernel).await;
        }
        RunEnd::Drained
    }

    async fn out_of_time(&self) -> RunEnd {
        Timer::after(self.options.drain_timeout_ms.into()).await;
        RunEnd::DrainTimedOut
    }

    /// Waits for SIGQUIT; another SIGTERM changes nothing.
    async fn told_to_quit(&self) -> RunEnd {
        while self.kernel.stop_request().await != StopRequest::AtOnce {}
        RunEnd::StoppedAtOnce
    }
}

impl<State> Process<State> {
    /// Gets the kernel.
    pub fn kernel(&self) -> &Kernel {
        &self.kernel
    }

    /// Gets the state.
    pub fn state(&self) -> &State {
        &self.state
    }

    fn become_state<Next>(self, next: impl FnOnce(State) -> Next) -> Process<Next> {
        Process {
            kernel: self.kernel,
            services: self.services,
            options: self.options,
            state: next(self.state),
        }
    }

    fn emit(&self, kind: EventKind) {
        self.kernel
            .emit(Event::new(kind).party(self.options.name.clone()));
    }

    async fn end(self, end: RunEnd) -> RunEnd {
        let words = match &end {
            RunEnd::Drained => "drained",
            RunEnd::Failed(_) => "failed",
            RunEnd::DrainTimedOut => "the drain ran out of time",
            RunEnd::StoppedAtOnce => "told to stop at once",
        };
        let event = Event::new(EventKind::ProcessStopped)
            .party(self.options.name.clone())
            .detail(words);
        self.kernel.emit(event);
        self.stop_all().await;
        end
    }

    async fn stop_all(&self) {
        let stop = async {
            for service in self.services.iter().rev() {
                service.stop(&self.kernel).await;
            }
        };
        let give_up = async {
            Timer::after(STOP_TIMEOUT).await;
        };
        stop.or(give_up).await;
    }
}
