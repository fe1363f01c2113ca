//! Starts and stops tasks on the executors of upstreams.

mod call;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use onyxshed_core::{Event, EventKind, ExecutorName, Incarnation};
use onyxshed_dispatch::{Input, Output};
use onyxshed_http::ClientOptions;
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_proto::ExecutorEntry;

use crate::engine::Engine;
use crate::names::{ENGINE, UPSTREAMS};
use onyxshed_http::connections::ConnectionPool;

pub use call::{StartCall, StopCall};

/// Limits of the calls to executors and of their connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamOptions {
    /// Maximum number of idle connections kept to one executor. Default 16.
    pub connections_per_executor: usize,
    /// Maximum time since the last reply on a connection that is reused for a task that may not run
    /// twice. Default 2 s.
    pub reuse_within: Duration,
    /// Timeout of a stop and of a status query. Default 1 s.
    pub stop_timeout: Duration,
    /// How long the call that starts a task may take in addition to the task's lease. Default 200
    /// ms.
    pub call_slack: Duration,
    /// Limits of each connection.
    pub client: ClientOptions,
}

impl Default for UpstreamOptions {
    fn default() -> Self {
        UpstreamOptions {
            connections_per_executor: 16,
            reuse_within: Duration::from_secs(2),
            stop_timeout: Duration::from_secs(1),
            call_slack: Duration::from_millis(200),
            client: ClientOptions::default(),
        }
    }
}

/// Handle to the connections to executors.
pub struct Upstreams {
    kernel: Kernel,
    incarnation: Incarnation,
    options: UpstreamOptions,
    pools: RefCell<BTreeMap<ExecutorName, Rc<ConnectionPool>>>,
}

impl Upstreams {
    /// Creates a handle without executors.
    pub fn new(kernel: &Kernel, incarnation: Incarnation, options: UpstreamOptions) -> Rc<Self> {
        let kernel = kernel.clone();
        Rc::new(Upstreams {
            kernel,
            incarnation,
            options,
            pools: RefCell::default(),
        })
    }

    /// Returns the number of known executors.
    pub fn count(&self) -> usize {
        self.pools.borrow().len()
    }

    /// Replaces the set of known executors, and emits an event for each that is new, has a new
    /// address or was removed. Connections to executors that are missing from `executors` are
    /// closed once they are idle.
    pub fn set_executors(&self, executors: &[ExecutorEntry]) {
        let mut pools = self.pools.borrow_mut();
        let mut previous = std::mem::take(&mut *pools);
        for entry in executors {
            let name = entry.info.name.clone();
            let kept = previous
                .remove(&name)
                .filter(|pool| pool.address() == entry.address);
            let is_new = kept.is_none();
            let pool = kept.unwrap_or_else(|| self.new_pool(entry));
            pools.insert(name.clone(), pool);
            if is_new {
                self.kernel
                    .emit(Event::new(EventKind::UpstreamJoined).party(name.as_str()));
            }
        }
        for name in previous.keys() {
            self.kernel
                .emit(Event::new(EventKind::UpstreamGone).party(name.as_str()));
        }
    }

    fn new_pool(&self, entry: &ExecutorEntry) -> Rc<ConnectionPool> {
        let idle_max = self.options.connections_per_executor;
        Rc::new(ConnectionPool::new(
            entry.address,
            self.options.client,
            idle_max,
        ))
    }

    /// Executes a start, a stop or a status query, and reports its end to the engine.
    pub fn execute(self: &Rc<Self>, output: Output) {
        let upstreams = self.clone();
        self.kernel
            .spawn(async move { upstreams.call_and_report(output).await })
            .detach();
    }

    async fn call_and_report(&self, output: Output) {
        match output {
            Output::Start {
                attempt,
                task,
                executor,
                class,
                payload,
                lease_ms,
                needs_proven_connection,
            } => {
                let call = StartCall {
                    attempt,
                    task,
                    class,
                    payload,
                    lease_ms,
                    needs_proven_connection,
                };
                let report = self.start(&executor, call).await;
                self.report(Input::AttemptEnded { attempt, report });
            }
            Output::Stop {
                attempt,
                task,
                executor,
            } => {
                let report = self.stop(&executor, StopCall { attempt, task }).await;
                self.report(Input::StopEnded { attempt, report });
            }
            Output::Query {
                attempt,
                task,
                executor,
            } => {
                let status = self.query_status(&executor, task).await;
                self.report(Input::QueryEnded { attempt, status });
            }
            _ => {}
        }
    }

    fn report(&self, input: Input) {
        if let Ok(engine) = self.kernel.find::<Engine>(ENGINE) {
            engine.handle_input(input);
        }
    }

    fn pool(&self, executor: &ExecutorName) -> Option<Rc<ConnectionPool>> {
        self.pools.borrow().get(executor).cloned()
    }
}

/// The service that registers [`Upstreams`] with the kernel, so that the engine can start, stop and
/// query tasks.
pub struct UpstreamService {
    upstreams: Rc<Upstreams>,
}

impl UpstreamService {
    /// Creates the service; connections to executors are opened when a task is started.
    pub fn new(upstreams: Rc<Upstreams>) -> Self {
        UpstreamService { upstreams }
    }
}

impl Service for UpstreamService {
    fn name(&self) -> ServiceName {
        UPSTREAMS
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[ENGINE]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let descriptor = Descriptor {
                name: UPSTREAMS,
                summary: "starts and stops of tasks",
            };
            kernel.register(descriptor, self.upstreams.clone())
        })
    }
}
