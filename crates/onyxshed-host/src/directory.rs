//! Looks up the owners of all pools in the store, so that jobs can be submitted to them and this
//! host can acquire a pool that has no owner.
//!
//! The store has one group per pool; the member that holds partition 0 of the group owns the pool.

mod lookup;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use onyxshed_adapter::store::PartitionOwner;
use onyxshed_adapter::{Error, Store};
use onyxshed_core::{Millis, Mono};
use onyxshed_kernel::Notifier;
use onyxshed_pool::{PeerIncarnation, PoolId};
use smol_str::{SmolStr, format_smolstr};

use crate::boot_clock;
use crate::engine::Engine;
use crate::links::Links;
use crate::shard_layouts::ShardLayouts;
use crate::store_calls::{self, StorePurpose};
use crate::store_watch::{ANSWER_TIMEOUT, StoreWatch};

pub use lookup::{LOOKUP_INTERVAL_MAX, OwnerStatus};

/// Number of the partition in a pool's group whose holder owns the pool.
pub const POOL_PARTITION: u32 = 0;

/// How long a successor takes to register in the store once the store answers again: up to 100 ms
/// until its next attempt, and four calls. If calls to the store timed out instead of failing
/// immediately, half of a call's timeout is added on average.
const SUCCESSOR_REGISTRATION_MAX: Millis = Millis(500);

/// How long a starting host waits for the shard layouts before it looks up owners: two calls to the store.
const LAYOUTS_WAIT_MAX: Duration = Duration::from_millis(300);

/// Minimum pause between two rounds of lookups.
const ROUND_PAUSE: Duration = Duration::from_millis(20);

/// Pause after the store has rejected a call because there were too many.
const TOO_MANY_REQUESTS_PAUSE: Duration = Duration::from_millis(500);

/// HTTP status with which the store rejects a call because there are too many.
const TOO_MANY_REQUESTS: u16 = 429;

/// Returns the name of a pool's group in the store: "pool", the zone and the index, separated by
/// dots.
pub fn group_of(pool: &PoolId) -> SmolStr {
    format_smolstr!("pool.{}.{}", pool.zone, pool.index)
}

/// Returns the name under which a host joins groups: its address and the incarnation of its
/// process, separated by a slash.
pub fn member_name(address: SocketAddr, incarnation: PeerIncarnation) -> SmolStr {
    format_smolstr!("{address}/{incarnation}")
}

/// The owner of a pool according to the store, in relation to this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Owner {
    /// The pool has no owner.
    Vacant,
    /// This process owns the pool.
    ThisProcess,
    /// An earlier process at this host's address, with its member name. That process has ended.
    EarlierProcess(SmolStr),
    /// Another host, with its address; `None` if the member name contains no valid address.
    Other(Option<SocketAddr>),
}

impl Owner {
    /// Classifies the member that holds a pool from the view of the host whose member name is
    /// `own_member`; `None` is classified as [`Owner::Vacant`].
    pub fn classify(member: Option<SmolStr>, own_member: &str) -> Owner {
        let Some(member) = member else {
            return Owner::Vacant;
        };
        if member == own_member {
            return Owner::ThisProcess;
        }
        let address = address_of(&member);
        match address.is_some() && address == address_of(own_member) {
            true => Owner::EarlierProcess(member),
            false => Owner::Other(address),
        }
    }
}

/// Parses the address in a member's name. Returns `None` if the name contains no valid address.
pub fn address_of(member: &str) -> Option<SocketAddr> {
    member.split_once('/')?.0.parse().ok()
}

/// Returns the member that holds [`POOL_PARTITION`], or `None` if no member does.
fn partition_holder(owners: Vec<PartitionOwner>) -> Option<SmolStr> {
    let mut owners = owners.into_iter();
    owners
        .find(|owner| owner.partition == POOL_PARTITION)
        .map(|owner| owner.member)
}

/// Reads the owner of a pool from the store, as a member name. Returns `None` if the pool has no
/// owner.
pub async fn read_owner(
    store: &mut Store,
    pool: &PoolId,
) -> onyxshed_adapter::Result<Option<SmolStr>> {
    match store
        .partition_owners(&group_of(pool), ANSWER_TIMEOUT)
        .await
    {
        Ok(owners) => Ok(partition_holder(owners)),
        // The group does not exist before its first member has joined.
        Err(Error::Status { status: 404 }) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Tracks the owners of all pools that this host does not own itself.
pub struct Directory {
    zone: SmolStr,
    member: SmolStr,
    shard_layouts: Rc<ShardLayouts>,
    engine: Rc<Engine>,
    links: Rc<Links>,
    looked_up_at: RefCell<BTreeMap<PoolId, Mono>>,
    vacant: RefCell<BTreeSet<PoolId>>,
    /// Pools to whose owners this host keeps links.
    planned: RefCell<BTreeSet<PoolId>>,
    /// Owner of each pool that was last looked up or recorded.
    last_seen: RefCell<BTreeMap<PoolId, SocketAddr>>,
    /// Pools that the store still assigns to an earlier process of this host, with its member name.
    orphaned: RefCell<BTreeMap<PoolId, SmolStr>>,
    watch: StoreWatch,
    created_at: Mono,
    /// Notified after a round of lookups with pools that this host may acquire.
    pool_available: Notifier,
}

impl Directory {
    /// Creates the directory of a host in `zone` that joins groups as `member`.
    pub fn new(
        zone: SmolStr,
        member: SmolStr,
        shard_layouts: Rc<ShardLayouts>,
        engine: Rc<Engine>,
        links: Rc<Links>,
        watch: StoreWatch,
    ) -> Rc<Self> {
        Rc::new(Directory {
            zone,
            member,
            shard_layouts,
            engine,
            links,
            looked_up_at: RefCell::default(),
            vacant: RefCell::default(),
            planned: RefCell::default(),
            last_seen: RefCell::default(),
            orphaned: RefCell::default(),
            watch,
            created_at: boot_clock::now(),
            pool_available: Notifier::default(),
        })
    }

    /// Returns the pools of this host's zone that, at their last lookup, had no owner or were
    /// assigned to this process although it does not serve them.
    pub fn vacant_local_pools(&self) -> Vec<PoolId> {
        let vacant = self.vacant.borrow();
        let local = vacant.iter().filter(|pool| pool.zone == self.zone);
        local.cloned().collect()
    }

    /// Removes a pool from the vacant pools: this host has acquired it, or needs another lookup
    /// before it may acquire it.
    pub fn remove_vacant(&self, pool: &PoolId) {
        self.vacant.borrow_mut().remove(pool);
    }

    /// Returns when the store last answered owner lookups again after a failure, or `None` if it
    /// has not recovered from a failure yet.
    pub fn store_recovered_at(&self) -> Option<Mono> {
        self.watch.recovered_at()
    }

    /// Looks up the owners of pools until the process ends.
    pub async fn follow(self: Rc<Self>, address: SocketAddr) {
        let mut store = store_calls::open(address, StorePurpose::Lookups);
        self.shard_layouts.wait_until_read(LAYOUTS_WAIT_MAX).await;
        loop {
            let owner_changed = self.links.owner_changed().subscribe();
            let pools = self.shard_layouts.pools();
            self.update_plan();
            let (local, remote): (Vec<&PoolId>, Vec<&PoolId>) =
                pools.iter().partition(|pool| pool.zone == self.zone);
            // All vacant pools of the zone are known before the first is taken over, so that hosts
            // contend for different ones.
            if self.look_up(&mut store, &local, pools.len()).await {
                self.pool_available.notify();
            }
            self.look_up(&mut store, &remote, pools.len()).await;
            Timer::after(ROUND_PAUSE).await;
            let next_lookup = async {
                Timer::after(self.time_until_due(&pools)).await;
            };
            owner_changed.wait().or(next_lookup).await;
        }
    }

    /// Looks up the owners of those of `pools` that are due; `count` is the number of all pools. Returns
    /// whether this host may acquire one of them.
    async fn look_up(&self, store: &mut Store, pools: &[&PoolId], count: usize) -> bool {
        let mut is_any_available = false;
        for pool in pools {
            if !self.is_due(pool, count) {
                continue;
            }
            match read_owner(store, pool).await {
                Ok(owner) => {
                    self.watch.record_answer();
                    self.apply_owner(pool, owner);
                    is_any_available |= self.is_available(pool);
                }
                Err(Error::Status {
                    status: TOO_MANY_REQUESTS,
                }) => {
                    Timer::after(TOO_MANY_REQUESTS_PAUSE).await;
                }
                Err(error) => self.watch.record_failure(&error),
            }
        }
        is_any_available
    }

    fn is_available(&self, pool: &PoolId) -> bool {
        self.vacant.borrow().contains(pool) || self.orphaned.borrow().contains_key(pool)
    }

    /// Updates the pools to whose owners this host keeps links. Links to vacant pools are kept: this host
    /// may be about to take them over from owners that still answer.
    fn update_plan(&self) {
        let planned: BTreeSet<PoolId> = self.links.planned_pools().into_iter().collect();
        let kept = planned.union(&self.vacant.borrow()).cloned().collect();
        self.links.retain_pools(&kept);
        let added: Vec<PoolId> = planned
            .difference(&self.planned.borrow())
            .cloned()
            .collect();
        *self.planned.borrow_mut() = planned;
        for pool in added {
            let owner = self.last_seen.borrow().get(&pool).copied();
            if owner.is_some() && !self.engine.serves(&pool) {
                self.links.set_owner(&pool, owner);
            }
        }
    }

    /// Returns whether the lookup of a pool is due, and records the time of the lookup if so.
    fn is_due(&self, pool: &PoolId, pools: usize) -> bool {
        let now = boot_clock::now();
        let is_due = self.due_at(pool, pools).is_some_and(|at| now >= at);
        if is_due {
            self.looked_up_at.borrow_mut().insert(pool.clone(), now);
        }
        is_due
    }

    /// Returns the time of the next lookup of a pool, or `None` while this host owns it.
    fn due_at(&self, pool: &PoolId, pools: usize) -> Option<Mono> {
        let status = self.status_of(pool);
        let interval = status.lookup_interval(pools)?;
        let last = self.looked_up_at.borrow().get(pool).copied();
        Some(match last {
            Some(last) => last + interval,
            None if status.is_looked_up_first() => Mono(0),
            None => self.created_at + interval,
        })
    }

    fn status_of(&self, pool: &PoolId) -> OwnerStatus {
        if self.engine.serves(pool) {
            return OwnerStatus::Owned;
        }
        let is_local = pool.zone == self.zone;
        if !self.planned.borrow().contains(pool) {
            return match is_local {
                true => OwnerStatus::UnlinkedLocal,
                false => OwnerStatus::UnlinkedRemote,
            };
        }
        match (self.links.has_stable_owner(pool), is_local) {
            (false, true) => OwnerStatus::UnsettledLocal,
            (false, false) => OwnerStatus::UnsettledRemote,
            (true, true) if *pool == self.links.preferred_pool() => OwnerStatus::SettledHome,
            (true, true) => OwnerStatus::SettledLocal,
            (true, false) => OwnerStatus::SettledRemote,
        }
    }

    /// Returns the time until the next lookup of any pool is due.
    fn time_until_due(&self, pools: &[PoolId]) -> Duration {
        let due = pools
            .iter()
            .filter_map(|pool| self.due_at(pool, pools.len()));
        let next = due.min().unwrap_or(boot_clock::now() + LOOKUP_INTERVAL_MAX);
        next.since(boot_clock::now()).into()
    }

    /// Triggers a round of lookups, for example after this host has given up a pool.
    pub fn trigger_lookups(&self) {
        self.links.owner_changed().notify();
    }

    /// Returns the notifier that signals that a lookup has found a pool without an owner, or a pool
    /// that the store assigns to an earlier process of this host.
    pub fn pool_available(&self) -> &Notifier {
        &self.pool_available
    }

    /// Removes and returns a pool that the store still assigns to an earlier process of this host,
    /// with the member name of that process. Returns `None` if there is no such pool, and for
    /// `SUCCESSOR_REGISTRATION_MAX` after the store has recovered.
    ///
    /// An earlier process that was stopped while the store was unavailable may have selected
    /// another host as its successor. That successor removes the membership within
    /// `SUCCESSOR_REGISTRATION_MAX`. A process that starts after the store has recovered does not
    /// wait, since it cannot know whether the earlier process selected a successor or was killed.
    pub fn take_orphaned(&self, now: Mono) -> Option<(PoolId, SmolStr)> {
        let recovered_at = self.store_recovered_at();
        if recovered_at
            .is_some_and(|recovered_at| now.since(recovered_at) < SUCCESSOR_REGISTRATION_MAX.into())
        {
            return None;
        }
        self.orphaned.borrow_mut().pop_first()
    }

    /// Applies a record that was written before this host followed the owner records, if it is of another
    /// zone's pool whose owner this host does not reach. The member may have ended; a link to it does no
    /// harm then.
    pub fn observe_past_owner(&self, pool: &PoolId, member: SmolStr) {
        if pool.zone != self.zone && !self.links.is_up(pool) {
            self.observe_owner_record(pool, member);
        }
    }

    /// Applies an owner record: `member` is the member name of a pool's new owner. Ignored if that
    /// name contains no valid address, if the owner is a process of this host, or if this host
    /// serves the pool.
    pub fn observe_owner_record(&self, pool: &PoolId, member: SmolStr) {
        let is_other = matches!(
            Owner::classify(Some(member.clone()), &self.member),
            Owner::Other(Some(_))
        );
        if is_other && !self.engine.serves(pool) {
            self.apply_owner(pool, Some(member));
        }
    }

    /// Records the owner of a pool, and links to it if this host keeps a link to the pool.
    fn record_owner(&self, pool: &PoolId, address: Option<SocketAddr>) {
        if let Some(address) = address {
            self.last_seen.borrow_mut().insert(pool.clone(), address);
        }
        if self.planned.borrow().contains(pool) {
            self.links.set_owner(pool, address);
        }
    }

    /// Applies the result of an owner lookup, or an owner record; `owner` is a member name.
    fn apply_owner(&self, pool: &PoolId, owner: Option<SmolStr>) {
        match Owner::classify(owner, &self.member) {
            // The store is out of date: the successor has not registered yet.
            Owner::Other(address) if self.links.is_superseded(pool, address) => {
                self.vacant.borrow_mut().remove(pool);
            }
            Owner::Other(address) => {
                self.vacant.borrow_mut().remove(pool);
                self.orphaned.borrow_mut().remove(pool);
                self.record_owner(pool, address);
            }
            Owner::EarlierProcess(member) => {
                self.orphaned.borrow_mut().insert(pool.clone(), member);
            }
            // The link stays open: the last owner may continue to serve until a new one takes over.
            Owner::Vacant | Owner::ThisProcess => {
                self.vacant.borrow_mut().insert(pool.clone());
            }
        }
    }
}
