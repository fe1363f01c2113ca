//! The states of a process: building, running, draining.
//!
//! Each state is a type, so a process can't drain before it runs, nor accept work again once it
//! drains.

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

/// Name, drain timeout, ready line and pause detection of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunOptions {
    /// Name of the binary, written in the ready line and in the events of the process.
    pub name: SmolStr,
    /// Longest time that a drain may take, in milliseconds. Default 30 s.
    pub drain_timeout_ms: Millis,
    /// Whether the ready line is written to standard output. Default true.
    pub has_ready_line: bool,
    /// Shortest pause of the whole process that is reported by an event, in milliseconds. Default
    /// 500 ms.
    pub pause_min_ms: Millis,
}

impl RunOptions {
    /// Creates options for the binary `name`, with the defaults of all other options.
    pub fn new(name: impl Into<SmolStr>) -> Self {
        RunOptions {
            name: name.into(),
            drain_timeout_ms: Millis(30_000),
            has_ready_line: true,
            pause_min_ms: Millis(500),
        }
    }
}

/// The way in which a process ended, which determines its exit code.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// All work in flight was finished: exit code 0.
    Drained,
    /// The process failed to start: exit code 1.
    Failed(Error),
    /// The drain timed out with work in flight: exit code 4.
    DrainTimedOut,
    /// SIGQUIT stopped the process immediately: exit code 5.
    StoppedAtOnce,
}

impl RunEnd {
    /// Returns the exit code that the variant's description states.
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

/// Longest time that all services together may take to stop.
///
/// A service whose `stop` never returned would otherwise keep the process from exiting, and it
/// would never be replaced. No work is in flight by then, so abandoning the stop loses nothing.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// The state before the services are started.
#[derive(Debug)]
pub struct Building;

/// The state in which the process accepts work.
#[derive(Debug)]
pub struct Running {
    pause_monitor: Task<()>,
}

/// The state in which the process accepts no new work.
#[derive(Debug)]
pub struct Draining {
    _pause_monitor: Task<()>,
}

/// A process in one of its states: [`Building`], [`Running`] or [`Draining`].
pub struct Process<State> {
    kernel: Kernel,
    services: Vec<Box<dyn Service>>,
    options: RunOptions,
    state: State,
}

/// The line on standard output by which the parent process learns that this process is ready, and
/// the addresses that it listens on.
#[derive(Debug, Serialize)]
struct ReadyLine<'a> {
    ready: &'a str,
    addresses: BTreeMap<&'static str, SocketAddr>,
}

impl Process<Building> {
    /// Assembles a process from a kernel and services.
    pub fn new(kernel: Kernel, services: Vec<Box<dyn Service>>, options: RunOptions) -> Self {
        Process {
            kernel,
            services,
            options,
            state: Building,
        }
    }

    /// Starts every service in dependency order. If one fails, stops those already started and
    /// returns the error.
    pub async fn start(mut self) -> Result<Process<Running>> {
        self.services = start_order(self.services)?;
        self.emit(EventKind::ProcessStarted);
        for index in 0..self.services.len() {
            if let Err(error) = self.start_service(index).await {
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
        let pause_monitor = pause::monitor(self.kernel.bus().clone(), self.options.pause_min_ms);
        let pause_monitor = self.kernel.spawn(pause_monitor);
        Ok(self.into_state(|Building| Running { pause_monitor }))
    }

    async fn start_service(&self, index: usize) -> Result<()> {
        let service = &self.services[index];
        service.start(&self.kernel).await?;
        let event = Event::new(EventKind::ServiceStarted).party(service.name().as_str());
        self.kernel.emit(event);
        Ok(())
    }

    /// Writes the ready line. If standard output is closed, the process continues without it.
    fn write_ready_line(&self) {
        let line = ReadyLine {
            ready: &self.options.name,
            addresses: self.kernel.addresses(),
        };
        let line = serde_json::to_string(&line).expect("a ready line always serializes to JSON");
        let mut stdout = io::stdout().lock();
        let _ = writeln!(stdout, "{line}").and_then(|()| stdout.flush());
    }
}

impl Process<Running> {
    /// Waits for a stop request, then drains and stops the process.
    pub async fn run_until_stopped(self) -> RunEnd {
        match self.kernel.next_stop_request().await {
            StopRequest::Drain => self.begin_drain().finish().await,
            StopRequest::AtOnce => self.stop_at_once().await,
        }
    }

    /// Starts the drain: the process stops being ready, and every service learns of the drain, before
    /// any service drains.
    pub fn begin_drain(self) -> Process<Draining> {
        self.kernel.readiness().set_draining();
        self.emit(EventKind::ProcessDraining);
        for service in self.services.iter().rev() {
            service.begin_drain(&self.kernel);
        }
        self.into_state(|running| Draining {
            _pause_monitor: running.pause_monitor,
        })
    }

    async fn stop_at_once(self) -> RunEnd {
        self.kernel.readiness().set_draining();
        self.finish_as(RunEnd::StoppedAtOnce).await
    }
}

impl Process<Draining> {
    /// Waits for the work in flight, until the drain times out or SIGQUIT arrives, and stops every
    /// service.
    pub async fn finish(self) -> RunEnd {
        let end = self
            .wait_for_quit()
            .or(self.drain_all())
            .or(self.wait_for_drain_timeout())
            .await;
        self.finish_as(end).await
    }

    /// Drains services in reverse start order, so that each service is drained before those it
    /// depends on.
    async fn drain_all(&self) -> RunEnd {
        for service in self.services.iter().rev() {
            service.drain(&self.kernel).await;
        }
        RunEnd::Drained
    }

    async fn wait_for_drain_timeout(&self) -> RunEnd {
        Timer::after(self.options.drain_timeout_ms.into()).await;
        RunEnd::DrainTimedOut
    }

    /// Waits for SIGQUIT; further SIGTERMs have no effect.
    async fn wait_for_quit(&self) -> RunEnd {
        while self.kernel.next_stop_request().await != StopRequest::AtOnce {}
        RunEnd::StoppedAtOnce
    }
}

impl<State> Process<State> {
    /// Returns the kernel on which the process runs.
    pub fn kernel(&self) -> &Kernel {
        &self.kernel
    }

    /// Returns the value of the process's state, such as [`Running`].
    pub fn state(&self) -> &State {
        &self.state
    }

    fn into_state<Next>(self, next: impl FnOnce(State) -> Next) -> Process<Next> {
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

    async fn finish_as(self, end: RunEnd) -> RunEnd {
        let detail = match &end {
            RunEnd::Drained => "drained",
            RunEnd::Failed(_) => "failed",
            RunEnd::DrainTimedOut => "drain timed out",
            RunEnd::StoppedAtOnce => "stopped immediately",
        };
        let event = Event::new(EventKind::ProcessStopped)
            .party(self.options.name.clone())
            .detail(detail);
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
        let timeout = async {
            Timer::after(STOP_TIMEOUT).await;
        };
        stop.or(timeout).await;
    }
}
