//! The steps by which a host acquires ownership of a pool, renews it and hands it over.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use onyxshed_adapter::{Error, Store};
use onyxshed_core::{Millis, Mono};
use onyxshed_kernel::Kernel;
use onyxshed_pool::{
    Candidate, CandidateStep, FencingToken, LastOwner, OwnershipTransfer, PoolId, ShardLayout,
    takeover_order, wait_before_list,
};
use smol_str::SmolStr;

use super::handover::{HANDOVER_POLL, follow_release};
use super::successor::REGISTER_PERIOD;
use super::{OwnershipOptions, OwnershipService};
use crate::boot_clock;
use crate::directory::{Directory, POOL_PARTITION, address_of, group_of, member_name, read_owner};
use crate::engine::Engine;
use crate::executors::{self, ExecutorsRead, InitialExecutors};
use crate::last_owner;
use crate::links::{Links, RemoteLink};
use crate::shard_layouts::ShardLayouts;
use crate::store_calls::{self, StorePurpose};
use crate::store_watch::{ANSWER_TIMEOUT, StoreWatch};

/// Maximum interval between two checks for vacant pools; a vacancy that the directory finds
/// triggers a check immediately.
const CONTEND_PERIOD: Duration = Duration::from_millis(500);

/// Interval at which an owner renews its membership: a quarter of its time to live.
const RENEW_PERIOD: Duration = Duration::from_millis(350);

/// Pause before a renewal that got no reply is repeated. The interval, the timeout of the lost call, this pause
/// and the repeated call on a new connection fit into the membership's time to live.
const RENEW_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time to live of a membership without renewal: long enough for one lost call and a slow store,
/// short enough that a crashed owner is replaced within two seconds.
const MEMBER_TTL: Millis = Millis(1_400);

/// Timeout of the probe of a vacant pool's last owner by a host that has just started: covers a new
/// connection and a call across zones to a host at its CPU limit (75 ms).
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a stopping owner waits until another host becomes the owner through the store before it
/// selects a successor itself: the smallest hosts join after 900 ms.
const STORE_OWNER_WAIT: Millis = Millis(1_200);

/// How long an owner that the store has replaced continues to serve until the next owner requests
/// the handover. The next owner has joined by then and sends its request within one or two calls.
const HANDOVER_WAIT: Millis = Millis(1_000);

/// State machine of this host, which contends for a pool of its zone or owns such a pool.
pub(super) struct Contender {
    kernel: Kernel,
    pub(super) engine: Rc<Engine>,
    pub(super) links: Rc<Links>,
    pub(super) shard_layouts: Rc<ShardLayouts>,
    directory: Rc<Directory>,
    options: OwnershipOptions,
    pub(super) member: SmolStr,
    store: Store,
    watch: StoreWatch,
    /// Whether the last join got no reply.
    is_join_unanswered: bool,
    generation: u64,
    candidates: BTreeMap<PoolId, Candidate>,
    /// Executor list that is fetched while this host waits to join, so that a new owner can use it
    /// immediately. `None` if no fetch has been started.
    prefetched_executors: Option<ExecutorsRead>,
}

/// The next step of a contender.
pub(super) enum OwnershipStep {
    /// Waits for a vacant pool.
    Contend,
    /// Joins the group of a vacant pool.
    Join(PoolId),
    /// Takes over a pool whose last owner has made this host its successor.
    Succeed(PoolId, OwnershipTransfer),
    /// After a pause, registers or renews the ownership of a pool, or gives the pool up.
    Renew(PoolId),
    /// Leaves the group of a pool.
    Leave(PoolId),
}

/// What the store shows of a pool that was vacant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Vacancy {
    /// No member holds the pool.
    Open,
    /// This process holds the pool.
    HeldByThisProcess,
    /// Another member holds the pool, or the store does not answer.
    Ended,
}

impl Contender {
    /// Creates a contender that owns no pool yet.
    pub fn new(kernel: &Kernel, service: &OwnershipService, directory: Rc<Directory>) -> Self {
        let options = service.options.clone();
        Contender {
            kernel: kernel.clone(),
            engine: service.engine.clone(),
            links: service.links.clone(),
            shard_layouts: service.shard_layouts.clone(),
            directory,
            member: member_name(options.address, service.engine.incarnation()),
            store: store_calls::open(options.store, StorePurpose::Ownership),
            watch: StoreWatch::new(kernel, "ownership"),
            is_join_unanswered: false,
            generation: 0,
            candidates: BTreeMap::new(),
            prefetched_executors: None,
            options,
        }
    }

    /// Runs the steps until the process ends.
    pub async fn run(mut self) {
        let mut step = OwnershipStep::Contend;
        loop {
            step = match step {
                OwnershipStep::Contend => self.contend().await,
                OwnershipStep::Join(pool) => self.join(pool).await,
                OwnershipStep::Succeed(pool, transfer) => self.succeed(pool, transfer),
                OwnershipStep::Renew(pool) => self.renew(pool).await,
                OwnershipStep::Leave(pool) => self.leave(pool).await,
            };
        }
    }

    fn is_stopping(&self) -> bool {
        self.kernel.readiness().is_draining()
    }

    fn ttl(&self) -> Millis {
        MEMBER_TTL.max(self.options.ttl_min_ms)
    }

    /// Waits for a change, then looks for a pool that this host can take over.
    async fn contend(&mut self) -> OwnershipStep {
        // A list that was fetched for a pool that another host has acquired would be stale for the
        // next pool.
        self.prefetched_executors = None;
        let pool_available = self.directory.pool_available().subscribe();
        let transferred = self.links.transfer_received().subscribe();
        let period = async {
            Timer::after(CONTEND_PERIOD).await;
        };
        pool_available
            .wait()
            .or(transferred.wait())
            .or(period)
            .await;
        let vacant = self.directory.vacant_local_pools();
        self.candidates.retain(|pool, _| vacant.contains(pool));
        if self.is_stopping() {
            return OwnershipStep::Contend;
        }
        if let Some((pool, transfer)) = self.links.take_transfer() {
            return OwnershipStep::Succeed(pool, transfer);
        }
        if let Some((pool, member)) = self.directory.take_orphaned(boot_clock::now()) {
            return self.replace_earlier_process(pool, member).await;
        }
        for pool in takeover_order(&self.links.preferred_pool(), &vacant) {
            if let Some(pause) = self.takeover_pause(&pool).await {
                return self.recheck_and_join(pool, pause).await;
            }
        }
        OwnershipStep::Contend
    }

    /// Returns the pause after which this host joins the group of a vacant pool, or `None` if it
    /// does not join.
    async fn takeover_pause(&mut self, pool: &PoolId) -> Option<Millis> {
        let last_owner = self.last_owner(pool).await;
        let cpu_millis = self.options.cpu_millis;
        let candidate = self
            .candidates
            .entry(pool.clone())
            .or_insert_with(|| Candidate::new(cpu_millis));
        let recovered_at = self.directory.store_recovered_at();
        match candidate.evaluate_vacancy(
            boot_clock::now(),
            last_owner,
            recovered_at,
            rand::random(),
        ) {
            CandidateStep::Defer => None,
            CandidateStep::JoinAfter(pause) => Some(pause),
        }
    }

    /// Returns the status of a vacant pool's last owner. Probes that owner if this host has never
    /// been connected to an owner of the pool, or keeps no link to it.
    async fn last_owner(&mut self, pool: &PoolId) -> LastOwner {
        if self.links.has_stable_owner(pool) {
            return LastOwner::Active;
        }
        let is_planned = self.links.is_planned(pool);
        if is_planned && self.links.has_known_owner(pool) {
            return LastOwner::Gone;
        }
        if is_planned && self.options.is_first_start {
            return LastOwner::None;
        }
        let address = match last_owner::read(&mut self.store, pool).await {
            Ok(member) => member.and_then(|member| address_of(&member)),
            Err(error) => {
                self.watch.record_failure(&error);
                return LastOwner::Unknown;
            }
        };
        self.links.record_owner(pool);
        let Some(address) = address.filter(|address| *address != self.options.address) else {
            return LastOwner::Gone;
        };
        // Opens a link also to a pool to which this host keeps none.
        self.links.set_owner(pool, Some(address));
        match self.links.probe_owner(pool, PROBE_TIMEOUT).await {
            true => LastOwner::Active,
            false => LastOwner::Gone,
        }
    }

    /// Takes over a pool that the store still assigns to an earlier process of this host.
    ///
    /// That process joined under the address that this process uses now, so it has ended. Its
    /// membership is removed immediately instead of left to expire.
    async fn replace_earlier_process(&mut self, pool: PoolId, member: SmolStr) -> OwnershipStep {
        match self.end_membership(&pool, &member).await {
            true => OwnershipStep::Join(pool),
            false => OwnershipStep::Contend,
        }
    }

    /// Waits for `pause` and reads the pool's holder from the store again before joining: two hosts
    /// that join at the same time move the pool twice. After their random pauses all hosts except
    /// the first find the pool owned.
    async fn recheck_and_join(&mut self, pool: PoolId, pause: Millis) -> OwnershipStep {
        let wait = wait_before_list(pause);
        if wait.0 > 0 {
            Timer::after(wait.into()).await;
            if self.check_vacancy(&pool).await == Vacancy::Ended {
                return OwnershipStep::Contend;
            }
        }
        self.prefetch_executors(&pool);
        Timer::after(Millis(pause.0 - wait.0).into()).await;
        match self.check_vacancy(&pool).await {
            // The last owner answers, and the store is about to assign the partition to it again.
            Vacancy::Open if self.takeover_pause(&pool).await.is_none() => OwnershipStep::Contend,
            Vacancy::Open | Vacancy::HeldByThisProcess => OwnershipStep::Join(pool),
            Vacancy::Ended => OwnershipStep::Contend,
        }
    }

    /// Reads from the store whether a pool that was vacant still is.
    async fn check_vacancy(&mut self, pool: &PoolId) -> Vacancy {
        match self.read_holder(pool).await {
            Some(None) => Vacancy::Open,
            Some(Some(holder)) if holder == self.member => Vacancy::HeldByThisProcess,
            Some(Some(_)) => {
                self.directory.remove_vacant(pool);
                Vacancy::Ended
            }
            None => Vacancy::Ended,
        }
    }

    /// Starts to read the executors' list from the store, unless the owner of the zone's first pool
    /// reads it for this zone.
    fn prefetch_executors(&mut self, pool: &PoolId) {
        let first = executors::first_pool(&pool.zone);
        if *pool == first || !self.links.is_up(&first) {
            let list = executors::read_all(self.options.store);
            self.prefetched_executors = Some(self.kernel.spawn(list));
        }
    }

    async fn join(&mut self, pool: PoolId) -> OwnershipStep {
        match self.send_join(&pool).await {
            Some(true) => self.start_ownership(pool).await,
            Some(false) => OwnershipStep::Leave(pool),
            None => OwnershipStep::Contend,
        }
    }

    /// Joins the group of a pool or renews the membership. Returns whether this host holds the
    /// pool, or `None` if the store does not answer.
    pub(super) async fn send_join(&mut self, pool: &PoolId) -> Option<bool> {
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
        self.is_join_unanswered = matches!(joined, Err(Error::NoReply { .. }));
        match joined {
            Ok(membership) => {
                self.watch.record_answer();
                self.generation = membership.generation;
                Some(membership.partitions.contains(&POOL_PARTITION))
            }
            Err(error) => {
                self.watch.record_failure(&error);
                None
            }
        }
    }

    /// Returns the link to the previous owner, if that owner answers.
    ///
    /// Ownership may change twice before this host observes it. The owner that wrote the latest
    /// owner record is used: an earlier owner no longer uses the pool's executors, while the latest
    /// may still use them.
    async fn last_owner_link(&mut self, pool: &PoolId) -> Option<Rc<RemoteLink>> {
        match last_owner::read(&mut self.store, pool).await {
            Ok(member) => {
                let address = member.and_then(|member| address_of(&member));
                let address = address.filter(|address| *address != self.options.address);
                self.links.set_owner(pool, address);
                self.links.probe_owner(pool, PROBE_TIMEOUT).await;
            }
            // Falls back to the owner that is recorded in the links.
            Err(error) => self.watch.record_failure(&error),
        }
        self.links.link_to(pool)
    }

    /// Acquires a pool whose group this host has joined, if the zone's shard layout still contains
    /// it.
    async fn start_ownership(&mut self, pool: PoolId) -> OwnershipStep {
        // Without an answer the known shard layout is used; executors refuse the token of an old
        // layout.
        if let Err(error) = self.shard_layouts.refresh(&mut self.store).await {
            self.watch.record_failure(&error);
        }
        let layout = self.shard_layouts.layout_of(&pool.zone);
        if pool.index >= layout.pools {
            return OwnershipStep::Leave(pool);
        }
        let token = layout.token(&pool, self.generation);
        let last_owner = self.last_owner_link(&pool).await;
        self.acquire_pool(token, &pool, last_owner);
        let initial = self
            .prefetched_executors
            .take()
            .map_or(InitialExecutors::None, InitialExecutors::Reading);
        self.follow_executors(token, &pool, layout, initial);
        self.write_owner_record(&pool).await;
        OwnershipStep::Renew(pool)
    }

    /// Becomes the owner of a pool under a fencing token. `last_owner` is the link to the previous
    /// owner, if it answers.
    pub(super) fn acquire_pool(
        &mut self,
        token: FencingToken,
        pool: &PoolId,
        last_owner: Option<Rc<RemoteLink>>,
    ) {
        self.directory.remove_vacant(pool);
        self.links.record_owner(pool);
        self.engine.take_fenced();
        self.engine
            .acquire_pool(token, pool.clone(), last_owner.is_some());
        if let Some(link) = last_owner {
            let waiter = link.keep_open();
            let handover = follow_release(self.engine.clone(), link, waiter, token);
            self.kernel.spawn(handover).detach();
        }
        self.links.set_owner(pool, None);
    }

    /// Writes an owner record, from which hosts that start later find this owner while the store
    /// shows no holder of the pool's partition.
    pub(super) async fn write_owner_record(&mut self, pool: &PoolId) {
        if let Err(error) = last_owner::write(&mut self.store, pool, &self.member).await {
            self.watch.record_failure(&error);
        }
    }

    pub(super) fn follow_executors(
        &self,
        token: FencingToken,
        pool: &PoolId,
        layout: ShardLayout,
        initial: InitialExecutors,
    ) {
        let follow = executors::follow(
            self.kernel.clone(),
            self.engine.clone(),
            self.links.clone(),
            self.shard_layouts.clone(),
            (token, pool.clone(), layout),
            initial,
            self.options.store,
        );
        self.kernel.spawn(follow).detach();
    }

    /// Reads the holder of a pool from the store: `Some(None)` if the pool has none, `None` if the
    /// store does not answer.
    pub(super) async fn read_holder(&mut self, pool: &PoolId) -> Option<Option<SmolStr>> {
        match read_owner(&mut self.store, pool).await {
            Ok(holder) => {
                self.watch.record_answer();
                Some(holder)
            }
            Err(error) => {
                self.watch.record_failure(&error);
                None
            }
        }
    }

    /// Waits for the renewal interval, then renews the ownership, or hands the pool over if this
    /// host is stopping or has been replaced.
    async fn renew(&mut self, pool: PoolId) -> OwnershipStep {
        let past_members = self.engine.past_members();
        let is_registered = past_members.is_empty();
        let period = match (is_registered, self.is_join_unanswered) {
            (false, _) => REGISTER_PERIOD,
            (true, true) => RENEW_RETRY_PAUSE,
            (true, false) => RENEW_PERIOD,
        };
        Timer::after(period).await;
        if self.engine.take_fenced() || self.engine.owned_pool().is_none() {
            return OwnershipStep::Leave(pool);
        }
        if self.is_stopping() {
            return self.hand_over(pool).await;
        }
        if !is_registered {
            return self.register(pool, &past_members).await;
        }
        match self.renew_membership(&pool).await {
            // Without an answer the owner continues: an owner that replaces it has a higher token.
            Some(true) | None => OwnershipStep::Renew(pool),
            Some(false) => self.hand_over(pool).await,
        }
    }

    /// Renews the membership. Returns whether this host still holds the pool, or `None` if the
    /// store does not answer.
    ///
    /// If another host joins the group and leaves again, the store rebalances twice. The owner's
    /// next join then releases the partition, and a second join, in the newest generation, acquires
    /// it again.
    async fn renew_membership(&mut self, pool: &PoolId) -> Option<bool> {
        match self.send_join(pool).await {
            Some(false) => self.send_join(pool).await,
            holds => holds,
        }
    }

    /// Continues to serve while another host takes over the pool, until the last job on this host
    /// has ended.
    pub(super) async fn hand_over(&mut self, pool: PoolId) -> OwnershipStep {
        self.engine.begin_drain();
        let mut has_left = false;
        let handover_deadline = boot_clock::now() + HANDOVER_WAIT;
        let mut was_releasing = false;
        let successor_due_at = boot_clock::now() + STORE_OWNER_WAIT;
        loop {
            let is_store_lost = !has_left && self.watch.is_lost();
            let is_successor_due = is_store_lost || boot_clock::now() >= successor_due_at;
            self.engine
                .set_successor_needed(self.is_stopping() && is_successor_due);
            if !has_left {
                has_left = self.leave_group(&pool).await;
            }
            if self.engine.is_releasing() && !std::mem::replace(&mut was_releasing, true) {
                self.directory.trigger_lookups();
            }
            if self.engine.owned_pool().is_none() {
                return OwnershipStep::Leave(pool);
            }
            if let Some(reason) = self.step_down_reason(handover_deadline) {
                self.engine.step_down(reason);
            }
            Timer::after(HANDOVER_POLL).await;
        }
    }

    /// Returns why an owner that is being replaced can give up its pool now, or `None` while it
    /// still has to serve. An owner that the store has replaced waits until `handover_deadline` for
    /// the next owner to request the handover.
    fn step_down_reason(&self, handover_deadline: Mono) -> Option<&'static str> {
        let is_idle = self.engine.counts().1 == 0;
        if self.engine.is_releasing() {
            return is_idle.then_some("handed over");
        }
        if self.engine.is_closed() && is_idle {
            return Some("this host is stopping");
        }
        let is_replaced = !self.is_stopping() && boot_clock::now() > handover_deadline;
        is_replaced.then_some("the store assigned the pool to another host")
    }

    /// Leaves the group of a pool. Returns whether the store has answered.
    async fn leave_group(&mut self, pool: &PoolId) -> bool {
        let member = self.member.clone();
        self.end_membership(pool, &member).await
    }

    /// Removes a member from the group of a pool. Returns whether the store has answered.
    pub(super) async fn end_membership(&mut self, pool: &PoolId, member: &str) -> bool {
        let group = group_of(pool);
        match self.store.leave(&group, member, ANSWER_TIMEOUT).await {
            Ok(()) => {
                self.watch.record_answer();
                true
            }
            Err(error) => {
                self.watch.record_failure(&error);
                false
            }
        }
    }

    /// Leaves the group of a pool that this host no longer owns, and resets the group's generation
    /// and the past members.
    async fn leave(&mut self, pool: PoolId) -> OwnershipStep {
        self.directory.trigger_lookups();
        // Without an answer the membership expires after its time to live.
        self.leave_group(&pool).await;
        // The token may have been refused because of a shard layout that this host has not read
        // yet.
        if let Err(error) = self.shard_layouts.refresh(&mut self.store).await {
            self.watch.record_failure(&error);
        }
        self.generation = 0;
        self.engine.set_past_members(Vec::new());
        OwnershipStep::Contend
    }
}
