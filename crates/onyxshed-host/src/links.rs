//! Links to the owners of pools, over `capnp-rpc`.
//!
//! A link's heartbeats tell the owner that this host lives, and bring back its session and the sum
//! of its pool. A link that is not answered in time is given up with every job handed over on it:
//! their fate is unknown, and their callers are told so at once.

mod port;
mod remote;
mod successors;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use onyxshed_core::{Event, EventKind, Millis, Mono};
use onyxshed_http::client::within;
use onyxshed_kernel::{Change, Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_pool::{
    JobEnd, JobRequest, NotRunReason, OwnershipTransfer, PeerIncarnation, PoolId, PoolLoad,
    PoolSelector, SubmissionNumber, UnknownReason,
};
use onyxshed_process::{listen, serve_rpc};
use onyxshed_proto::pool_capnp::pool_port;
use smol_str::{SmolStr, format_smolstr};

use crate::directory::member_name;
use crate::engine::Engine;
use crate::evacuations::ZoneEvacuations;
use crate::names::{ENGINE, LINKS, MANIFEST};
use crate::shard_layouts::ShardLayouts;

pub use remote::{RemoteLink, WaiterGuard};

/// Pools whose owners every host may hear at the full rate.
const POOLS_AT_FULL_RATE: u32 = 4;

/// Longest time between two heartbeats on a link that no job waits on.
const IDLE_HEARTBEAT_MAX: Duration = Duration::from_millis(1_000);

/// Most hosts that an owner serves at a time.
///
/// Above it the oldest link makes room for each new one, which loses its jobs. Together with callers and
/// executors it stays below the descriptors of small hosts (3,075).
pub const PEERS_MAX: usize = 640;

/// Who this host is to others.
#[derive(Debug, Clone)]
pub struct LinkOptions {
    /// Where this host listens for others.
    pub address: SocketAddr,
    /// Where others reach it.
    pub advertised: SocketAddr,
    /// Its share of a core, in thousandths.
    pub cpu_millis: u32,
    /// This host's zone.
    pub zone: SmolStr,
    /// This host's name.
    pub host: SmolStr,
}

/// Handle to the links.
pub struct Links {
    kernel: Kernel,
    engine: Rc<Engine>,
    shard_layouts: Rc<ShardLayouts>,
    evacuations: Rc<ZoneEvacuations>,
    options: LinkOptions,
    selector: RefCell<PoolSelector>,
    remote: RefCell<BTreeMap<PoolId, Rc<RemoteLink>>>,
    last_submission: Cell<u64>,
    /// Pools of which an owner was known at any time.
    known_pools: RefCell<BTreeSet<PoolId>>,
    /// Owners whose successors have taken over, which the store may still name.
    superseded: RefCell<BTreeMap<PoolId, SocketAddr>>,
    /// What this host was made the successor of, until it is taken up.
    pending_transfer: RefCell<Option<(Mono, PoolId, OwnershipTransfer)>>,
    transfer_received: Change,
    owner_changed: Change,
}

impl Links {
    /// Makes the handle.
    pub fn new(
        kernel: &Kernel,
        engine: Rc<Engine>,
        divisions: Rc<ShardLayouts>,
        evacuations: Rc<ZoneEvacuations>,
        options: LinkOptions,
    ) -> Rc<Self> {
        Rc::new(Links {
            shard_layouts: divisions,
            evacuations,
            kernel: kernel.clone(),
            engine,
            options,
            selector: RefCell::default(),
            remote: RefCell::default(),
            last_submission: Cell::new(0),
            known_pools: RefCell::default(),
            superseded: RefCell::default(),
            pending_transfer: RefCell::default(),
            transfer_received: Change::default(),
            owner_changed: Change::default(),
        })
    }

    /// Gets this run of this host.
    pub fn incarnation(&self) -> PeerIncarnation {
        self.engine.incarnation()
    }

    /// Numbers a hand-over.
    pub fn next_submission(&self) -> SubmissionNumber {
        self.last_submission.set(self.last_submission.get() + 1);
        SubmissionNumber(self.last_submission.get())
    }

    /// Gets the pool that this host hands its jobs to first.
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

    /// Gets the time between two heartbeats on a link that no job waits on: with many pools, all
    /// hosts' heartbeats together would take an owner's processor.
    fn idle_heartbeat_period(&self) -> Duration {
        let pools = u32::try_from(self.remote.borrow().len()).unwrap_or(u32::MAX);
        let crowd = pools.div_ceil(POOLS_AT_FULL_RATE).max(1);
        (remote::HEARTBEAT_PERIOD * crowd).min(IDLE_HEARTBEAT_MAX)
    }

    /// Closes the links to pools that are no more.
    pub fn retain_pools(self: &Rc<Self>, pools: &[PoolId]) {
        let gone: Vec<PoolId> = {
            let remote = self.remote.borrow();
            let gone = remote.keys().filter(|pool| !pools.contains(pool));
            gone.cloned().collect()
        };
        for pool in gone {
            self.set_owner(&pool, None);
        }
    }

    /// Gets the pools in the order in which a job should be handed to them.
    pub fn rank_pools(self: &Rc<Self>, job: &JobRequest) -> Vec<PoolId> {
        if let (Some(load), Some(owned)) = (self.engine.load(), self.engine.owned_pool()) {
            if self.engine.serves(&owned) {
                self.selector.borrow_mut().update_load(&owned, load);
            } else if let Some(successor) = load.successor {
                self.follow_successor(&owned, successor);
            }
        }
        let chooser = self.selector.borrow();
        let evacuations = self.evacuations.known();
        chooser.rank_pools(&self.preferred_pool(), job.demand, job.tasks, &evacuations)
    }

    /// Gets why a job that no pool can be asked for is not run.
    pub fn no_pool_reason(&self) -> NotRunReason {
        match self.evacuations.covers_deployment() {
            true => NotRunReason::ZoneEvacuated,
            false => NotRunReason::NotOwner,
        }
    }

    /// Tells whether a pool that is not evacuated is owned here, or its owner answers.
    pub fn can_reach_pool(&self) -> bool {
        let remote = self.remote.borrow();
        let answering = remote.iter().filter(|(_, link)| link.is_up());
        let mut pools = answering.map(|(pool, _)| pool);
        let owned = self.engine.owned_pool();
        owned.is_some_and(|pool| self.is_in_service(&pool))
            || pools.any(|pool| self.is_in_service(pool))
    }

    /// Tells whether another host may serve callers whom this one can't: not while every zone is
    /// evacuated, since every host refuses them then.
    pub fn should_send_callers_away(&self) -> bool {
        !self.can_reach_pool() && !self.evacuations.covers_deployment()
    }

    fn is_in_service(&self, pool: &PoolId) -> bool {
        !self.evacuations.contains(&pool.zone)
    }

    /// Tells whether any pool is known to have executors that take work.
    pub fn can_reach_executor(&self) -> bool {
        let own = self.engine.load();
        own.is_some_and(|load| load.capacity_cpu_millis > 0)
            || self.selector.borrow().has_capacity()
    }

    /// Takes in who owns a pool; none if nobody does, or this host itself.
    pub fn set_owner(self: &Rc<Self>, pool: &PoolId, owner: Option<SocketAddr>) {
        let held = self.remote.borrow().get(pool).map(|link| link.address());
        if held == owner {
            return;
        }
        if let Some(link) = self.remote.borrow_mut().remove(pool) {
            link.close();
        }
        self.superseded.borrow_mut().remove(pool);
        self.selector.borrow_mut().remove_pool(pool);
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

    /// Tells whether the owner of a pool is known and answers.
    pub fn is_up(&self, pool: &PoolId) -> bool {
        let remote = self.remote.borrow();
        remote.get(pool).is_some_and(|link| link.is_up())
    }

    /// Tells whether the owner of a pool answers and means to stay.
    pub fn is_settled(&self, pool: &PoolId) -> bool {
        self.is_up(pool) && !self.selector.borrow().needs_replacement(pool)
    }

    /// Tells whether an owner of a pool was known at any time.
    pub fn has_known_owner(&self, pool: &PoolId) -> bool {
        self.known_pools.borrow().contains(pool)
    }

    /// Notes that an owner of a pool is known: this host itself, or one that has answered.
    pub fn record_owner(&self, pool: &PoolId) {
        self.known_pools.borrow_mut().insert(pool.clone());
    }

    /// Waits until the owner of a pool has answered, or is found not to; tells whether it did.
    pub async fn probe_owner(&self, pool: &PoolId, timeout: Duration) -> bool {
        let Some(link) = self.remote.borrow().get(pool).cloned() else {
            return false;
        };
        within(timeout, link.wait_for_first_attempt()).await;
        link.is_up()
    }

    /// Gets the link to a pool's owner, if the owner answers.
    pub fn link_to(&self, pool: &PoolId) -> Option<Rc<RemoteLink>> {
        let link = self.remote.borrow().get(pool).cloned();
        link.filter(|link| link.is_up())
    }

    /// Gets the pools whose owners answer, and where those are asked.
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

    /// Takes in who owns a pool by another host's word, unless this host knows an owner that answers.
    pub fn apply_peer_owner(self: &Rc<Self>, pool: &PoolId, owner: SocketAddr) {
        let is_known = self.is_up(pool) || self.engine.owned_pool().as_ref() == Some(pool);
        if !is_known && owner != self.options.advertised {
            self.set_owner(pool, Some(owner));
        }
    }

    /// Gets what is told when an owner is lost or wants to be replaced.
    pub fn owner_changed(&self) -> &Change {
        &self.owner_changed
    }

    /// Takes in what an owner tells of its pool.
    fn update_load(self: &Rc<Self>, pool: &PoolId, load: PoolLoad) {
        if load.needs_replacement && self.is_settled(pool) {
            self.owner_changed.notify();
        }
        let successor = load.successor;
        self.selector.borrow_mut().update_load(pool, load);
        if let Some(successor) = successor {
            self.follow_successor(pool, successor);
        }
    }

    /// Hands a job to a pool and waits for its end. Dropping the future gives the job up.
    pub async fn run(self: &Rc<Self>, pool: &PoolId, job: JobRequest) -> JobEnd {
        self.selector
            .borrow_mut()
            .record_dispatch(pool, job.demand, job.tasks, job.estimate);
        if self.engine.serves(pool) {
            return self.run_locally(job).await;
        }
        let link = self.remote.borrow().get(pool).cloned();
        match link {
            Some(link) => link.run(job).await,
            None => JobEnd::NotRun(NotRunReason::NotOwner, Millis(0)),
        }
    }

    async fn run_locally(&self, job: JobRequest) -> JobEnd {
        let guard = LocalCancelGuard {
            engine: self.engine.clone(),
            job: Some((job.submission, job.job)),
        };
        let receiver = self.engine.submit(onyxshed_pool::Session(0), job);
        let end = receiver.recv().await;
        guard.disarm();
        end.unwrap_or(JobEnd::Unknown(UnknownReason::OwnerChanged))
    }
}

/// Gives a job up at the engine of this host if its caller leaves.
struct LocalCancelGuard {
    engine: Rc<Engine>,
    job: Option<(SubmissionNumber, onyxshed_pool::JobId)>,
}

impl LocalCancelGuard {
    fn disarm(mut self) {
        self.job = None;
    }
}

impl Drop for LocalCancelGuard {
    fn drop(&mut self) {
        if let Some((submission, job)) = self.job {
            let own = self.engine.incarnation();
            self.engine
                .cancel(own, submission, job, UnknownReason::Cancelled);
        }
    }
}

/// The links as a service.
pub struct LinkService {
    links: Rc<Links>,
}

impl LinkService {
    /// Makes the service.
    pub fn new(links: Rc<Links>) -> Self {
        LinkService { links }
    }
}

impl Service for LinkService {
    fn name(&self) -> ServiceName {
        LINKS
    }

    fn needs(&self) -> &[ServiceName] {
        &[ENGINE, MANIFEST]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let links = &self.links;
            let (listener, _) = listen(kernel, LINKS, "peer", links.options.address).await?;
            let member = member_name(links.options.advertised, links.incarnation());
            let known = port::DeploymentState {
                links: links.clone(),
                manifest: kernel.find(MANIFEST)?,
                shard_layouts: links.shard_layouts.clone(),
                evacuations: links.evacuations.clone(),
            };
            let port = port::Port::new(links.engine.clone(), member, known);
            let client: pool_port::Client = capnp_rpc::new_client(port);
            serve_rpc(kernel, listener, client.client, PEERS_MAX);
            let descriptor = Descriptor {
                name: LINKS,
                summary: "links to the owners of pools",
            };
            kernel.register(descriptor, links.clone())
        })
    }
}
