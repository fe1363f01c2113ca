//! The steps by which a host comes to own a pool, keeps it and lets go of it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use onyxshed_adapter::Store;
use onyxshed_core::{Millis, Mono};
use onyxshed_kernel::Kernel;
use onyxshed_pool::{
    Candidate, CandidateStep, FencingToken, LastOwner, OwnershipTransfer, PoolId, ShardLayout,
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
use crate::store_watch::{ANSWER_TIMEOUT, StoreWatch};

/// Longest time between two looks for a pool that nobody owns; one that is found is told at once.
const CONTEND_PERIOD: Duration = Duration::from_millis(500);

/// Time between two renewals of an owner: a quarter of the time to live.
const RENEW_PERIOD: Duration = Duration::from_millis(350);

/// How long a member lives in the group without renewal: long enough for one lost call and a slow
/// store, short enough that a dead owner is replaced within two seconds.
const MEMBER_TTL: Millis = Millis(1_400);

/// How long the last owner of a vacant pool may take to answer a host that has just started: a new
/// connection and a call, over zones, on a host at its processor limit (75 ms).
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a stopping owner waits for the store to make another host the owner before it names a
/// successor: the smallest hosts join after 900 ms.
const STORE_OWNER_WAIT: Millis = Millis(1_200);

/// How long an owner that the store has replaced serves on for the next one to ask; the next one
/// has joined before, and asks within a call or two.
const HANDOVER_WAIT: Millis = Millis(1_000);

/// This host as a contender for, or owner of, a pool of its zone.
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
    generation: u64,
    candidates: BTreeMap<PoolId, Candidate>,
    /// Executor list, fetched while this host waits to join, so that a new owner can use it at once.
    prefetched_executors: Option<ExecutorsRead>,
}

/// What a contender does next.
pub(super) enum OwnershipStep {
    /// Looks for a pool that nobody owns.
    Contend,
    /// Joins a pool's group, since nobody owns the pool.
    Join(PoolId),
    /// Takes a pool over by its last owner's word.
    Succeed(PoolId, OwnershipTransfer),
    /// Renews its ownership.
    Renew(PoolId),
    /// Leaves the group.
    Leave(PoolId),
}

impl Contender {
    /// Makes a contender that owns nothing yet.
    pub fn new(kernel: &Kernel, service: &OwnershipService, directory: Rc<Directory>) -> Self {
        let options = service.options.clone();
        Contender {
            kernel: kernel.clone(),
            engine: service.engine.clone(),
            links: service.links.clone(),
            shard_layouts: service.shard_layouts.clone(),
            directory,
            member: member_name(options.address, service.engine.incarnation()),
            store: Store::new(options.store),
            watch: StoreWatch::new(kernel, "ownership"),
            generation: 0,
            candidates: BTreeMap::new(),
            prefetched_executors: None,
            options,
        }
    }

    /// Contends for a pool and owns it in turns, for as long as the process lives.
    pub async fn run(mut self) {
        let mut next = OwnershipStep::Contend;
        loop {
            next = match next {
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

    async fn contend(&mut self) -> OwnershipStep {
        // A list that was fetched for a pool that another host took would be stale for the next one.
        self.prefetched_executors = None;
        let news = self.directory.pool_available().waiting();
        let transferred = self.links.transfer_received().waiting();
        let period = async {
            Timer::after(CONTEND_PERIOD).await;
        };
        news.wait().or(transferred.wait()).or(period).await;
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
        // Hosts begin at different pools, so that they do not all want the same one.
        let preferred = self.links.preferred_pool();
        let count = vacant.len();
        let first = vacant.iter().position(|pool| *pool >= preferred);
        for step in 0..count {
            let pool = &vacant[(first.unwrap_or(0) + step) % count];
            if let Some(pause) = self.takeover_pause(pool).await {
                return self.recheck_and_join(pool.clone(), pause).await;
            }
        }
        OwnershipStep::Contend
    }

    /// Tells after which pause this host joins for a vacant pool; none if it leaves it alone.
    async fn takeover_pause(&mut self, pool: &PoolId) -> Option<Millis> {
        let last_owner = self.last_owner(pool).await;
        let cpu_millis = self.options.cpu_millis;
        let candidate = self
            .candidates
            .entry(pool.clone())
            .or_insert_with(|| Candidate::new(cpu_millis));
        let back_at = self.directory.store_recovered_at();
        match candidate.evaluate_vacancy(boot_clock::now(), last_owner, back_at, rand::random()) {
            CandidateStep::Defer => None,
            CandidateStep::JoinAfter(pause) => Some(pause),
        }
    }

    /// Gets what is known of a vacant pool's last owner; asks it, if this host never has.
    async fn last_owner(&mut self, pool: &PoolId) -> LastOwner {
        if self.links.is_settled(pool) {
            return LastOwner::Active;
        }
        // Before the first start of all there was no owner.
        if self.links.has_known_owner(pool) || self.options.is_first_start {
            return LastOwner::Gone;
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
        self.links.set_owner(pool, Some(address));
        match self.links.probe_owner(pool, PROBE_TIMEOUT).await {
            true => LastOwner::Active,
            false => LastOwner::Gone,
        }
    }

    /// Takes over from an earlier process of this host.
    ///
    /// The address is this process's own, so whoever joined under it before is gone, and its membership is
    /// ended rather than left to lapse.
    async fn replace_earlier_process(&mut self, pool: PoolId, member: SmolStr) -> OwnershipStep {
        match self.end_membership(&pool, &member).await {
            true => OwnershipStep::Join(pool),
            false => OwnershipStep::Contend,
        }
    }

    /// Waits and looks again: two hosts that join at once move the pool twice, and after their
    /// pauses all but one find it owned.
    async fn recheck_and_join(&mut self, pool: PoolId, pause: Millis) -> OwnershipStep {
        let address = self.options.store;
        self.prefetched_executors = Some(self.kernel.spawn(executors::read_all(address)));
        Timer::after(pause.into()).await;
        match self.read_holder(&pool).await {
            // The store is moving the partition back to an owner that answers.
            Some(None) if self.takeover_pause(&pool).await.is_none() => OwnershipStep::Contend,
            Some(None) => OwnershipStep::Join(pool),
            Some(Some(owner)) if owner == self.member => OwnershipStep::Join(pool),
            Some(Some(_)) => {
                self.directory.remove_vacant(&pool);
                OwnershipStep::Contend
            }
            None => OwnershipStep::Contend,
        }
    }

    async fn join(&mut self, pool: PoolId) -> OwnershipStep {
        match self.send_join(&pool).await {
            Some(true) => self.start_ownership(pool).await,
            Some(false) => OwnershipStep::Leave(pool),
            None => OwnershipStep::Contend,
        }
    }

    /// Joins or renews; tells whether this host holds the pool, none without an answer.
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
        match joined {
            Ok(membership) => {
                self.watch.record_answer();
                self.generation = membership.generation;
                Some(membership.parts.contains(&POOL_PARTITION))
            }
            Err(error) => {
                self.watch.record_failure(&error);
                None
            }
        }
    }

    /// Gets the link to the owner before this one, if it answers.
    ///
    /// A pool may change hands twice before this host hears of it. Whoever wrote itself down last is asked:
    /// an earlier owner is done with the pool while the last one still uses it.
    async fn last_owner_link(&mut self, pool: &PoolId) -> Option<Rc<RemoteLink>> {
        match last_owner::read(&mut self.store, pool).await {
            Ok(member) => {
                let address = member.and_then(|member| address_of(&member));
                let address = address.filter(|address| *address != self.options.address);
                self.links.set_owner(pool, address);
                self.links.probe_owner(pool, PROBE_TIMEOUT).await;
            }
            // The owner that is known by other ways is asked.
            Err(error) => self.watch.record_failure(&error),
        }
        self.links.link_to(pool)
    }

    /// Begins to own a pool, if the zone's division still has it.
    async fn start_ownership(&mut self, pool: PoolId) -> OwnershipStep {
        // Without an answer the division known is taken; executors refuse a token of an old one.
        if let Err(error) = self.shard_layouts.refresh(&mut self.store).await {
            self.watch.record_failure(&error);
        }
        let division = self.shard_layouts.layout_of(&pool.zone);
        if pool.index >= division.pools {
            return OwnershipStep::Leave(pool);
        }
        let token = division.token(&pool, self.generation);
        let last_owner = self.last_owner_link(&pool).await;
        self.acquire_pool(token, &pool, last_owner);
        let known = self
            .prefetched_executors
            .take()
            .map_or(InitialExecutors::None, InitialExecutors::Reading);
        self.follow_executors(token, &pool, division, known);
        self.write_owner_record(&pool).await;
        OwnershipStep::Renew(pool)
    }

    /// Owns a pool under a token from now on; the last owner is given if it answers.
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
            let open = link.keep_open();
            let handover = follow_release(self.engine.clone(), link, open, token);
            self.kernel.spawn(handover).detach();
        }
        self.links.set_owner(pool, None);
    }

    /// Writes this owner down: hosts that start later find it while the store's books show none.
    pub(super) async fn write_owner_record(&mut self, pool: &PoolId) {
        if let Err(error) = last_owner::write(&mut self.store, pool, &self.member).await {
            self.watch.record_failure(&error);
        }
    }

    pub(super) fn follow_executors(
        &self,
        token: FencingToken,
        pool: &PoolId,
        division: ShardLayout,
        known: InitialExecutors,
    ) {
        let follow = executors::follow(
            self.kernel.clone(),
            self.engine.clone(),
            self.shard_layouts.clone(),
            (token, pool.clone(), division),
            known,
            self.options.store,
        );
        self.kernel.spawn(follow).detach();
    }

    /// Asks the store who holds a pool; none without an answer.
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

    async fn renew(&mut self, pool: PoolId) -> OwnershipStep {
        let past_members = self.engine.past_members();
        let is_registered = past_members.is_empty();
        let period = match is_registered {
            true => RENEW_PERIOD,
            false => REGISTER_PERIOD,
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
            // Without an answer the owner goes on: whoever replaces it has a higher token.
            Some(true) | None => OwnershipStep::Renew(pool),
            Some(false) => self.hand_over(pool).await,
        }
    }

    /// Renews the membership; tells whether this host still holds the pool, none without an answer.
    ///
    /// Another host that joins the group and leaves again makes the store rebalance twice. The owner's
    /// next join then releases the partition, and a second one, in the newest generation, gets it back.
    async fn renew_membership(&mut self, pool: &PoolId) -> Option<bool> {
        match self.send_join(pool).await {
            Some(false) => self.send_join(pool).await,
            holds => holds,
        }
    }

    /// Serves on while another host takes the pool over, until the last job here has ended.
    pub(super) async fn hand_over(&mut self, pool: PoolId) -> OwnershipStep {
        self.engine.begin_drain();
        let mut has_left = false;
        let given_up_at = boot_clock::now() + HANDOVER_WAIT;
        let mut was_releasing = false;
        let transfer_due_at = boot_clock::now() + STORE_OWNER_WAIT;
        loop {
            let is_cut_off = !has_left && self.watch.is_lost();
            let is_transfer_due = is_cut_off || boot_clock::now() >= transfer_due_at;
            self.engine
                .set_successor_needed(self.is_stopping() && is_transfer_due);
            if !has_left {
                has_left = self.leave_group(&pool).await;
            }
            if self.engine.is_releasing() && !std::mem::replace(&mut was_releasing, true) {
                self.directory.trigger_lookups();
            }
            if self.engine.owned_pool().is_none() {
                return OwnershipStep::Leave(pool);
            }
            if let Some(why) = self.step_down_reason(given_up_at) {
                self.engine.step_down(why);
            }
            Timer::after(HANDOVER_POLL).await;
        }
    }

    /// Gets why an owner that is being replaced has nothing left to do; none while it has. One that
    /// the store replaced waits until `given_up_at` for the next owner to ask.
    fn step_down_reason(&self, given_up_at: Mono) -> Option<&'static str> {
        let is_idle = self.engine.counts().1 == 0;
        if self.engine.is_releasing() {
            return is_idle.then_some("handed over");
        }
        if self.engine.is_closed() && is_idle {
            return Some("this host is stopping");
        }
        let is_forgotten = !self.is_stopping() && boot_clock::now() > given_up_at;
        is_forgotten.then_some("the store gave it to another host")
    }

    /// Leaves a pool's group; tells whether the store has answered.
    async fn leave_group(&mut self, pool: &PoolId) -> bool {
        let member = self.member.clone();
        self.end_membership(pool, &member).await
    }

    /// Ends a membership in a pool's group; tells whether the store has answered.
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

    async fn leave(&mut self, pool: PoolId) -> OwnershipStep {
        self.directory.trigger_lookups();
        // Without an answer the membership lapses by itself after its time to live.
        self.leave_group(&pool).await;
        // A division that this host has not read yet may be why its token was refused.
        if let Err(error) = self.shard_layouts.refresh(&mut self.store).await {
            self.watch.record_failure(&error);
        }
        self.generation = 0;
        self.engine.set_past_members(Vec::new());
        OwnershipStep::Contend
    }
}
