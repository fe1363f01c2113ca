//! Decision of a host to take over a vacant pool, which is a pool without an owner in the store.
//!
//! A host becomes the owner by joining the pool's group in the store. The decision delays this so
//! that a running owner can rejoin first, and so that large hosts join before small ones.

use onyxshed_core::{Millis, Mono};

use crate::shard_layout::PoolId;

/// How long no host replaces an owner that still answers but is missing in the store. Single hosts
/// are cut off from the store for up to 9 s. The owner's list of executors is outdated meanwhile,
/// but executors are replaced over minutes.
const ACTIVE_OWNER_GRACE: Millis = Millis(10_000);

/// How long no host takes over a pool after the store answers that host again. An owner that was
/// also cut off from the store rejoins within 350 ms, and this host's probe of that owner takes up
/// to 100 ms.
const REJOIN_GRACE: Millis = Millis(500);

/// How long a pool stays vacant before a host that has had no contact with an owner takes it over. An
/// owner whose membership expired during an outage of the store rejoins within 1,050 ms of the store's
/// return: 350 ms between renewals, and 700 ms for a call that is still pending.
const UNKNOWN_OWNER_GRACE: Millis = Millis(1_200);

/// Maximum random delay before a host joins for a vacant pool, so that two hosts rarely join at the
/// same time.
const JOIN_JITTER_MAX: Millis = Millis(120);

/// Processor share that a host should have to own a pool, in thousandths of a core. An owner of a
/// hundred executors needs half of it.
pub(crate) const OWNER_CPU_MILLIS: u32 = 400;

/// Unit of the delay before a small host joins: a host with half of [`OWNER_CPU_MILLIS`] waits for
/// this time, and a host with a third of it for twice this time.
const SMALL_HOST_DELAY: Millis = Millis(200);

/// Delay by which a host without any processor time would join later than a host with
/// [`OWNER_CPU_MILLIS`] when the deployment starts for the first time and nobody waits for a pool yet.
const FIRST_JOIN_SPREAD: Millis = Millis(1_000);

/// How long before it joins a host begins to read the list of executors: a host without delay joins after
/// the jitter at the latest.
const LIST_LEAD: Millis = JOIN_JITTER_MAX;

/// Next step of a host for a vacant pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateStep {
    /// The host does not join now, and evaluates the vacancy again later.
    Defer,
    /// The host joins the pool's group after the delay if the pool is still vacant then.
    JoinAfter(Millis),
}

/// Knowledge of a host about the last owner of a vacant pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastOwner {
    /// The owner answers and needs no replacement.
    Active,
    /// The deployment starts for the first time, so the pool has never had an owner.
    None,
    /// The owner does not answer or reports that it needs to be replaced.
    Gone,
    /// This host has never had contact with an owner of the pool, and could not read from the store
    /// which host it was.
    Unknown,
}

/// One host's decision about one vacant pool. It is discarded when the pool has an owner again.
#[derive(Debug)]
pub struct Candidate {
    cpu_millis: u32,
    vacant_since: Option<Mono>,
}

impl Candidate {
    /// Creates a candidate for a host with the given processor share, in thousandths of a core.
    pub fn new(cpu_millis: u32) -> Self {
        Candidate {
            cpu_millis,
            vacant_since: None,
        }
    }

    /// Decides what to do about a pool that has no owner in the store. `draw` is a random number
    /// from 0 to 1, and `store_back_at` is when the store answered this host again after an outage,
    /// if one occurred.
    ///
    /// The store may drop the membership of an owner that is cut off from the store but still
    /// serves the pool. An owner that answers has `ACTIVE_OWNER_GRACE` to rejoin. After that it is
    /// replaced, since it can't read from the store which executors were added and removed.
    ///
    /// A host that has just started, or that started while its zone was cut off from the store,
    /// knows no owner to query. When the store answers again, the memberships of running owners
    /// have expired, and the owners need about a second to rejoin. If another host joined first,
    /// the jobs of these owners would be lost.
    pub fn evaluate_vacancy(
        &mut self,
        now: Mono,
        last_owner: LastOwner,
        store_back_at: Option<Mono>,
        draw: f64,
    ) -> CandidateStep {
        let since = *self.vacant_since.get_or_insert(now);
        if store_back_at.is_some_and(|back_at| now.since(back_at) < REJOIN_GRACE.into()) {
            return CandidateStep::Defer;
        }
        let grace = match last_owner {
            LastOwner::Active => ACTIVE_OWNER_GRACE,
            LastOwner::Unknown => UNKNOWN_OWNER_GRACE,
            LastOwner::Gone | LastOwner::None => Millis(0),
        };
        if now.since(since) < grace.into() {
            return CandidateStep::Defer;
        }
        CandidateStep::JoinAfter(match last_owner {
            LastOwner::None => self.first_join_delay(draw),
            LastOwner::Active | LastOwner::Unknown | LastOwner::Gone => self.join_delay(draw),
        })
    }

    /// Returns the delay before this host joins for a vacant pool. The load of an owner grows with its pool,
    /// so hosts with a larger processor share go first.
    fn join_delay(&self, draw: f64) -> Millis {
        let cpu_millis = self.cpu_millis.clamp(1, OWNER_CPU_MILLIS);
        let shortage = u64::from(OWNER_CPU_MILLIS / cpu_millis - 1);
        Millis(jitter(draw).0 + SMALL_HOST_DELAY.0 * shortage)
    }

    /// Like [`Candidate::join_delay`] for the first owner of a pool: any host that is too small for the
    /// pool leaves it to a larger one.
    fn first_join_delay(&self, draw: f64) -> Millis {
        let missing = OWNER_CPU_MILLIS - self.cpu_millis.min(OWNER_CPU_MILLIS);
        let spread_ms = FIRST_JOIN_SPREAD.0 * u64::from(missing) / u64::from(OWNER_CPU_MILLIS);
        Millis(jitter(draw).0 + spread_ms)
    }
}

/// Returns the vacant pools of a host's zone in the order in which the host tries to take them over, from its
/// home pool on, so that the hosts of a zone contend for different pools. `vacant` is sorted.
pub fn takeover_order(home: &PoolId, vacant: &[PoolId]) -> Vec<PoolId> {
    let first = vacant.iter().position(|pool| pool >= home);
    let (before, from_home) = vacant.split_at(first.unwrap_or(0));
    [from_home, before].concat()
}

/// Returns how long a host that joins after `pause` waits until it begins to read the list of executors, so
/// that it serves as soon as it has joined.
///
/// The list is large, and all hosts of a zone wait to join for a vacant pool. A host that waits longer than
/// the first ones checks whether the pool is still vacant before it reads the list.
pub fn wait_before_list(pause: Millis) -> Millis {
    Millis(pause.0.saturating_sub(LIST_LEAD.0))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn jitter(draw: f64) -> Millis {
    Millis((draw.clamp(0.0, 1.0) * crate::speed::as_f64(JOIN_JITTER_MAX.0)) as u64)
}
