//! Links to the owners of pools, over `capnp-rpc`.
//!
//! The heartbeats of a link show the owner that this host is running. Their replies carry the
//! session of this host and the load report of the pool. If the owner does not answer in time, the
//! link goes down, and every job that was submitted on it ends immediately with an unknown outcome.

mod heartbeat_schedule;
mod port;
mod remote;
mod successors;
mod topic_message;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::{FutureExt, future};
use onyxshed_core::{Event, EventKind, Millis, Mono};
use onyxshed_http::ListenOptions;
pub use onyxshed_http::capacity::PEERS_MAX;
use onyxshed_http::client::with_timeout;
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Notifier, Result, Service, ServiceName};
use onyxshed_pool::{
    AfterEnd, ClassId, ConnectionNumber, EntryDecision, JobEnd, JobId, JobNeeds, JobRequest,
    NotRunReason, OwnershipTransfer, PeerIncarnation, PoolId, PoolLoad, PoolSelector,
    SubmissionNumber, UnknownReason, linked_pools,
};
use onyxshed_process::{listen, serve_rpc};
use onyxshed_proto::pool_capnp::pool_port;
use smol_str::{SmolStr, format_smolstr};

use crate::boot_clock;
use crate::directory::member_name;
use crate::engine::Engine;
use crate::evacuations::ZoneEvacuations;
use crate::executors::first_pool;
use crate::names::{ENGINE, LINKS, MANIFEST};
use crate::shard_layouts::ShardLayouts;
use crate::topic::{TopicUpdate, Topics};

pub use heartbeat_schedule::{HEARTBEAT_PERIOD, HeartbeatSchedule};
pub use remote::{RemoteLink, WaiterGuard};

/// A topic and the offset from which a peer reads it on.
pub type TopicPosition = (SmolStr, u64);

/// A topic and what its owner knows beyond a peer's position.
pub type NamedUpdate = (SmolStr, TopicUpdate);

/// Number of pools up to which every idle link sends heartbeats at the full rate.
const POOLS_AT_FULL_RATE: u32 = 4;

/// Maximum interval between two heartbeats on an idle link.
const IDLE_HEARTBEAT_MAX: Duration = Duration::from_millis(1_000);

/// Addresses and properties of this host that concern its peers.
#[derive(Debug, Clone)]
pub struct LinkOptions {
    /// Address on which this host listens for peers.
    pub address: SocketAddr,
    /// Address at which peers reach this host.
    pub advertised: SocketAddr,
    /// CPU share of this host, in thousandths of a core.
    pub cpu_millis: u32,
    /// Availability zone of this host.
    pub zone: SmolStr,
    /// Name of this host, which determines the pool to which it submits its jobs first.
    pub host: SmolStr,
    /// Maximum number of hosts that an owner serves at the same time.
    ///
    /// Above this limit each new connection closes the oldest one, whose jobs are lost. Hosts link to
    /// some owners only ([`linked_pools`]), so that 2,000 hosts stay below [`PEERS_MAX`].
    pub peers_max: usize,
}

/// Links to the owners of the pools that this host does not own.
pub struct Links {
    kernel: Kernel,
    engine: Rc<Engine>,
    shard_layouts: Rc<ShardLayouts>,
    evacuations: Rc<ZoneEvacuations>,
    options: LinkOptions,
    selector: RefCell<PoolSelector>,
    remote: RefCell<BTreeMap<PoolId, Rc<RemoteLink>>>,
    last_submission: Cell<u64>,
    last_connection: Cell<u64>,
    /// Pools for which this process has known an owner or has read the owner record.
    known_pools: RefCell<BTreeSet<PoolId>>,
    /// Previous owners that a successor has replaced, which the store may still list.
    superseded: RefCell<BTreeMap<PoolId, SocketAddr>>,
    /// The last transfer that made this host a successor, with its pool and the time at which it
    /// was received; `None` once it has been taken.
    pending_transfer: RefCell<Option<(Mono, PoolId, OwnershipTransfer)>>,
    transfer_received: Notifier,
    owner_changed: Notifier,
}

impl Links {
    /// Creates the handle, without any links. If `transfers_work`, jobs go to the pool in which they end
    /// first.
    pub fn new(
        kernel: &Kernel,
        engine: Rc<Engine>,
        shard_layouts: Rc<ShardLayouts>,
        evacuations: Rc<ZoneEvacuations>,
        options: LinkOptions,
        transfers_work: bool,
    ) -> Rc<Self> {
        Rc::new(Links {
            shard_layouts,
            evacuations,
            kernel: kernel.clone(),
            engine,
            options,
            selector: RefCell::new(PoolSelector::new(transfers_work)),
            remote: RefCell::default(),
            last_submission: Cell::new(0),
            last_connection: Cell::new(0),
            known_pools: RefCell::default(),
            superseded: RefCell::default(),
            pending_transfer: RefCell::default(),
            transfer_received: Notifier::default(),
            owner_changed: Notifier::default(),
        })
    }

    /// Returns the incarnation of this host, under which it submits jobs to owners.
    pub fn incarnation(&self) -> PeerIncarnation {
        self.engine.incarnation()
    }

    /// Returns a new submission number. Numbers start at 1 and are unique within this incarnation.
    pub fn next_submission(&self) -> SubmissionNumber {
        self.last_submission.set(self.last_submission.get() + 1);
        SubmissionNumber(self.last_submission.get())
    }

    /// Returns the number of a new connection to an owner. Numbers start at 1 and are unique within this
    /// incarnation.
    fn next_connection(&self) -> ConnectionNumber {
        self.last_connection.set(self.last_connection.get() + 1);
        ConnectionNumber(self.last_connection.get())
    }

    /// Returns the pool to which this host submits its jobs first: a pool of its zone, determined
    /// by the host's name.
    pub fn preferred_pool(&self) -> PoolId {
        let zone = &self.options.zone;
        PoolId {
            zone: zone.clone(),
            index: self
                .shard_layouts
                .layout_of(zone)
                .preferred_index(&self.options.host),
        }
    }

    /// Returns the time between two heartbeats on an idle link. It grows with the number of pools:
    /// at the full rate the heartbeats of all hosts would use up the CPU of an owner.
    fn idle_heartbeat_period(&self) -> Duration {
        let pools = u32::try_from(self.remote.borrow().len()).unwrap_or(u32::MAX);
        let scale = pools.div_ceil(POOLS_AT_FULL_RATE).max(1);
        (HEARTBEAT_PERIOD * scale).min(IDLE_HEARTBEAT_MAX)
    }

    /// Returns the pools to whose owners this host keeps links. An owner also keeps a link to the owner
    /// that reads the executors' entries for its zone.
    pub fn planned_pools(&self) -> Vec<PoolId> {
        let pools = self.shard_layouts.pools();
        let zone = &self.options.zone;
        let mut planned = linked_pools(&self.options.host, zone, &self.preferred_pool(), &pools);
        let reader = first_pool(zone);
        if self.engine.owned_pool().is_some() && !planned.contains(&reader) {
            planned.push(reader);
        }
        planned
    }

    /// Returns whether this host keeps a link to the owner of a pool.
    pub fn is_planned(&self, pool: &PoolId) -> bool {
        self.planned_pools().contains(pool)
    }

    /// Closes the links to pools that are not in `pools`.
    pub fn retain_pools(self: &Rc<Self>, pools: &BTreeSet<PoolId>) {
        let removed: Vec<PoolId> = {
            let remote = self.remote.borrow();
            let removed = remote.keys().filter(|pool| !pools.contains(pool));
            removed.cloned().collect()
        };
        for pool in removed {
            self.set_owner(&pool, None);
        }
    }

    /// Returns the pools in the order in which a job should be submitted to them.
    pub fn rank_pools(self: &Rc<Self>, job: &JobRequest) -> Vec<PoolId> {
        let now = boot_clock::now();
        if let (Some(load), Some(owned)) = (self.engine.load(), self.engine.owned_pool()) {
            if self.engine.serves(&owned) {
                let mut selector = self.selector.borrow_mut();
                selector.record_report(now, &owned, load);
            } else if let Some(successor) = load.successor {
                self.follow_successor(&owned, successor);
            }
        }
        let mut selector = self.selector.borrow_mut();
        let evacuations = self.evacuations.known();
        let home = self.preferred_pool();
        if let Some(choices) = selector.choices() {
            return choices.rank(now, &home, &JobNeeds::of(job), &evacuations);
        }
        selector.rank_pools(&home, job.demand, job.tasks, &evacuations)
    }

    /// Returns what follows the end of a job in a pool.
    pub fn after_end(&self, pool: &PoolId, end: &JobEnd, job: &JobRequest) -> AfterEnd {
        let mut selector = self.selector.borrow_mut();
        match (selector.choices(), end) {
            (Some(choices), _) => {
                let evacuations = self.evacuations.known();
                let home = self.preferred_pool();
                choices.after_end(boot_clock::now(), &home, (pool, end), job, &evacuations)
            }
            (None, JobEnd::NotRun(..)) => AfterEnd::TryNext,
            (None, _) => AfterEnd::Answer,
        }
    }

    /// Returns whether a pool may admit a job that another pool has refused for want of room; see
    /// [`PoolSelector::may_admit`].
    pub fn may_admit(&self, pool: &PoolId) -> bool {
        self.selector.borrow().may_admit(pool)
    }

    /// Waits until this host's own pool is drained; see [`Engine::drain`].
    pub async fn drain_own_pool(&self) {
        self.engine.drain().await;
    }

    /// Returns why there is no pool to submit a job to: every zone is evacuated, or no owner is
    /// known.
    pub fn no_pool_reason(&self) -> NotRunReason {
        match self.evacuations.covers_deployment() {
            true => NotRunReason::ZoneEvacuated,
            false => NotRunReason::NotOwner,
        }
    }

    /// Returns whether this host owns a pool whose zone is not evacuated, or has a link to the
    /// owner of such a pool.
    pub fn can_reach_pool(&self) -> bool {
        let remote = self.remote.borrow();
        let answering = remote.iter().filter(|(_, link)| link.is_up());
        let mut pools = answering.map(|(pool, _)| pool);
        let owned = self.engine.owned_pool();
        owned.is_some_and(|pool| self.is_in_service(&pool))
            || pools.any(|pool| self.is_in_service(pool))
    }

    /// Returns whether callers should be sent to another host, because this host reaches no pool.
    /// Returns `false` while every zone is evacuated, since every host rejects callers then.
    pub fn should_divert_callers(&self) -> bool {
        !self.can_reach_pool() && !self.evacuations.covers_deployment()
    }

    fn is_in_service(&self, pool: &PoolId) -> bool {
        !self.evacuations.contains(&pool.zone)
    }

    /// Decides whether a request that has just arrived is submitted to a pool; see
    /// [`Engine::decide_arrival`].
    pub fn decide_arrival(&self, class: &ClassId, job: JobId) -> EntryDecision {
        self.engine.decide_arrival(class, job)
    }

    /// Returns whether any pool is known to have executors that accept work.
    pub fn can_reach_executor(&self) -> bool {
        let own_load = self.engine.load();
        own_load.is_some_and(|load| load.capacity_cpu_millis > 0)
            || self.selector.borrow().has_capacity()
    }

    /// Sets the owner of a pool, to `None` if it has no owner or if this host owns it. Opens a link
    /// to a new owner and closes the link to the previous owner.
    pub fn set_owner(self: &Rc<Self>, pool: &PoolId, owner: Option<SocketAddr>) {
        let current = self.remote.borrow().get(pool).map(|link| link.address());
        if current == owner {
            return;
        }
        if let Some(link) = self.remote.borrow_mut().remove(pool) {
            link.close();
        }
        self.superseded.borrow_mut().remove(pool);
        self.selector.borrow_mut().remove_pool(pool);
        self.engine.forget_report(pool);
        let party = match owner {
            Some(address) => {
                let link = RemoteLink::open(self.clone(), pool.clone(), address);
                self.remote.borrow_mut().insert(pool.clone(), link);
                format_smolstr!("{address}")
            }
            None => SmolStr::default(),
        };
        let event = Event::new(EventKind::PoolOwnerChanged).party(party);
        self.kernel
            .emit(event.detail(format_smolstr!("pool {pool}")));
    }

    /// Returns whether the owner of a pool is known and answers.
    pub fn is_up(&self, pool: &PoolId) -> bool {
        let remote = self.remote.borrow();
        remote.get(pool).is_some_and(|link| link.is_up())
    }

    /// Returns whether the owner of a pool answers and does not want to be replaced.
    pub fn has_stable_owner(&self, pool: &PoolId) -> bool {
        self.is_up(pool) && !self.selector.borrow().needs_replacement(pool)
    }

    /// Returns whether [`Self::record_owner`] was called for a pool. If so, the pool's owner record
    /// need not be read again.
    pub fn has_known_owner(&self, pool: &PoolId) -> bool {
        self.known_pools.borrow().contains(pool)
    }

    /// Records that this process has known an owner of a pool, or has read the pool's owner record,
    /// even if there was none.
    pub fn record_owner(&self, pool: &PoolId) {
        self.known_pools.borrow_mut().insert(pool.clone());
    }

    /// Waits until the first connection to the owner of a pool has succeeded or failed, for at most
    /// `timeout`. Returns whether the owner answers.
    pub async fn probe_owner(&self, pool: &PoolId, timeout: Duration) -> bool {
        let Some(link) = self.remote.borrow().get(pool).cloned() else {
            return false;
        };
        with_timeout(timeout, link.wait_for_first_attempt()).await;
        link.is_up()
    }

    /// Returns the link to a pool's owner, or `None` if the owner is unknown or does not answer.
    pub fn link_to(&self, pool: &PoolId) -> Option<Rc<RemoteLink>> {
        let link = self.remote.borrow().get(pool).cloned();
        link.filter(|link| link.is_up())
    }

    /// Returns the link to the owner of the home pool, through which this host follows the topics of
    /// the store. Returns `None` if that owner is unknown or does not answer, and for a host that owns
    /// a pool: owners read the store themselves.
    pub fn home_link(&self) -> Option<Rc<RemoteLink>> {
        match self.engine.owned_pool() {
            Some(_) => None,
            None => self.link_to(&self.preferred_pool()),
        }
    }

    /// Returns the pools whose owners answer, with the owners' addresses. Includes the pool that
    /// this host serves.
    pub fn owners(&self) -> Vec<(PoolId, SocketAddr)> {
        let remote = self.remote.borrow();
        let up = remote.iter().filter(|(_, link)| link.is_up());
        let mut owners: Vec<(PoolId, SocketAddr)> = up
            .map(|(pool, link)| (pool.clone(), link.address()))
            .collect();
        if let Some(owned) = self
            .engine
            .owned_pool()
            .filter(|pool| self.engine.serves(pool))
        {
            owners.push((owned, self.options.advertised));
        }
        owners
    }

    /// Applies the owner of a pool as reported by a peer, unless this host knows an owner that
    /// answers.
    pub fn apply_peer_owner(self: &Rc<Self>, pool: &PoolId, owner: SocketAddr) {
        let is_known = self.is_up(pool) || self.engine.owned_pool().as_ref() == Some(pool);
        if !is_known && owner != self.options.advertised {
            self.set_owner(pool, Some(owner));
        }
    }

    /// Returns the notifier that signals that the link to an owner went down or that an owner wants
    /// to be replaced.
    pub fn owner_changed(&self) -> &Notifier {
        &self.owner_changed
    }

    /// Applies the load report of a pool's owner.
    fn update_load(self: &Rc<Self>, pool: &PoolId, load: PoolLoad) {
        if load.needs_replacement && self.has_stable_owner(pool) {
            self.owner_changed.notify();
        }
        let successor = load.successor;
        self.engine.record_report(pool, &load);
        let now = boot_clock::now();
        self.selector.borrow_mut().record_report(now, pool, load);
        if let Some(successor) = successor {
            self.follow_successor(pool, successor);
        }
    }

    /// Submits a job to a pool and waits for its end. Closing `cancelled` cancels the job, whose end
    /// is still waited for; dropping the future cancels it as well.
    pub async fn run(
        self: &Rc<Self>,
        pool: &PoolId,
        job: JobRequest,
        cancelled: &Receiver<()>,
    ) -> JobEnd {
        self.record_dispatch(pool, &job);
        if self.engine.serves(pool) {
            return self.run_locally(job, cancelled).await;
        }
        let link = self.remote.borrow().get(pool).cloned();
        match link {
            Some(link) => link.run(job, cancelled).await,
            None => JobEnd::NotRun(NotRunReason::NotOwner, Millis(0)),
        }
    }

    fn record_dispatch(&self, pool: &PoolId, job: &JobRequest) {
        let mut selector = self.selector.borrow_mut();
        selector.record_dispatch(pool, job.demand, job.tasks, job.estimate);
        if let Some(choices) = selector.choices() {
            choices.record_dispatch(pool, &JobNeeds::of(job));
        }
    }

    async fn run_locally(&self, job: JobRequest, cancelled: &Receiver<()>) -> JobEnd {
        let guard = LocalCancelGuard {
            engine: self.engine.clone(),
            job: Some((job.submission, job.job)),
        };
        let receiver = self.engine.submit(onyxshed_pool::Session(0), job);
        let cancel = async {
            // Completes when the channel is closed; no value is ever sent.
            let _ = cancelled.recv().await;
            guard.cancel(UnknownReason::EntryStopped);
            future::pending().await
        };
        let end = receiver.recv().or(cancel).await;
        guard.disarm();
        end.unwrap_or(JobEnd::Unknown(UnknownReason::OwnerChanged))
    }
}

/// Guard that cancels a job of the pool that this host owns if the guard is dropped before the job
/// ends, for example because the caller has disconnected.
struct LocalCancelGuard {
    engine: Rc<Engine>,
    job: Option<(SubmissionNumber, JobId)>,
}

impl LocalCancelGuard {
    fn disarm(mut self) {
        self.job = None;
    }

    fn cancel(&self, reason: UnknownReason) {
        if let Some((submission, job)) = self.job {
            let incarnation = self.engine.incarnation();
            self.engine.cancel(incarnation, submission, job, reason);
        }
    }
}

impl Drop for LocalCancelGuard {
    fn drop(&mut self) {
        self.cancel(UnknownReason::Cancelled);
    }
}

/// Service that accepts the connections of peers and registers the [`Links`].
pub struct LinkService {
    links: Rc<Links>,
    topics: Rc<Topics>,
}

impl LinkService {
    /// Creates the service, which listens on the address in the options of `links`. Peers follow
    /// `topics` through it.
    pub fn new(links: Rc<Links>, topics: Rc<Topics>) -> Self {
        LinkService { links, topics }
    }
}

impl Service for LinkService {
    fn name(&self) -> ServiceName {
        LINKS
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[ENGINE, MANIFEST]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let links = &self.links;
            let (listener, _) = listen(
                kernel,
                LINKS,
                "peer",
                links.options.address,
                ListenOptions::default(),
            )
            .await?;
            let member = member_name(links.options.advertised, links.incarnation());
            let deployment = port::DeploymentState {
                links: links.clone(),
                manifest: kernel.find(MANIFEST)?,
                shard_layouts: links.shard_layouts.clone(),
                evacuations: links.evacuations.clone(),
                topics: self.topics.clone(),
            };
            let port = port::Port::new(links.engine.clone(), member, deployment);
            let client: pool_port::Client = capnp_rpc::new_client(port);
            let connections = serve_rpc(kernel, listener, client.client, links.options.peers_max);
            links.engine.set_peer_connections(connections);
            let descriptor = Descriptor {
                name: LINKS,
                summary: "links to the owners of pools",
            };
            kernel.register(descriptor, links.clone())
        })
    }
}
