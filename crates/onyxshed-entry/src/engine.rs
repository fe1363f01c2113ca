//! The service that owns the dispatch state machine, feeds it inputs and executes its outputs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use onyxshed_core::{Millis, Mono};
use onyxshed_dispatch::{Dispatch, Input, Output, RequestId};
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_wire::caller::Answer;

use crate::claim_log::ClaimLog;
use crate::measures;
use crate::names::{CLAIM_LOG, ENGINE, PEERS, UPSTREAMS};
use crate::peers::Peers;
use crate::upstreams::Upstreams;

/// Longest time between two ticks of the dispatch state machine.
const TICK_INTERVAL_MAX: Duration = Duration::from_millis(100);

/// How often the metrics are refreshed.
const METRICS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// How often a drain checks whether the last job has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time before the end of a drain at which every open request is answered, so that the
/// answers and the stops of tasks still leave the process.
const ANSWER_MARGIN_MAX: Duration = Duration::from_millis(500);

/// Part of the drain timeout that the margin for the last answers takes at most.
const ANSWER_MARGIN_DIVISOR: u32 = 4;

/// Handle to the dispatch state machine, by which the other services pass inputs to it.
pub struct Engine {
    kernel: Kernel,
    drain_timeout: Duration,
    /// Whether the drain ran out of time with requests or jobs open.
    is_cut_short: Cell<bool>,
    dispatch: RefCell<Dispatch>,
    pending: RefCell<HashMap<RequestId, Sender<Answer>>>,
    last_request: Cell<u64>,
    armed_for: Cell<Option<Mono>>,
    rearm: (Sender<()>, Receiver<()>),
}

impl Engine {
    /// Creates an engine that owns `dispatch`; `drain_timeout_ms` is that of the process.
    pub fn new(kernel: &Kernel, dispatch: Dispatch, drain_timeout_ms: Millis) -> Rc<Self> {
        Rc::new(Engine {
            kernel: kernel.clone(),
            drain_timeout: drain_timeout_ms.into(),
            is_cut_short: Cell::new(false),
            dispatch: RefCell::new(dispatch),
            pending: RefCell::default(),
            last_request: Cell::new(0),
            armed_for: Cell::new(None),
            rearm: async_channel::bounded(1),
        })
    }

    /// Applies one input to the state machine and executes its outputs.
    pub fn handle_input(&self, input: Input) {
        let now = self.kernel.clock().now();
        let outputs = self.dispatch.borrow_mut().handle(now, input);
        for output in outputs {
            self.execute(output);
        }
        self.arm_timer();
    }

    /// Starts the drain: new jobs are refused, and every open request is answered shortly before the
    /// process's drain times out. Returns the time of these answers.
    pub fn begin_drain(self: &Rc<Self>) -> Instant {
        let answer_at = Instant::now() + time_until_expiry(self.drain_timeout);
        self.handle_input(Input::Drain);
        self.kernel
            .spawn(self.clone().expire_drain(answer_at))
            .detach();
        answer_at
    }

    async fn expire_drain(self: Rc<Self>, answer_at: Instant) {
        Timer::at(answer_at).await;
        let has_open_work = self.pending_requests() > 0 || self.inspect(Dispatch::live_jobs) > 0;
        self.is_cut_short.set(has_open_work);
        self.handle_input(Input::DrainExpired);
    }

    /// Passes a request to the state machine and waits for its answer.
    pub async fn request(&self, make_input: impl FnOnce(RequestId) -> Input) -> Answer {
        let request = RequestId(self.last_request.get() + 1);
        self.last_request.set(request.0);
        let (sender, receiver) = async_channel::bounded(1);
        self.pending.borrow_mut().insert(request, sender);
        self.handle_input(make_input(request));
        receiver
            .recv()
            .await
            .expect("the dispatch state machine answers every request")
    }

    /// Calls `read` with the state machine and returns its result.
    pub fn inspect<T>(&self, read: impl FnOnce(&Dispatch) -> T) -> T {
        read(&self.dispatch.borrow())
    }

    /// Returns the number of requests that wait for an answer.
    pub fn pending_requests(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Executes one output. Calls that take time are spawned, so that they never delay a step of the state
    /// machine.
    fn execute(&self, output: Output) {
        match output {
            Output::Answer { request, answer } => self.answer(request, answer),
            Output::Emit(event) => self.kernel.emit(event),
            Output::Append(batch) => self.service::<ClaimLog>(CLAIM_LOG).append(batch),
            Output::Forward { request, to, call } => {
                let address = self
                    .dispatch
                    .borrow()
                    .member(to)
                    .map(|member| member.peer_address);
                self.service::<Peers>(PEERS).forward(request, address, call);
            }
            output @ (Output::Start { .. } | Output::Stop { .. } | Output::Query { .. }) => {
                self.service::<Upstreams>(UPSTREAMS).execute(output);
            }
        }
    }

    fn answer(&self, request: RequestId, answer: Answer) {
        let pending = self.pending.borrow_mut().remove(&request);
        if let Some(sender) = pending {
            // The channel has room for the only answer; if the receiver is closed, the caller has disconnected.
            let _ = sender.try_send(answer);
        }
    }

    fn service<T: 'static>(&self, name: ServiceName) -> Rc<T> {
        self.kernel
            .find(name)
            .expect("every service starts before the first request arrives")
    }

    fn arm_timer(&self) {
        let wake_at = self.dispatch.borrow().wake_at();
        let is_sooner = match (wake_at, self.armed_for.get()) {
            (Some(wake_at), Some(armed)) => wake_at < armed,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_sooner {
            // A full channel means that the timer is about to be set again anyway.
            let _ = self.rearm.0.try_send(());
        }
    }

    /// Refreshes the metrics until the process ends.
    async fn refresh_metrics(self: Rc<Self>) {
        loop {
            self.inspect(measures::refresh);
            Timer::after(METRICS_REFRESH_INTERVAL).await;
        }
    }

    /// Waits until no job is live.
    pub async fn wait_for_jobs(&self) {
        while self.inspect(Dispatch::live_jobs) > 0 {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Ticks the state machine at each wake time that it requests, and at least every
    /// [`TICK_INTERVAL_MAX`].
    async fn tick(self: Rc<Self>) {
        loop {
            let wake_at = self.dispatch.borrow().wake_at();
            self.armed_for.set(wake_at);
            let wake = async {
                match wake_at {
                    Some(at) => self.kernel.clock().sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let rearmed = async {
                let _ = self.rearm.1.recv().await;
            };
            let interval_elapsed = async {
                Timer::after(TICK_INTERVAL_MAX).await;
            };
            rearmed.or(wake).or(interval_elapsed).await;
            self.handle_input(Input::Tick);
        }
    }
}

/// Returns how long a drain of at most `drain_timeout` waits before it answers the open requests.
fn time_until_expiry(drain_timeout: Duration) -> Duration {
    let margin = ANSWER_MARGIN_MAX.min(drain_timeout / ANSWER_MARGIN_DIVISOR);
    drain_timeout - margin
}

/// The service that registers an [`Engine`] with the kernel, ticks its state machine and refreshes
/// the metrics.
pub struct EngineService {
    engine: Rc<Engine>,
}

impl EngineService {
    /// Creates the service, which ticks the engine's state machine until the process ends.
    pub fn new(engine: Rc<Engine>) -> Self {
        EngineService { engine }
    }
}

impl Service for EngineService {
    fn name(&self) -> ServiceName {
        ENGINE
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let descriptor = Descriptor {
                name: ENGINE,
                summary: "dispatch state machine",
            };
            kernel.register(descriptor, self.engine.clone())?;
            kernel.spawn(self.engine.clone().tick()).detach();
            kernel.spawn(self.engine.clone().refresh_metrics()).detach();
            Ok(())
        })
    }

    /// Waits until the last job has ended. A drain that was cut short doesn't return: its process
    /// ends when the drain times out, and the stops of its tasks have the time until then.
    fn drain<'a>(&'a self, _kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        Box::pin(async move {
            self.engine.wait_for_jobs().await;
            if self.engine.is_cut_short.get() {
                std::future::pending::<()>().await;
            }
        })
    }
}
