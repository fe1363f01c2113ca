//! Runs the decisions of the pool that this host owns.
//!
//! Each call to an executor is a task of its own; what comes of it goes back into the decisions,
//! whose actions become the next calls. Calls made under an earlier token are ignored when they
//! come back.

mod calls;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use onyxshed_core::{Event, EventKind};
use onyxshed_http::ClientOptions;
use onyxshed_http::connections::ConnectionPool;
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_pool::{
    Action, Decision, ExecutorFacts, ExecutorId, FencingToken, JobEnd, JobId, JobRequest,
    NotRunReason, OwnershipTransfer, PeerIncarnation, Pool, PoolId, PoolLoad, PoolOptions, Session,
    SubmissionNumber, SuccessorOffer, UnknownReason,
};
use smol_str::{SmolStr, format_smolstr};

use crate::boot_clock;
use crate::decisions;
use crate::evacuations::ZoneEvacuations;
use crate::measures::HostMetrics;
use crate::names::ENGINE;

/// Time between two looks at what is due.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Longest time to open a connection to an executor; a fresh one takes up to 20 ms across zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Idle connections kept for each executor: one that holds, and one for each of the starts and
/// stops that usually come together.
const IDLE_CONNECTIONS: usize = 4;

/// How long a stopping owner waits for the jobs of its pool.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_000);

/// How long a stopping owner that nobody takes over from serves on after its own callers are gone:
/// with the balancer's notice some 3,700 ms of the platform's grace of 6,000, whose rest its last jobs
/// get. A zone that is cut off from the store has no next owner until the cut heals.
const SUCCESSOR_WAIT_MAX: Duration = Duration::from_millis(1_500);

/// How often a stopping owner looks whether its jobs have ended.
const DRAIN_POLL: Duration = Duration::from_millis(10);

type PendingReplies = BTreeMap<(PeerIncarnation, SubmissionNumber), Sender<JobEnd>>;

/// Handle to the pool that this host owns.
pub struct Engine {
    kernel: Kernel,
    incarnation: PeerIncarnation,
    options: PoolOptions,
    pool: RefCell<Option<Pool>>,
    owned_pool: RefCell<Option<PoolId>>,
    pending_replies: RefCell<PendingReplies>,
    connections: RefCell<BTreeMap<ExecutorId, Rc<ConnectionPool>>>,
    was_fenced: Cell<bool>,
    /// Owners before this one that the store may still list, while this one is a successor that the store
    /// does not know.
    past_members: RefCell<Vec<SmolStr>>,
    evacuations: Rc<ZoneEvacuations>,
    metrics: HostMetrics,
}

impl Engine {
    /// Makes the handle of a host that owns nothing yet.
    pub fn new(
        kernel: &Kernel,
        own: PeerIncarnation,
        options: PoolOptions,
        evacuations: Rc<ZoneEvacuations>,
    ) -> Rc<Self> {
        Rc::new(Engine {
            kernel: kernel.clone(),
            incarnation: own,
            options,
            pool: RefCell::default(),
            owned_pool: RefCell::default(),
            pending_replies: RefCell::default(),
            connections: RefCell::default(),
            was_fenced: Cell::new(false),
            past_members: RefCell::default(),
            evacuations,
            metrics: HostMetrics::new(),
        })
    }

    /// Gets this run of this host.
    pub fn incarnation(&self) -> PeerIncarnation {
        self.incarnation
    }

    /// Gets the pool owned, none if this host owns none.
    pub fn owned_pool(&self) -> Option<PoolId> {
        self.owned_pool.borrow().clone()
    }

    /// Gets the token of the pool owned, none if this host owns none.
    pub fn token(&self) -> Option<FencingToken> {
        self.pool.borrow().as_ref().map(Pool::token)
    }

    /// Gets how many executors and jobs the pool has.
    pub fn counts(&self) -> (usize, usize) {
        let pool = self.pool.borrow();
        pool.as_ref()
            .map_or((0, 0), |pool| (pool.executors(), pool.job_count()))
    }

    /// Tells, once, whether an executor refused this host's token.
    pub fn take_fenced(&self) -> bool {
        self.was_fenced.take()
    }

    /// Begins to own the pool; the last owner may still answer and use some of its executors.
    pub fn acquire_pool(
        self: &Rc<Self>,
        token: FencingToken,
        id: PoolId,
        last_owner_answers: bool,
    ) {
        let detail = match last_owner_answers {
            true => format_smolstr!("pool {id}, token {token}, from an owner that answers"),
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
        self.update_evacuation();
        self.kernel.spawn(self.clone().tick(token)).detach();
        self.kernel
            .emit(Event::new(EventKind::PoolOwned).detail(detail));
    }

    /// Gives the pool up; the fate of its jobs is unknown.
    pub fn step_down(self: &Rc<Self>, why: &'static str) {
        let Some(mut pool) = self.pool.borrow_mut().take() else {
            return;
        };
        self.owned_pool.take();
        let jobs = pool.job_count();
        let token = pool.token();
        let actions = pool.step_down();
        self.execute(token, actions);
        self.connections.borrow_mut().clear();
        let detail = format_smolstr!("{why}, token {token}, {jobs} jobs");
        self.kernel
            .emit(Event::new(EventKind::PoolGivenUp).detail(detail));
    }

    /// Says that this owner wants to be replaced; it serves on until then.
    pub fn begin_drain(&self) {
        if let Some(pool) = self.pool.borrow_mut().as_mut() {
            pool.begin_drain();
        }
    }

    /// Tells whether the next owner is taking the pool over.
    pub fn is_releasing(&self) -> bool {
        let pool = self.pool.borrow();
        pool.as_ref().is_some_and(Pool::is_releasing)
    }

    /// Tells whether the pool takes no jobs any more.
    pub fn is_closed(&self) -> bool {
        let pool = self.pool.borrow();
        pool.as_ref().is_some_and(Pool::is_closed)
    }

    /// Tells whether a pool is owned here and takes jobs.
    pub fn serves(&self, pool: &PoolId) -> bool {
        self.owned_pool.borrow().as_ref() == Some(pool) && !self.is_releasing()
    }

    /// Lets go of what the next owner may take, and gets what it may not take yet; none if no pool
    /// is owned or the asker's token is no later one.
    pub fn release(self: &Rc<Self>, next: FencingToken) -> Option<Vec<ExecutorId>> {
        if self.token().is_none_or(|token| token >= next) {
            return None;
        }
        let mut held = Vec::new();
        self.dispatch_event(|pool| {
            let (actions, still_held) = pool.release(boot_clock::now(), next);
            held = still_held;
            actions
        });
        Some(held)
    }

    /// Takes in which executors the last owner still uses.
    pub fn apply_predecessor_executors(
        self: &Rc<Self>,
        token: FencingToken,
        held: BTreeSet<ExecutorId>,
    ) {
        self.dispatch_call_result(token, |pool| {
            pool.apply_predecessor_executors(boot_clock::now(), held)
        });
    }

    /// Feeds the decisions and carries out what they say; nothing if no pool is owned.
    fn dispatch_event(self: &Rc<Self>, event: impl FnOnce(&mut Pool) -> Vec<Action>) {
        let fed = {
            let mut pool = self.pool.borrow_mut();
            pool.as_mut().map(|pool| (pool.token(), event(pool)))
        };
        if let Some((token, actions)) = fed {
            self.execute(token, actions);
        }
    }

    /// Feeds what came of a call that was made under a token.
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
                    self.step_down("another host owns it");
                }
                Action::Log(decision) => self.log_decision(token, &decision),
            }
        }
    }

    fn log_decision(&self, token: FencingToken, decision: &Decision) {
        if let Decision::ExecutorForgotten(id) = decision {
            self.connections.borrow_mut().remove(id);
        }
        self.kernel.emit(decisions::event_of(decision, token));
    }

    fn deliver(&self, peer: PeerIncarnation, submission: SubmissionNumber, end: JobEnd) {
        if let Some(sender) = self
            .pending_replies
            .borrow_mut()
            .remove(&(peer, submission))
        {
            // The receiver is gone when its caller has left; nobody wants the answer then.
            let _ = sender.try_send(end);
        }
    }

    /// Takes in a job and gets what its end will come through.
    pub fn submit(self: &Rc<Self>, session: Session, request: JobRequest) -> Receiver<JobEnd> {
        let (sender, receiver) = async_channel::bounded(1);
        if self.pool.borrow().is_none() {
            let end = JobEnd::NotRun(NotRunReason::NotOwner, onyxshed_core::Millis(0));
            // The channel has room for the one answer.
            let _ = sender.try_send(end);
            return receiver;
        }
        let key = (request.peer, request.submission);
        self.pending_replies.borrow_mut().insert(key, sender);
        self.dispatch_event(|pool| pool.submit(boot_clock::now(), session, request));
        receiver
    }

    /// Gives up a job for its entry host.
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

    /// Notes that an entry host was heard, with what it offers; its session, none if no pool is
    /// owned.
    pub fn record_peer_contact(
        &self,
        life: PeerIncarnation,
        offer: Option<SuccessorOffer>,
    ) -> Option<Session> {
        let mut pool = self.pool.borrow_mut();
        pool.as_mut()
            .map(|pool| pool.record_peer_contact(boot_clock::now(), life, offer))
    }

    /// Says whether a successor is needed, for want of the store.
    pub fn set_successor_needed(&self, is_sought: bool) {
        if let Some(pool) = self.pool.borrow_mut().as_mut() {
            pool.set_successor_needed(is_sought);
        }
    }

    /// Gets what a host that was just heard is given, if it is the successor.
    pub fn transfer_ownership(
        &self,
        life: PeerIncarnation,
        own_member: &SmolStr,
    ) -> Option<OwnershipTransfer> {
        let mut pool = self.pool.borrow_mut();
        let mut members = self.past_members();
        members.push(own_member.clone());
        pool.as_mut()
            .and_then(|pool| pool.transfer_ownership(boot_clock::now(), life, members))
    }

    /// Gets the owners before this one that the store may still list; none unless this one is a successor
    /// that the store does not know.
    pub fn past_members(&self) -> Vec<SmolStr> {
        self.past_members.borrow().clone()
    }

    /// Sets the owners before this one that the store may still list.
    pub fn set_past_members(&self, members: Vec<SmolStr>) {
        *self.past_members.borrow_mut() = members;
    }

    /// Notes that the list of the pool's executors was read.
    pub fn mark_executors_read(&self) {
        if let Some(pool) = self.pool.borrow_mut().as_mut() {
            pool.mark_executors_read();
        }
    }

    /// Sums up the pool, none if no pool is owned.
    pub fn load(&self) -> Option<PoolLoad> {
        let pool = self.pool.borrow();
        pool.as_ref().map(|pool| pool.load(boot_clock::now()))
    }

    /// Takes in an executor as the platform lists it.
    pub fn list_executor(self: &Rc<Self>, id: ExecutorId, facts: ExecutorFacts) {
        self.update_connections(&id, &facts);
        self.dispatch_event(|pool| pool.list_executor(boot_clock::now(), id, facts));
    }

    /// Takes in that an executor is no longer listed.
    pub fn unlist_executor(self: &Rc<Self>, id: &ExecutorId) {
        self.dispatch_event(|pool| pool.unlist_executor(boot_clock::now(), id));
    }

    fn update_connections(&self, id: &ExecutorId, facts: &ExecutorFacts) {
        let mut held = self.connections.borrow_mut();
        if held
            .get(id)
            .is_some_and(|pool| pool.address() == facts.address)
        {
            return;
        }
        let options = ClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            ..ClientOptions::default()
        };
        let pool = ConnectionPool::new(facts.address, options, IDLE_CONNECTIONS);
        held.insert(id.clone(), Rc::new(pool));
    }

    /// Passes on whether the pool's zone is evacuated.
    fn update_evacuation(self: &Rc<Self>) {
        let owned = self.owned_pool();
        let is_evacuated = owned.is_some_and(|pool| self.evacuations.contains(&pool.zone));
        self.dispatch_event(|pool| pool.set_evacuated(boot_clock::now(), is_evacuated));
    }

    async fn tick(self: Rc<Self>, token: FencingToken) {
        while self.token() == Some(token) {
            Timer::after(TICK_PERIOD).await;
            self.update_evacuation();
            self.dispatch_event(|pool| pool.tick(boot_clock::now()));
        }
    }
}

/// The owned pool as a service.
pub struct EngineService {
    engine: Rc<Engine>,
}

impl EngineService {
    /// Makes the service.
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
                summary: "the pool that this host owns",
            };
            kernel.register(descriptor, self.engine.clone())
        })
    }

    /// Serves on for a while if no other host takes the pool over, then waits for its last jobs.
    fn drain<'a>(&'a self, _kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        Box::pin(async move {
            let close_at = Instant::now() + SUCCESSOR_WAIT_MAX;
            let owns = || self.engine.owned_pool().is_some() && !self.engine.is_releasing();
            while owns() && Instant::now() < close_at {
                Timer::after(DRAIN_POLL).await;
            }
            if let Some(pool) = self.engine.pool.borrow_mut().as_mut() {
                pool.close();
            }
            let deadline = Instant::now() + DRAIN_TIMEOUT;
            while self.engine.counts().1 > 0 && Instant::now() < deadline {
                Timer::after(DRAIN_POLL).await;
            }
        })
    }
}
