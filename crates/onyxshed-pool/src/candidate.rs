//! The decision of a host to take over a pool that has no owner in the store.

use onyxshed_core::{Millis, Mono};

/// How long an owner that answers keeps a pool that is vacant in the store. Outages of the store to
/// single hosts last up to 9 s; executors are replaced over minutes, which is far longer.
const ACTIVE_OWNER_GRACE: Millis = Millis(10_000);

/// How long no host takes over a pool after the store answers that host again. An owner that was also
/// cut off from the store rejoins within 350 ms, and the query for it takes up to 100 ms.
const REJOIN_GRACE: Millis = Millis(500);

/// How long a pool stays vacant before a host that has had no contact with an owner takes it over. An
/// owner whose membership expired during an outage of the store rejoins within 1,050 ms of the store's
/// return: 350 ms between renewals, and 700 ms for a call that is still pending.
const UNKNOWN_OWNER_GRACE: Millis = Millis(1_200);

/// Maximum random delay before a host joins for a vacant pool, so that two hosts rarely join at once.
const JOIN_JITTER_MAX: Millis = Millis(120);

/// Processor share that a host should have to own a pool, in thousandths of a core. An owner of a
/// hundred executors needs half of it.
pub(crate) const OWNER_CPU_MILLIS: u32 = 400;

/// Delay before a small host joins, for each time beyond the first that its processor share fits into
/// [`OWNER_CPU_MILLIS`].
const SMALL_HOST_DELAY: Millis = Millis(200);

/// Next step of a host for a vacant pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateStep {
    /// The host leaves the pool to its last owner for now.
    Defer,
    /// The host joins the pool's group after the delay if the pool is still vacant then.
    JoinAfter(Millis),
}

/// Knowledge of a host about the last owner of a vacant pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastOwner {
    /// The owner answers and needs no replacement.
    Active,
    /// The owner is gone or needs to be replaced.
    Gone,
    /// This host has never had contact with an owner of the pool.
    Unknown,
}

/// A host that may take over a vacant pool.
#[derive(Debug)]
pub struct Candidate {
    cpu_millis: u32,
    vacant_since: Option<Mono>,
}

impl Candidate {
    /// Creates a candidate with a processor share in thousandths of a core.
    pub fn new(cpu_millis: u32) -> Self {
        Candidate {
            cpu_millis,
            vacant_since: None,
        }
    }

    /// Decides what to do about a pool that has no owner in the store. `draw` is a random number from 0 to
    /// 1, and `store_back_at` is when the store answered this host again after an outage, if one occurred.
    ///
    /// The membership of an owner may expire while it still serves the pool, cut off from the store. An
    /// owner that answers has time to rejoin. One that can't rejoin for long is replaced, since it does not
    /// learn which executors are added and removed.
    ///
    /// A host that has just started, or that started while its zone was cut off, knows no owner to query.
    /// When the store answers again, the memberships of running owners have expired, and the owners need a
    /// moment to rejoin. A host that joined before them would make them lose their jobs.
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
            LastOwner::Gone => Millis(0),
        };
        if now.since(since) < grace.into() {
            return CandidateStep::Defer;
        }
        CandidateStep::JoinAfter(self.join_delay(draw))
    }

    /// Returns the delay before this host joins for a vacant pool. The load of an owner grows with its pool,
    /// so hosts with a larger processor share go first.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn join_delay(&self, draw: f64) -> Millis {
        let cpu_millis = self.cpu_millis.clamp(1, OWNER_CPU_MILLIS);
        let shortage = u64::from(OWNER_CPU_MILLIS / cpu_millis - 1);
        let spread_ms = (draw.clamp(0.0, 1.0) * crate::speed::as_f64(JOIN_JITTER_MAX.0)) as u64;
        Millis(spread_ms + SMALL_HOST_DELAY.0 * shortage)
    }
}
