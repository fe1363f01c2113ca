//! How this host comes to own a pool, and loses it.
//!
//! A pool belongs to the host that holds partition 0 of the pool's group in the store. A host joins
//! the group only while nobody holds that partition, so that hosts which come and go move nothing,
//! and owns one pool at most. The group's generation in which the partition was won makes the
//! owner's token: it is higher than any earlier owner's.
//!
//! While the store is away the owner goes on; nobody takes over on a timeout of its own. An owner
//! that the store has replaced learns it from the store or from the first executor that refuses its
//! token.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_adapter::Store;
use onyxshed_core::Millis;
use onyxshed_kernel::{Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_pool::{Candidate, CandidateStep, PoolId};
use smol_str::SmolStr;

use crate::boot_clock;
use crate::directory::{Directory, POOL_PART, ask_owner, group_of, member_name};
use crate::divisions::Divisions;
use crate::engine::Engine;
use crate::executors;
use crate::links::Links;
use crate::names::{DIVISIONS, ENGINE, LINKS, OWNERSHIP};
use crate::store_watch::{ANSWER_TIMEOUT, StoreWatch};

/// Time between two looks for a pool that nobody owns.
const CONTEND_PERIOD: Duration = Duration::from_millis(50);

/// Time between two renewals of an owner: a quarter of the time to live.
const RENEW_PERIOD: Duration = Duration::from_millis(350);

/// How long a member lives in the group without renewal: long enough for one lost call and a slow
/// store, short enough that a dead owner is replaced within two seconds.
const MEMBER_TTL: Millis = Millis(1_400);

/// Who this host is in the groups.
#[derive(Debug, Clone)]
pub struct OwnershipOptions {
    /// The host's zone.
    pub zone: SmolStr,
    /// Where this host serves other hosts.
    pub address: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Shortest time to live that the store grants.
    pub ttl_min_ms: Millis,
    /// This host's share of a core, in thousandths.
    pub cpu_millis: u32,
}

/// Ownership as a service.
pub struct OwnershipService {
    options: OwnershipOptions,
    divisions: Rc<Divisions>,
    engine: Rc<Engine>,
    links: Rc<Links>,
}

impl OwnershipService {
    /// Makes the service.
    pub fn new(
        options: OwnershipOptions,
        divisions: Rc<Divisions>,
        engine: Rc<Engine>,
        links: Rc<Links>,
    ) -> Self {
        OwnershipService {
            options,
            divisions,
            engine,
            links,
        }
    }
}

impl Service for OwnershipService {
    fn name(&self) -> ServiceName {
        OWNERSHIP
    }

    fn needs(&self) -> &[ServiceName] {
        &[ENGINE, LINKS, DIVISIONS]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let options = &self.options;
            let directory = Directory::new(
                options.zone.clone(),
                member_name(options.address, self.engine.own()),
                self.divisions.clone(),
                self.engine.clone(),
                self.links.clone(),
            );
            let watch = StoreWatch::new(kernel, "owners");
            kernel
                .spawn(directory.clone().follow(options.store, watch))
                .detach();
            let contender = Contender::new(kernel, self, directory);
            kernel.spawn(contender.live()).detach();
            Ok(())
        })
    }
}

/// This host as a contender for, or owner of, a pool of its zone.
struct Contender {
    kernel: Kernel,
    engine: Rc<Engine>,
    links: Rc<Links>,
    divisions: Rc<Divisions>,
    directory: Rc<Directory>,
    options: OwnershipOptions,
    member: SmolStr,
    store: Store,
    watch: StoreWatch,
    generation: u64,
    candidates: BTreeMap<PoolId, Candidate>,
}

/// What a contender does next.
enum Next {
    /// Looks for a pool that nobody owns.
    Contend,
    /// Joins a pool's group, since nobody owns the pool.
    Join(PoolId),
    /// Renews its ownership.
    Renew(PoolId),
    /// Leaves the group.
    Leave(PoolId),
}

impl Contender {
    fn new(kernel: &Kernel, service: &OwnershipService, directory: Rc<Directory>) -> Self {
        let options = service.options.clone();
        Contender {
            kernel: kernel.clone(),
            engine: service.engine.clone(),
            links: service.links.clone(),
            divisions: service.divisions.clone(),
            directory,
            member: member_name(options.address, service.engine.own()),
            store: Store::new(options.store),
            watch: StoreWatch::new(kernel, "ownership"),
            generation: 0,
            candidates: BTreeMap::new(),
            options,
        }
    }

    async fn live(mut self) {
        let mut next = Next::Contend;
        loop {
            next = match next {
                Next::Contend => self.contend().await,
                Next::Join(pool) => self.join(pool).await,
                Next::Renew(pool) => self.renew(pool).await,
                Next::Leave(pool) => self.leave(pool).await,
            };
        }
    }

    fn is_stopping(&self) -> bool {
        self.kernel.readiness().is_draining()
    }

    fn ttl(&self) -> Millis {
        MEMBER_TTL.max(self.options.ttl_min_ms)
    }

    async fn contend(&mut self) -> Next {
        Timer::after(CONTEND_PERIOD).await;
        let vacant = self.directory.vacant_at_home();
        self.candidates.retain(|pool, _| vacant.contains(pool));
        if self.is_stopping() {
            return Next::Contend;
        }
        // Hosts begin at different pools, so that they do not all want the same one.
        let preferred = self.links.preferred();
        let count = vacant.len();
        let first = vacant.iter().position(|pool| *pool >= preferred);
        for step in 0..count {
            let pool = &vacant[(first.unwrap_or(0) + step) % count];
            if let Some(pause) = self.takes_over(pool) {
                return self.look_again(pool.clone(), pause).await;
            }
        }
        Next::Contend
    }

    /// Tells after which pause this host joins for a vacant pool; none if it leaves it alone.
    fn takes_over(&mut self, pool: &PoolId) -> Option<Millis> {
        let cpu_millis = self.options.cpu_millis;
        let candidate = self
            .candidates
            .entry(pool.clone())
            .or_insert_with(|| Candidate::new(cpu_millis));
        let owner_answers = self.links.is_up(pool);
        match candidate.vacant(boot_clock::now(), owner_answers, rand::random()) {
            CandidateStep::Leave => None,
            CandidateStep::JoinAfter(pause) => Some(pause),
        }
    }

    /// Waits and looks again: two hosts that join at once move the pool twice, and after their
    /// pauses all but one find it owned.
    async fn look_again(&mut self, pool: PoolId, pause: Millis) -> Next {
        Timer::after(pause.into()).await;
        match ask_owner(&mut self.store, &pool).await {
            Ok(None) => Next::Join(pool),
            Ok(Some(owner)) if owner == self.member => Next::Join(pool),
            Ok(Some(_)) => {
                self.watch.answered();
                self.directory.taken(&pool);
                Next::Contend
            }
            Err(error) => {
                self.watch.failed(&error);
                Next::Contend
            }
        }
    }

    async fn join(&mut self, pool: PoolId) -> Next {
        match self.send_join(&pool).await {
            Some(true) => self.begin(pool).await,
            Some(false) => Next::Leave(pool),
            None => Next::Contend,
        }
    }

    /// Joins or renews; tells whether this host holds the pool, none without an answer.
    async fn send_join(&mut self, pool: &PoolId) -> Option<bool> {
        let ttl = self.ttl();
        let joined = self
            .store
            .join(
                &group_of(pool),
                &self.member,
                ttl,
                self.generation,
                ANSWER_TIMEOUT,
            )
            .await;
        match joined {
            Ok(membership) => {
                self.watch.answered();
                self.generation = membership.generation;
                Some(membership.parts.contains(&POOL_PART))
            }
            Err(error) => {
                self.watch.failed(&error);
                None
            }
        }
    }

    /// Begins to own a pool, if the zone's division still has it.
    async fn begin(&mut self, pool: PoolId) -> Next {
        // Without an answer the division known is taken; executors refuse a token of an old one.
        if let Err(error) = self.divisions.refresh(&mut self.store).await {
            self.watch.failed(&error);
        }
        let division = self.divisions.of(&pool.zone);
        if pool.index >= division.pools {
            return Next::Leave(pool);
        }
        let token = division.token(&pool, self.generation);
        self.directory.taken(&pool);
        self.links.set_owner(&pool, None);
        self.engine.take_fenced();
        self.engine.own_pool(token, pool.clone());
        let follow = executors::follow(
            self.kernel.clone(),
            self.engine.clone(),
            self.divisions.clone(),
            (token, pool.clone(), division),
            self.options.store,
        );
        self.kernel.spawn(follow).detach();
        Next::Renew(pool)
    }

    async fn renew(&mut self, pool: PoolId) -> Next {
        Timer::after(RENEW_PERIOD).await;
        if self.engine.take_fenced() || self.engine.owned().is_none() {
            return Next::Leave(pool);
        }
        if self.is_stopping() && self.engine.counts().1 == 0 {
            self.engine.give_up("this host is stopping");
            return Next::Leave(pool);
        }
        match self.send_join(&pool).await {
            // Without an answer the owner goes on: whoever replaces it has a higher token.
            Some(true) | None => Next::Renew(pool),
            Some(false) => {
                self.engine.give_up("the store gave it to another host");
                Next::Leave(pool)
            }
        }
    }

    async fn leave(&mut self, pool: PoolId) -> Next {
        let group = group_of(&pool);
        let left = self.store.leave(&group, &self.member, ANSWER_TIMEOUT).await;
        if let Err(error) = left {
            // The membership lapses by itself after its time to live.
            self.watch.failed(&error);
        }
        // A division that this host has not read yet may be why its token was refused.
        if let Err(error) = self.divisions.refresh(&mut self.store).await {
            self.watch.failed(&error);
        }
        self.generation = 0;
        Next::Contend
    }
}
