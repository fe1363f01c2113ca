//! Drives the state machine of the pool that this host owns.
//!
//! Each call to an executor runs as a separate asynchronous task. Its result is passed to the state
//! machine, whose actions become the next calls. Results of calls that were made under an earlier
//! fencing token are ignored.

mod calls;
mod levels;
pub mod order_turns;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use onyxshed_core::{Event, EventKind};
use onyxshed_http::ClientOptions;
use onyxshed_http::connections::{ConnectionPool, IdleLimit};
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_pool::{
    Action, Decision, ExecutorFacts, ExecutorId, FencingToken, Heartbeat, JobEnd, JobId,
    JobRequest, LevelTable, NotRunReason, OwnershipTransfer, PeerIncarnation, Pool, PoolId,
    PoolLoad, PoolOptions, Session, SubmissionNumber, TICK_PERIOD, UnknownReason,
};
use onyxshed_proto::rpc::ConnectionCount;
use smol_str::{SmolStr, format_smolstr};

use crate::boot_clock;
use crate::decisions;
use crate::evacuations::ZoneEvacuations;
use crate::measures::{HostMetrics, OverloadMetrics};
use crate::names::ENGINE;
use crate::refusal_metrics::RefusalMetrics;
use crate::zone_reader::ZoneReader;
use order_turns::OrderTurns;

/// Timeout for opening a connection to an executor; a new connection takes up to 20 ms across
/// zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of idle connections that are kept per executor: one for the pending hold order, and one
/// for each of the start and stop orders that are usually sent together.
const IDLE_CONNECTIONS: usize = 4;

/// How long a stopping owner continues to accept jobs without a successor: about three fifths of the
/// platform's grace period, so that the last jobs have the rest. A zone that is partitioned from the
/// store has no next owner until the partition heals.
const SUCCESSOR_WAIT_MAX: Duration = Duration::from_millis(3_700);

/// Interval at which a stopping owner checks whether its jobs have ended.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Time in which every peer learns by a heartbeat that this host is no longer an owner: the longest
/// interval between two heartbeats of an idle link, and its answer.
const PEER_NOTICE_TIME: Duration = Duration::from_millis(1_450);

/// Reason for which a stopping owner gives up its pool, as logged.
const STOPPING: &str = "this host is stopping";

type PendingReplies = BTreeMap<(PeerIncarnation, SubmissionNumber), Sender<JobEnd>>;

/// Limits on the connections to executors for start and stop orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Largest number of orders in progress, each of which may use a connection of its own.
    pub in_progress_max: usize,
    /// Largest number of idle connections.
    pub idle_max: usize,
}

/// Handle to the pool that this host owns, if it owns one.
pub struct Engine {
    kernel: Kernel,
    incarnation: PeerIncarnation,
    options: PoolOptions,
    pool: RefCell<Option<Pool>>,
    owned_pool: RefCell<Option<PoolId>>,
    pending_replies: RefCell<PendingReplies>,
    connections: RefCell<BTreeMap<ExecutorId, Rc<ConnectionPool>>>,
    was_fenced: Cell<bool>,
    /// Member names of previous owners that the store may still list; empty unless this owner is a
    /// successor that is not registered in the store yet.
    past_members: RefCell<Vec<SmolStr>>,
    evacuations: Rc<ZoneEvacuations>,
    metrics: HostMetrics,
    overload_metrics: OverloadMetrics,
    levels: RefCell<LevelTable>,
    refusal_metrics: RefusalMetrics,
    zone_reader: ZoneReader,
    order_turns: OrderTurns,
    /// Limit on the idle connections to all executors.
    idle_limit: IdleLimit,
    /// Number of connections of peers; empty until peers can connect.
    peer_connections: OnceCell<ConnectionCount>,
}

impl Engine {
    /// Creates the handle of a host that owns no pool yet.
    pub fn new(
        kernel: &Kernel,
        incarnation: PeerIncarnation,
        options: PoolOptions,
        calls: CallLimits,
        evacuations: Rc<ZoneEvacuations>,
    ) -> Rc<Self> {
        Rc::new(Engine {
            kernel: kernel.clone(),
            incarnation,
            options,
            pool: RefCell::default(),
            owned_pool: RefCell::default(),
            pending_replies: RefCell::default(),
            connections: RefCell::default(),
            was_fenced: Cell::new(false),
            past_members: RefCell::default(),
            evacuations,
            order_turns: OrderTurns::new(calls.in_progress_max),
            idle_limit: IdleLimit::new(calls.idle_max),
            metrics: HostMetrics::new(),
            overload_metrics: OverloadMetrics::new(),
            levels: RefCell::default(),
            refusal_metrics: RefusalMetrics::new(),
            zone_reader: ZoneReader::default(),
            peer_connections: OnceCell::new(),
        })
    }

    /// Returns the incarnation of this host, which is new for each start of its process.
    pub fn incarnation(&self) -> PeerIncarnation {
        self.incarnation
    }

    /// Returns the pool that this host owns, or `None` if it owns none.
    pub fn owned_pool(&self) -> Option<PoolId> {
        self.owned_pool.borrow().clone()
    }

    /// Returns the fencing token of the owned pool, or `None` if this host owns none.
    pub fn token(&self) -> Option<FencingToken> {
        self.pool.borrow().as_ref().map(Pool::token)
    }

    /// Returns the number of executors and the number of unfinished jobs of the owned pool; both
    /// are 0 if this host owns none.
    pub fn counts(&self) -> (usize, usize) {
        let pool = self.pool.borrow();
        pool.as_ref()
            .map_or((0, 0), |pool| (pool.executor_count(), pool.job_count()))
    }

    /// Returns whether an executor has refused this host's fencing token since the last call.
    pub fn take_fenced(&self) -> bool {
        self.was_fenced.take()
    }

    /// Becomes the owner of a pool. If `last_owner_answers`, the previous owner may still use some
    /// of the pool's executors, which are left to it until the handover ends.
    pub fn acquire_pool(
        self: &Rc<Self>,
        token: FencingToken,
        id: PoolId,
        last_owner_answers: bool,
    ) {
        let detail = match last_owner_answers {
            true => format_smolstr!("pool {id}, token {token}, previous owner answers"),
            false => format_smolstr!("pool {id}, token {token}"),
        };
        *self.owned_pool.borrow_mut() = Some(id);
        let mut pool = Pool::new(
            boot_clock::now(),
            token,
            self.incarnation,
            self.options.clone(),
        );
        if last_owner_answers {
            pool.await_predecessor();
        }
        *self.pool.borrow_mut() = Some(pool);
        self.overload_metrics.record_begin(boot_clock::now());
        self.update_evacuation();
        self.kernel.spawn(self.clone().tick(token)).detach();
        self.kernel
            .emit(Event::new(EventKind::PoolOwned).detail(detail));
    }

    /// Gives up ownership of the pool, if one is owned. The outcome of its unfinished jobs is
    /// reported as unknown.
    pub fn step_down(self: &Rc<Self>, reason: &'static str) {
        let Some(mut pool) = self.pool.borrow_mut().take() else {
            return;
        };
        if let Some(owned) = self.owned_pool.take() {
            self.forget_report(&owned);
        }
        let jobs = pool.job_count();
        let token = pool.token();
        self.overload_metrics.record_end(boot_clock::now());
        let actions = pool.step_down();
        self.execute(token, actions);
        self.connections.borrow_mut().clear();
        self.zone_reader.clear();
        let detail = format_smolstr!("{reason}, token {token}, {jobs} jobs");
        self.kernel
            .emit(Event::new(EventKind::PoolGivenUp).detail(detail));
    }

    /// Returns the list of the zone's executors that this host reads for the zone's other owners.
    pub fn zone_reader(&self) -> &ZoneReader {
        &self.zone_reader
    }

    /// Announces that this owner wants to be replaced. It continues to serve until another host
    /// takes over.
    pub fn begin_drain(&self) {
        if let Some(pool) = self.pool.borrow_mut().as_mut() {
            pool.begin_drain();
        }
    }

    /// Returns whether the next owner is taking over the pool.
    pub fn is_releasing(&self) -> bool {
        let pool = self.pool.borrow();
        pool.as_ref().is_some_and(Pool::is_releasing)
    }

    /// Returns whether the pool has stopped accepting jobs.
    pub fn is_closed(&self) -> bool {
        let pool = self.pool.borrow();
        pool.as_ref().is_some_and(Pool::is_closed)
    }

    /// Sets the number of connections of peers, which the peers' interface counts.
    pub fn set_peer_connections(&self, connections: ConnectionCount) {
        // Cannot fail: the interface is opened once.
        let _ = self.peer_connections.set(connections);
    }

    /// Waits until another host has taken over the pool, or until it has rejected further jobs and
    /// ended those that remain. Returns when the peers know that this host owns no pool.
    pub async fn drain(self: &Rc<Self>) {
        while !self.has_drained() {
            Timer::after(DRAIN_POLL).await;
        }
        self.step_down(STOPPING);
        self.wait_for_peers().await;
    }

    /// Waits until no peer is connected, for at most `PEER_NOTICE_TIME`. Replies to jobs have
    /// arrived by then, and no peer submits further ones to this host.
    async fn wait_for_peers(&self) {
        let Some(connections) = self.peer_connections.get() else {
            return;
        };
        let deadline = Instant::now() + PEER_NOTICE_TIME;
        while connections.get() > 0 && Instant::now() < deadline {
            Timer::after(DRAIN_POLL).await;
        }
    }

    /// Returns whether this host owns no pool, or the pool has stopped accepting jobs and has none.
    fn has_drained(&self) -> bool {
        let pool = self.pool.borrow();
        pool.as_ref()
            .is_none_or(|pool| (pool.is_closed() || pool.is_releasing()) && pool.job_count() == 0)
    }

    /// Returns whether this host owns `pool` and has not begun to release it to the next owner.
    pub fn serves(&self, pool: &PoolId) -> bool {
        self.owned_pool.borrow().as_ref() == Some(pool) && !self.is_releasing()
    }

    /// Releases idle executors to the next owner, and returns those that this owner still uses.
    ///
    /// Returns `None` if no pool is owned or if `next` is not higher than the token of this owner.
    pub fn release(self: &Rc<Self>, next: FencingToken) -> Option<Vec<ExecutorId>> {
        if self.token().is_none_or(|token| token >= next) {
            return None;
        }
        let mut used = Vec::new();
        self.dispatch_event(|pool| {
            let (actions, still_used) = pool.release(boot_clock::now(), next);
            used = still_used;
            actions
        });
        Some(used)
    }

    /// Sets the executors that the previous owner still uses; ignored if `token` is not the token
    /// of the owned pool.
    pub fn apply_predecessor_executors(
        self: &Rc<Self>,
        token: FencingToken,
        executors: BTreeSet<ExecutorId>,
    ) {
        self.dispatch_call_result(token, |pool| {
            pool.apply_predecessor_executors(boot_clock::now(), executors)
        });
    }

    /// Passes an input to the pool's state machine and executes the resulting actions. Does nothing
    /// if no pool is owned.
    fn dispatch_event(self: &Rc<Self>, event: impl FnOnce(&mut Pool) -> Vec<Action>) {
        let result = {
            let mut pool = self.pool.borrow_mut();
            pool.as_mut().map(|pool| (pool.token(), event(pool)))
        };
        if let Some((token, actions)) = result {
            self.execute(token, actions);
        }
    }

    /// Passes the result of a call to the pool's state machine, unless the call was made under a
    /// fencing token other than the current one.
    fn dispatch_call_result(
        self: &Rc<Self>,
        token: FencingToken,
        event: impl FnOnce(&mut Pool) -> Vec<Action>,
    ) {
        if self.token() == Some(token) {
            self.dispatch_event(event);
        }
    }

    fn execute(self: &Rc<Self>, token: FencingToken, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id, order) => self.spawn_start(token, id, order),
                Action::Stop(id, order) => self.spawn_stop(token, id, order),
                Action::Hold(id, order, pause) => self.spawn_hold(token, id, order, pause),
                Action::End {
                    peer,
                    submission,
                    end,
                    ..
                } => self.deliver(peer, submission, end),
                Action::StepDown => {
                    self.was_fenced.set(true);
                    self.step_down("another host owns the pool");
                }
                Action::Log(decision) => self.log_decision(token, &decision),
            }
        }
    }

    fn log_decision(&self, token: FencingToken, decision: &Decision) {
        match decision {
            Decision::ExecutorForgotten(id) => {
                self.connections.borrow_mut().remove(id);
            }
            Decision::OverloadChanged { to, .. } => {
                self.overload_metrics.record_change(boot_clock::now(), *to);
            }
            _ => {}
        }
        self.kernel.emit(decisions::event_of(decision, token));
    }

    /// Sends the end of a job to the request that waits for it.
    fn deliver(&self, peer: PeerIncarnation, submission: SubmissionNumber, end: JobEnd) {
        if let Some(sender) = self
            .pending_replies
            .borrow_mut()
            .remove(&(peer, submission))
        {
            // Fails if the caller has disconnected, which drops the receiver.
            let _ = sender.try_send(end);
        }
    }

    /// Submits a job to the owned pool, and returns the channel on which its end is delivered.
    /// Without an owned pool the end is `NotRun`.
    pub fn submit(self: &Rc<Self>, session: Session, request: JobRequest) -> Receiver<JobEnd> {
        let (sender, receiver) = async_channel::bounded(1);
        if self.pool.borrow().is_none() {
            let end = JobEnd::NotRun(NotRunReason::NotOwner, onyxshed_core::Millis(0));
            // Cannot fail: the channel has capacity for the single reply.
            let _ = sender.try_send(end);
            return receiver;
        }
        let key = (request.peer, request.submission);
        self.pending_replies.borrow_mut().insert(key, sender);
        self.dispatch_event(|pool| pool.submit(boot_clock::now(), session, request));
        receiver
    }

    /// Cancels a job on behalf of its entry host, which is the host that received the job from its
    /// caller.
    pub fn cancel(
        self: &Rc<Self>,
        peer: PeerIncarnation,
        submission: SubmissionNumber,
        job: JobId,
        reason: UnknownReason,
    ) {
        self.dispatch_event(|pool| pool.cancel(boot_clock::now(), peer, submission, job, reason));
        self.pending_replies
            .borrow_mut()
            .remove(&(peer, submission));
    }

    /// Records a heartbeat of an entry host. Returns the session of its connection, or `None` if no
    /// pool is owned.
    pub fn record_peer_contact(self: &Rc<Self>, heartbeat: &Heartbeat) -> Option<Session> {
        let mut session = None;
        self.dispatch_event(|pool| {
            let (actions, current) = pool.record_peer_contact(boot_clock::now(), heartbeat);
            session = Some(current);
            actions
        });
        session
    }

    /// Sets whether this owner needs a successor because the store has not appointed a new owner.
    pub fn set_successor_needed(&self, is_needed: bool) {
        if let Some(pool) = self.pool.borrow_mut().as_mut() {
            pool.set_successor_needed(is_needed);
        }
    }

    /// Returns the ownership transfer for a host that has just sent a heartbeat, or `None` if that
    /// host is not the successor.
    pub fn transfer_ownership(
        &self,
        peer: PeerIncarnation,
        own_member: &SmolStr,
    ) -> Option<OwnershipTransfer> {
        let mut pool = self.pool.borrow_mut();
        let mut members = self.past_members();
        members.push(own_member.clone());
        pool.as_mut()
            .and_then(|pool| pool.transfer_ownership(boot_clock::now(), peer, members))
    }

    /// Returns the member names of previous owners that the store may still list; empty unless this
    /// owner is a successor that is not registered in the store yet.
    pub fn past_members(&self) -> Vec<SmolStr> {
        self.past_members.borrow().clone()
    }

    /// Sets the member names of previous owners that the store may still list.
    pub fn set_past_members(&self, members: Vec<SmolStr>) {
        *self.past_members.borrow_mut() = members;
    }

    /// Records that the list of the pool's executors has been read.
    pub fn mark_executors_read(&self) {
        if let Some(pool) = self.pool.borrow_mut().as_mut() {
            pool.mark_executors_read();
        }
    }

    /// Returns the load report of the pool, or `None` if no pool is owned.
    pub fn load(&self) -> Option<PoolLoad> {
        let pool = self.pool.borrow();
        pool.as_ref().map(|pool| pool.load(boot_clock::now()))
    }

    /// Adds or updates an executor as the platform lists it, and replaces its idle connections if
    /// its address has changed.
    pub fn record_listed_executor(self: &Rc<Self>, id: ExecutorId, facts: ExecutorFacts) {
        self.update_connections(&id, &facts);
        self.dispatch_event(|pool| pool.record_listed_executor(boot_clock::now(), id, facts));
    }

    /// Removes an executor that the platform no longer lists.
    pub fn record_unlisted_executor(self: &Rc<Self>, id: &ExecutorId) {
        self.dispatch_event(|pool| pool.record_unlisted_executor(boot_clock::now(), id));
    }

    fn update_connections(&self, id: &ExecutorId, facts: &ExecutorFacts) {
        let mut connections = self.connections.borrow_mut();
        if connections
            .get(id)
            .is_some_and(|pool| pool.address() == facts.address)
        {
            return;
        }
        let options = ClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            ..ClientOptions::default()
        };
        let pool = ConnectionPool::new(facts.address, options, IDLE_CONNECTIONS)
            .with_idle_limit(self.idle_limit.clone());
        connections.insert(id.clone(), Rc::new(pool));
    }

    /// Passes to the pool's state machine whether its zone is evacuated.
    fn update_evacuation(self: &Rc<Self>) {
        let owned = self.owned_pool();
        let is_evacuated = owned.is_some_and(|pool| self.evacuations.contains(&pool.zone));
        self.dispatch_event(|pool| pool.set_evacuated(boot_clock::now(), is_evacuated));
    }

    /// Evaluates the timers of the pool while this host owns it under `token`.
    async fn tick(self: Rc<Self>, token: FencingToken) {
        while self.token() == Some(token) {
            Timer::after(TICK_PERIOD.into()).await;
            self.update_evacuation();
            self.dispatch_event(|pool| pool.tick(boot_clock::now()));
            self.update_levels();
            let limited = self.pool.borrow().as_ref().map(Pool::limited_caller_count);
            self.refusal_metrics
                .set_limited_callers(limited.unwrap_or_default());
        }
        self.refusal_metrics.set_limited_callers(0);
    }
}

/// Service that registers the [`Engine`] and limits the time for which it serves its pool while the
/// process drains. The callers' service waits for [`Engine::drain`], since it serves callers until
/// then.
pub struct EngineService {
    engine: Rc<Engine>,
    drain_timeout: Duration,
}

impl EngineService {
    /// Creates the service. Jobs of the pool that are unfinished `drain_timeout` after the start of
    /// the process's drain end as unknown.
    pub fn new(engine: Rc<Engine>, drain_timeout: Duration) -> Self {
        EngineService {
            engine,
            drain_timeout,
        }
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
                summary: "the pool that this host owns",
            };
            kernel.register(descriptor, self.engine.clone())
        })
    }

    /// Schedules the time at which the pool rejects jobs and returns those that have not started,
    /// and the time at which it is given up.
    fn begin_drain(&self, kernel: &Kernel) {
        let now = Instant::now();
        let close_at = now + SUCCESSOR_WAIT_MAX.min(self.drain_timeout);
        let end_at = now + self.drain_timeout;
        let engine = self.engine.clone();
        let end = async move {
            Timer::at(close_at).await;
            engine.dispatch_event(Pool::close);
            Timer::at(end_at).await;
            engine.step_down(STOPPING);
        };
        kernel.spawn(end).detach();
    }
}
