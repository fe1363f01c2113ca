//! Who owns which pool.
//!
//! A zone's pool belongs to the host that holds partition 0 of the zone's group in the store. A
//! host joins the group only while nobody holds that partition, so that hosts which come and go
//! move nothing. The group's generation in which the partition was won is the owner's token: it is
//! higher than any earlier owner's.
//!
//! While the store is away the owner goes on; nobody takes over on a timeout of its own. An owner
//! that the store has replaced learns it from the store or from the first executor that refuses its
//! token.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_adapter::Store;
use onyxshed_adapter::orders::token_of_generation;
use onyxshed_adapter::store::PartOwner;
use onyxshed_core::Millis;
use onyxshed_kernel::{Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_pool::{Candidate, CandidateStep};
use smol_str::{SmolStr, format_smolstr};

use crate::boot_clock;
use crate::engine::Engine;
use crate::executors;
use crate::links::Links;
use crate::names::{ENGINE, LINKS, OWNERSHIP};
use crate::store_watch::StoreWatch;

/// The partition whose holder owns the pool.
const POOL_PART: u32 = 0;

/// Time between two looks at who owns the pool of this host's zone.
const HOME_PERIOD: Duration = Duration::from_millis(300);

/// The same while no owner answers: the sooner one is found, the fewer callers are refused.
const SEEKING_PERIOD: Duration = Duration::from_millis(100);

/// Time between two looks at who owns another zone's pool, while its owner answers.
const AWAY_PERIOD: Duration = Duration::from_millis(2_000);

/// Time between two renewals of an owner: a quarter of the time to live.
const RENEW_PERIOD: Duration = Duration::from_millis(350);

/// How long a member lives in the group without renewal: long enough for one lost call and a slow
/// store, short enough that a dead owner is replaced within two seconds.
const MEMBER_TTL: Millis = Millis(1_400);

/// How long an answer of the store may take; its slowest ones take about 300 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Who this host is in the groups.
#[derive(Debug, Clone)]
pub struct OwnershipOptions {
    /// The host's zone.
    pub zone: SmolStr,
    /// Every zone.
    pub zones: Vec<SmolStr>,
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
    engine: Rc<Engine>,
    links: Rc<Links>,
}

impl OwnershipService {
    /// Makes the service.
    pub fn new(options: OwnershipOptions, engine: Rc<Engine>, links: Rc<Links>) -> Self {
        OwnershipService {
            options,
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
        &[ENGINE, LINKS]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let contender = Contender::new(kernel, self);
            kernel.spawn(contender.live()).detach();
            for zone in &self.options.zones {
                if *zone != self.options.zone {
                    let watch = Away::new(kernel, self, zone.clone());
                    kernel.spawn(watch.live()).detach();
                }
            }
            Ok(())
        })
    }
}

/// Gets the name of a zone's group and topic.
fn group_of(zone: &str) -> SmolStr {
    format_smolstr!("pool.{zone}")
}

/// Writes a member's name: its address, and the run of its process.
fn member_name(address: SocketAddr, life: onyxshed_pool::PeerLife) -> SmolStr {
    format_smolstr!("{address}/{life}")
}

/// Reads the address out of a member's name.
fn address_of(member: &str) -> Option<SocketAddr> {
    member.split_once('/')?.0.parse().ok()
}

/// Finds who holds the partition that stands for the pool.
fn holder(owners: &[PartOwner]) -> Option<&PartOwner> {
    owners.iter().find(|owner| owner.part == POOL_PART)
}

/// This host as a candidate for, or owner of, its zone's pool.
struct Contender {
    kernel: Kernel,
    engine: Rc<Engine>,
    links: Rc<Links>,
    options: OwnershipOptions,
    group: SmolStr,
    member: SmolStr,
    store: Store,
    watch: StoreWatch,
    generation: u64,
    candidate: Candidate,
}

/// What a contender does next.
enum Next {
    /// Looks again who owns the pool.
    Look,
    /// Joins the group, since nobody owns the pool.
    Join,
    /// Renews its ownership.
    Renew,
    /// Leaves the group.
    Leave,
}

impl Contender {
    fn new(kernel: &Kernel, service: &OwnershipService) -> Self {
        let options = service.options.clone();
        Contender {
            kernel: kernel.clone(),
            engine: service.engine.clone(),
            links: service.links.clone(),
            group: group_of(&options.zone),
            member: member_name(options.address, service.engine.own()),
            store: Store::new(options.store),
            watch: StoreWatch::new(kernel, "ownership"),
            generation: 0,
            candidate: Candidate::new(options.cpu_millis),
            options,
        }
    }

    async fn live(mut self) {
        let mut next = Next::Look;
        loop {
            next = match next {
                Next::Look => self.look().await,
                Next::Join => self.join().await,
                Next::Renew => self.renew().await,
                Next::Leave => self.leave().await,
            };
        }
    }

    fn is_stopping(&self) -> bool {
        self.kernel.readiness().is_draining()
    }

    fn ttl(&self) -> Millis {
        MEMBER_TTL.max(self.options.ttl_min_ms)
    }

    async fn look(&mut self) -> Next {
        let is_served = self.links.is_up(&self.options.zone);
        Timer::after(if is_served {
            HOME_PERIOD
        } else {
            SEEKING_PERIOD
        })
        .await;
        if self.is_vacant().await != Some(true) || self.is_stopping() {
            self.candidate.owned();
            return Next::Look;
        }
        let owner_answers = self.links.is_up(&self.options.zone);
        let draw = rand::random();
        let step = self
            .candidate
            .vacant(boot_clock::now(), owner_answers, draw);
        let CandidateStep::JoinAfter(pause) = step else {
            return Next::Look;
        };
        // Two hosts that join at once move the pool twice. Each looks again after its pause, so
        // that all but one find it owned.
        Timer::after(pause.into()).await;
        match self.is_vacant().await {
            Some(true) => Next::Join,
            _ => Next::Look,
        }
    }

    /// Asks who owns the pool and tells whether this host may join for it; none without an answer.
    async fn is_vacant(&mut self) -> Option<bool> {
        let owners = match self.store.owners(&self.group, ANSWER_TIMEOUT).await {
            Ok(owners) => owners,
            // The group does not exist before its first member has joined.
            Err(onyxshed_adapter::Error::Status { status: 404 }) => Vec::new(),
            Err(error) => {
                self.watch.failed(&error);
                return None;
            }
        };
        self.watch.answered();
        match holder(&owners) {
            Some(owner) if owner.member != self.member => {
                self.links
                    .set_owner(&self.options.zone, address_of(&owner.member));
                Some(false)
            }
            _ => Some(true),
        }
    }

    async fn join(&mut self) -> Next {
        match self.send_join().await {
            Some(true) => {
                self.begin();
                Next::Renew
            }
            Some(false) => Next::Leave,
            None => Next::Look,
        }
    }

    /// Joins or renews; tells whether this host holds the pool, none without an answer.
    async fn send_join(&mut self) -> Option<bool> {
        let ttl = self.ttl();
        let joined = self
            .store
            .join(
                &self.group,
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

    fn begin(&self) {
        let token = token_of_generation(self.generation);
        self.links.set_owner(&self.options.zone, None);
        self.engine.take_fenced();
        self.engine.own_pool(token);
        let follow = executors::follow(
            self.kernel.clone(),
            self.engine.clone(),
            token,
            self.options.zone.clone(),
            self.options.store,
        );
        self.kernel.spawn(follow).detach();
    }

    async fn renew(&mut self) -> Next {
        Timer::after(RENEW_PERIOD).await;
        if self.engine.take_fenced() {
            return Next::Leave;
        }
        if self.is_stopping() && self.engine.counts().1 == 0 {
            self.engine.give_up("this host is stopping");
            return Next::Leave;
        }
        match self.send_join().await {
            // Without an answer the owner goes on: whoever replaces it has a higher token.
            Some(true) | None => Next::Renew,
            Some(false) => {
                self.engine.give_up("the store gave it to another host");
                Next::Leave
            }
        }
    }

    async fn leave(&mut self) -> Next {
        let left = self
            .store
            .leave(&self.group, &self.member, ANSWER_TIMEOUT)
            .await;
        if let Err(error) = left {
            // The membership lapses by itself after its time to live.
            self.watch.failed(&error);
        }
        self.generation = 0;
        Next::Look
    }
}

/// Watches who owns another zone's pool.
struct Away {
    links: Rc<Links>,
    zone: SmolStr,
    group: SmolStr,
    store: Store,
    watch: StoreWatch,
}

impl Away {
    fn new(kernel: &Kernel, service: &OwnershipService, zone: SmolStr) -> Self {
        Away {
            links: service.links.clone(),
            group: group_of(&zone),
            store: Store::new(service.options.store),
            watch: StoreWatch::new(kernel, "owners"),
            zone,
        }
    }

    async fn live(mut self) {
        loop {
            match self.store.owners(&self.group, ANSWER_TIMEOUT).await {
                Ok(owners) => {
                    self.watch.answered();
                    let owner = holder(&owners).and_then(|owner| address_of(&owner.member));
                    // A pool without an owner may still be served by the last one, until a new one
                    // takes over.
                    if owner.is_some() {
                        self.links.set_owner(&self.zone, owner);
                    }
                }
                Err(onyxshed_adapter::Error::Status { status: 404 }) => {}
                Err(error) => self.watch.failed(&error),
            }
            Timer::after(self.pause()).await;
        }
    }

    /// Looks again sooner while the pool's owner does not answer.
    fn pause(&self) -> Duration {
        if self.links.is_up(&self.zone) {
            AWAY_PERIOD
        } else {
            SEEKING_PERIOD
        }
    }
}
