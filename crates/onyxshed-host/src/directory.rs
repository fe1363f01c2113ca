//! Who owns which pool, as the store's groups tell it.

mod lookup;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use onyxshed_adapter::store::PartOwner;
use onyxshed_adapter::{Error, Store};
use onyxshed_core::{Millis, Mono};
use onyxshed_kernel::Change;
use onyxshed_pool::{PeerIncarnation, PoolId};
use smol_str::{SmolStr, format_smolstr};

use crate::boot_clock;
use crate::engine::Engine;
use crate::links::Links;
use crate::shard_layouts::ShardLayouts;
use crate::store_watch::{ANSWER_TIMEOUT, StoreWatch};

pub use lookup::{LOOKUP_INTERVAL_MAX, OwnerStatus};

/// The partition of a group whose holder owns the pool.
pub const POOL_PARTITION: u32 = 0;

/// How long a successor takes to be written into the store's books once the store answers again: a try each
/// 100 ms and four calls, where the store had refused calls; half of a call's timeout more in the mean
/// where it had been silent.
const SUCCESSOR_REGISTRATION_MAX: Millis = Millis(500);

/// Shortest pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(20);

/// Pause after the store turned a call away because there are too many.
const TOO_MANY_REQUESTS_PAUSE: Duration = Duration::from_millis(500);

/// Status of a store that takes no more calls.
const TOO_MANY_REQUESTS: u16 = 429;

/// Gets the name of a pool's group and topic.
pub fn group_of(pool: &PoolId) -> SmolStr {
    format_smolstr!("pool.{}.{}", pool.zone, pool.index)
}

/// Writes a member's name: its address, and the run of its process.
pub fn member_name(address: SocketAddr, life: PeerIncarnation) -> SmolStr {
    format_smolstr!("{address}/{life}")
}

/// Who the store says owns a pool, as this host sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Owner {
    /// Nobody.
    Vacant,
    /// This very process.
    ThisProcess,
    /// An earlier process at this host's address, by its member's name.
    EarlierProcess(SmolStr),
    /// Another host, at an address if its name tells one.
    Other(Option<SocketAddr>),
}

impl Owner {
    /// Tells who a member is to the host that joins groups as `own`.
    pub fn classify(member: Option<SmolStr>, own: &str) -> Owner {
        let Some(member) = member else {
            return Owner::Vacant;
        };
        if member == own {
            return Owner::ThisProcess;
        }
        let address = address_of(&member);
        match address.is_some() && address == address_of(own) {
            true => Owner::EarlierProcess(member),
            false => Owner::Other(address),
        }
    }
}

/// Reads the address out of a member's name.
pub fn address_of(member: &str) -> Option<SocketAddr> {
    member.split_once('/')?.0.parse().ok()
}

/// Finds who holds the partition that stands for the pool.
fn partition_holder(owners: Vec<PartOwner>) -> Option<SmolStr> {
    let mut owners = owners.into_iter();
    owners
        .find(|owner| owner.part == POOL_PARTITION)
        .map(|owner| owner.member)
}

/// Asks the store who owns a pool; none where nobody does.
pub async fn read_owner(
    store: &mut Store,
    pool: &PoolId,
) -> onyxshed_adapter::Result<Option<SmolStr>> {
    match store.owners(&group_of(pool), ANSWER_TIMEOUT).await {
        Ok(owners) => Ok(partition_holder(owners)),
        // The group does not exist before its first member has joined.
        Err(Error::Status { status: 404 }) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Follows the owners of all pools that this host does not own itself.
pub struct Directory {
    zone: SmolStr,
    member: SmolStr,
    shard_layouts: Rc<ShardLayouts>,
    engine: Rc<Engine>,
    links: Rc<Links>,
    looked_up_at: RefCell<BTreeMap<PoolId, Mono>>,
    vacant: RefCell<BTreeSet<PoolId>>,
    /// Pools that the store still holds for an earlier process of this host.
    orphaned: RefCell<BTreeMap<PoolId, SmolStr>>,
    watch: StoreWatch,
    /// Told when a pool is found that this host may come to own.
    pool_available: Change,
}

impl Directory {
    /// Makes the directory of a host in a zone that joins groups under a name.
    pub fn new(
        zone: SmolStr,
        member: SmolStr,
        divisions: Rc<ShardLayouts>,
        engine: Rc<Engine>,
        links: Rc<Links>,
        watch: StoreWatch,
    ) -> Rc<Self> {
        Rc::new(Directory {
            zone,
            member,
            shard_layouts: divisions,
            engine,
            links,
            looked_up_at: RefCell::default(),
            vacant: RefCell::default(),
            orphaned: RefCell::default(),
            watch,
            pool_available: Change::default(),
        })
    }

    /// Gets the pools of this host's zone that nobody owned when they were last looked at.
    pub fn vacant_local_pools(&self) -> Vec<PoolId> {
        let vacant = self.vacant.borrow();
        let home = vacant.iter().filter(|pool| pool.zone == self.zone);
        home.cloned().collect()
    }

    /// Notes that a pool was taken, or has to be looked at again before it may be.
    pub fn remove_vacant(&self, pool: &PoolId) {
        self.vacant.borrow_mut().remove(pool);
    }

    /// Gets when the store answered the look for owners again; none if it always did.
    pub fn store_recovered_at(&self) -> Option<Mono> {
        self.watch.recovered_at()
    }

    /// Follows the owners for as long as the process lives.
    pub async fn follow(self: Rc<Self>, address: SocketAddr) {
        let mut store = Store::new(address);
        loop {
            let changed = self.links.owner_changed().waiting();
            let pools = self.shard_layouts.pools();
            self.links.retain_pools(&pools);
            for pool in &pools {
                if !self.is_due(pool, pools.len()) {
                    continue;
                }
                match read_owner(&mut store, pool).await {
                    Ok(owner) => {
                        self.watch.record_answer();
                        self.apply_owner(pool, owner);
                    }
                    Err(Error::Status {
                        status: TOO_MANY_REQUESTS,
                    }) => {
                        Timer::after(TOO_MANY_REQUESTS_PAUSE).await;
                    }
                    Err(error) => self.watch.record_failure(&error),
                }
            }
            Timer::after(ROUND_PAUSE).await;
            let next_look = async {
                Timer::after(self.time_until_due(&pools)).await;
            };
            changed.wait().or(next_look).await;
        }
    }

    /// Tells whether a pool is to be looked at now, and notes that it is.
    fn is_due(&self, pool: &PoolId, pools: usize) -> bool {
        let now = boot_clock::now();
        let is_due = self.due_at(pool, pools).is_some_and(|at| now >= at);
        if is_due {
            self.looked_up_at.borrow_mut().insert(pool.clone(), now);
        }
        is_due
    }

    /// Gets when a pool is to be looked at; none while it is owned here.
    fn due_at(&self, pool: &PoolId, pools: usize) -> Option<Mono> {
        let period = self.status_of(pool).lookup_interval(pools)?;
        let last = self.looked_up_at.borrow().get(pool).copied();
        Some(last.map_or(Mono(0), |last| last + period))
    }

    fn status_of(&self, pool: &PoolId) -> OwnerStatus {
        if self.engine.serves(pool) {
            return OwnerStatus::Owned;
        }
        match (self.links.is_settled(pool), pool.zone == self.zone) {
            (false, true) => OwnerStatus::UnsettledLocal,
            (false, false) => OwnerStatus::UnsettledRemote,
            (true, true) => OwnerStatus::SettledLocal,
            (true, false) => OwnerStatus::SettledRemote,
        }
    }

    /// Gets how long no pool is to be looked at, unless something changes.
    fn time_until_due(&self, pools: &[PoolId]) -> Duration {
        let due = pools
            .iter()
            .filter_map(|pool| self.due_at(pool, pools.len()));
        let next = due.min().unwrap_or(boot_clock::now() + LOOKUP_INTERVAL_MAX);
        next.since(boot_clock::now()).into()
    }

    /// Looks again at pools that are due, as after this host has given one up.
    pub fn trigger_lookups(&self) {
        self.links.owner_changed().notify();
    }

    /// Gets what is told when a pool is found that this host may come to own.
    pub fn pool_available(&self) -> &Change {
        &self.pool_available
    }

    /// Takes a pool that the store still holds for an earlier process of this host, with that
    /// process's name in the pool's group; none for a moment after the store has come back.
    ///
    /// That process may have been stopped while the store was away, after it made another host its successor,
    /// which ends the membership within `SUCCESSOR_REGISTERS_WITHIN`. A process that starts after the store
    /// has come back does not wait: it can't tell this case from a kill.
    pub fn take_orphaned(&self, now: Mono) -> Option<(PoolId, SmolStr)> {
        let back_at = self.store_recovered_at();
        if back_at.is_some_and(|back_at| now.since(back_at) < SUCCESSOR_REGISTRATION_MAX.into()) {
            return None;
        }
        self.orphaned.borrow_mut().pop_first()
    }

    /// Takes in a record of a new owner, named as a member of the pool's group.
    pub fn observe_owner_record(&self, pool: &PoolId, member: SmolStr) {
        let is_other = matches!(
            Owner::classify(Some(member.clone()), &self.member),
            Owner::Other(Some(_))
        );
        if is_other && !self.engine.serves(pool) {
            self.apply_owner(pool, Some(member));
        }
    }

    fn apply_owner(&self, pool: &PoolId, owner: Option<SmolStr>) {
        match Owner::classify(owner, &self.member) {
            // The store is behind: it has not heard of the successor yet.
            Owner::Other(address) if self.links.is_superseded(pool, address) => {
                self.vacant.borrow_mut().remove(pool);
            }
            Owner::Other(address) => {
                self.vacant.borrow_mut().remove(pool);
                self.orphaned.borrow_mut().remove(pool);
                self.links.set_owner(pool, address);
            }
            Owner::EarlierProcess(member) => {
                self.orphaned.borrow_mut().insert(pool.clone(), member);
                self.pool_available.notify();
            }
            // The last owner may serve on until a new one takes over: its link stays.
            Owner::Vacant | Owner::ThisProcess => {
                self.vacant.borrow_mut().insert(pool.clone());
                self.pool_available.notify();
            }
        }
    }
}
