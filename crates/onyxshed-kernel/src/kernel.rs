//! The kernel: one handle to the executor, clock, bus, readiness and registry of a process.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use onyxshed_core::Event;

use crate::bus::Bus;
use crate::clock::Clock;
use crate::error::Result;
use crate::process::{Process, RunEnd, RunOptions};
use crate::readiness::Readiness;
use crate::registry::{Descriptor, Registry};
use crate::service::{Service, ServiceName};
use crate::signal::{self, StopRequest};

struct Inner {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    bus: Bus,
    readiness: Readiness,
    registry: Registry,
    addresses: RefCell<BTreeMap<&'static str, SocketAddr>>,
    stop_sender: Sender<StopRequest>,
    stop_receiver: Receiver<StopRequest>,
}

/// A handle to the process's kernel. Clones refer to the same kernel.
#[derive(Clone)]
pub struct Kernel {
    inner: Rc<Inner>,
}

impl Kernel {
    /// Creates a kernel without services.
    pub fn new() -> Self {
        let clock = Clock::new();
        let (stop_sender, stop_receiver) = async_channel::unbounded();
        let inner = Inner {
            executor: Rc::new(LocalExecutor::new()),
            bus: Bus::new(clock.clone()),
            clock,
            readiness: Readiness::new(),
            registry: Registry::default(),
            addresses: RefCell::default(),
            stop_sender,
            stop_receiver,
        };
        Kernel {
            inner: Rc::new(inner),
        }
    }

    /// Returns the single-threaded executor on which every task of the process runs.
    pub fn executor(&self) -> Rc<LocalExecutor<'static>> {
        self.inner.executor.clone()
    }

    /// Spawns a future on the executor. Dropping the returned task cancels it.
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Task<T> {
        self.inner.executor.spawn(future)
    }

    /// Returns the clock from which all services read the time.
    pub fn clock(&self) -> &Clock {
        &self.inner.clock
    }

    /// Returns the bus to which services emit events and on which they subscribe to them.
    pub fn bus(&self) -> &Bus {
        &self.inner.bus
    }

    /// Stamps an event and passes it to every subscriber of the bus.
    pub fn emit(&self, event: Event) {
        self.inner.bus.emit(event);
    }

    /// Returns the readiness of the process, which services can block with a reason.
    pub fn readiness(&self) -> &Readiness {
        &self.inner.readiness
    }

    /// Returns the registry in which services find each other's handles by name.
    pub fn registry(&self) -> &Registry {
        &self.inner.registry
    }

    /// Registers a service's handle. Returns an error if the name is already registered.
    pub fn register<T: 'static>(&self, descriptor: Descriptor, handle: Rc<T>) -> Result<()> {
        self.inner.registry.register(descriptor, handle)
    }

    /// Returns a service's handle. Returns an error if the service is not registered or its handle
    /// has another type.
    pub fn find<T: 'static>(&self, name: ServiceName) -> Result<Rc<T>> {
        self.inner.registry.find(name)
    }

    /// Records an address that the process listens on, to be written in the ready line under this
    /// name.
    pub fn announce(&self, name: &'static str, address: SocketAddr) {
        self.inner.addresses.borrow_mut().insert(name, address);
    }

    /// Returns the recorded addresses that the process listens on, by name.
    pub fn addresses(&self) -> BTreeMap<&'static str, SocketAddr> {
        self.inner.addresses.borrow().clone()
    }

    /// Requests the process to stop, with the same effect as the corresponding signal; see
    /// [`StopRequest`].
    pub fn request_stop(&self, request: StopRequest) {
        // Can't fail: the kernel holds a receiver, and the channel is unbounded.
        let _ = self.inner.stop_sender.try_send(request);
    }

    /// Waits for the next stop request, from a signal or from [`Kernel::request_stop`].
    pub(crate) async fn next_stop_request(&self) -> StopRequest {
        let received = self.inner.stop_receiver.recv().await;
        received.expect("the kernel holds a sender, so the channel is open")
    }

    /// Runs a process from start to exit on this thread.
    ///
    /// SIGTERM and SIGINT start a drain, SIGQUIT stops the process immediately, SIGHUP has no effect.
    pub fn run(&self, services: Vec<Box<dyn Service>>, options: RunOptions) -> RunEnd {
        let executor = self.executor();
        let process = executor.run(self.run_process(services, options));
        match async_io::block_on(process) {
            Ok(end) => end,
            Err(error) => RunEnd::Failed(error),
        }
    }

    async fn run_process(
        &self,
        services: Vec<Box<dyn Service>>,
        options: RunOptions,
    ) -> Result<RunEnd> {
        let signals = signal::listen()?;
        let requests = self.inner.stop_sender.clone();
        let _forwarding = self.spawn(signal::forward(signals, requests));
        let process = Process::new(self.clone(), services, options);
        let process = process.start().await?;
        Ok(process.run_until_stopped().await)
    }
}

impl Default for Kernel {
    fn default() -> Self {
        Kernel::new()
    }
}
