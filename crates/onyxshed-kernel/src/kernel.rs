//! The kernel: executor, clock, bus, readiness and registry in one handle.

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

/// Handle to the process's kernel; clones are the same kernel.
#[derive(Clone)]
pub struct Kernel {
    inner: Rc<Inner>,
}

impl Kernel {
    /// Makes a kernel without services.
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

    /// Gets the executor that runs everything.
    pub fn executor(&self) -> Rc<LocalExecutor<'static>> {
        self.inner.executor.clone()
    }

    /// Runs a future beside others; it ends when the task is dropped.
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Task<T> {
        self.inner.executor.spawn(future)
    }

    /// Gets the clock.
    pub fn clock(&self) -> &Clock {
        &self.inner.clock
    }

    /// Gets the event bus.
    pub fn bus(&self) -> &Bus {
        &self.inner.bus
    }

    /// Stamps an event and delivers it.
    pub fn emit(&self, event: Event) {
        self.inner.bus.emit(event);
    }

    /// Gets the readiness flag.
    pub fn readiness(&self) -> &Readiness {
        &self.inner.readiness
    }

    /// Gets the registry.
    pub fn registry(&self) -> &Registry {
        &self.inner.registry
    }

    /// Registers a service's handle; an error if the name is taken.
    pub fn register<T: 'static>(&self, descriptor: Descriptor, handle: Rc<T>) -> Result<()> {
        self.inner.registry.register(descriptor, handle)
    }

    /// Finds a service's handle; an error if it is missing or of another type.
    pub fn find<T: 'static>(&self, name: ServiceName) -> Result<Rc<T>> {
        self.inner.registry.find(name)
    }

    /// Notes an address that the process listens on, for the ready line.
    pub fn announce(&self, name: &'static str, address: SocketAddr) {
        self.inner.addresses.borrow_mut().insert(name, address);
    }

    /// Gets the addresses that the process listens on, by name.
    pub fn addresses(&self) -> BTreeMap<&'static str, SocketAddr> {
        self.inner.addresses.borrow().clone()
    }

    /// Asks the process to stop, as a signal does.
    pub fn request_stop(&self, request: StopRequest) {
        // The receiver lives as long as the kernel, and the channel has no bound.
        let _ = self.inner.stop_sender.try_send(request);
    }

    /// Waits for the next word to stop.
    pub(crate) async fn stop_request(&self) -> StopRequest {
        let received = self.inner.stop_receiver.recv().await;
        received.expect("the kernel holds the sender")
    }

    /// Runs a process from start to end on this thread.
    ///
    /// SIGTERM and SIGINT drain it, SIGQUIT stops it at once.
    pub fn run(&self, services: Vec<Box<dyn Service>>, options: RunOptions) -> RunEnd {
        let executor = self.executor();
        let life = executor.run(self.live(services, options));
        match async_io::block_on(life) {
            Ok(end) => end,
            Err(error) => RunEnd::Failed(error),
        }
    }

    async fn live(&self, services: Vec<Box<dyn Service>>, options: RunOptions) -> Result<RunEnd> {
        let signals = signal::listen()?;
        let requests = self.inner.stop_sender.clone();
        let _passing_on = self.spawn(signal::pass_on(signals, requests));
        let process = Process::new(self.clone(), services, options);
        let process = process.start().await?;
        Ok(process.live().await)
    }
}

impl Default for Kernel {
    fn default() -> Self {
        Kernel::new()
    }
}
