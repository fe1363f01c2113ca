//! When a host takes over a pool that nobody owns in the store's books.

use onyxshed_core::{Millis, Mono};

/// How long an owner that answers keeps a pool which is vacant in the store: longer than outages of
/// the store to single hosts last (9 s), short against the minutes in which executors are replaced.
const PRESENT_OWNER_PATIENCE: Millis = Millis(10_000);

/// How long a pool is left alone after the store answers this host again: an owner that was cut off
/// from the store as well joins again within 350 ms, and the look for it takes up to 100 ms.
const REJOIN_PATIENCE: Millis = Millis(500);

/// How long a pool is left alone whose owner this host has never heard: an owner whose membership
/// lapsed while the store was away joins again within 1,050 ms of its return (a renewal each 350 ms,
/// and 700 ms for a call that is still waiting).
const UNKNOWN_OWNER_PATIENCE: Millis = Millis(1_200);

/// Longest random wait before a host joins for a vacant pool, so that seldom two do.
const JOIN_SPREAD: Millis = Millis(120);

/// Processor share that makes a good owner, in thousandths of a core: an owner of a hundred executors
/// needs half of it.
pub(crate) const OWNER_CPU_MILLIS: u32 = 400;

/// How long a host waits for each time that its processor share fits into a good owner's.
const SMALL_HOST_PAUSE: Millis = Millis(200);

/// What a candidate does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateStep {
    /// It leaves the pool to whoever owns it.
    Defer,
    /// It joins after a pause, if the pool is still vacant then.
    JoinAfter(Millis),
}

/// What a host knows of the owner that a vacant pool had last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastOwner {
    /// It answers and means to stay.
    Active,
    /// It is gone, or wants to be replaced.
    Gone,
    /// This host has never heard one.
    Unknown,
}

/// A host that may come to own a pool.
#[derive(Debug)]
pub struct Candidate {
    cpu_millis: u32,
    vacant_since: Option<Mono>,
}

impl Candidate {
    /// Makes a candidate with a processor share in thousandths of a core.
    pub fn new(cpu_millis: u32) -> Self {
        Candidate {
            cpu_millis,
            vacant_since: None,
        }
    }

    /// Takes in that nobody owns the pool in the store's books, and what this host knows of its last
    /// owner; `draw` is a random number from 0 to 1.
    ///
    /// A membership may lapse while its owner serves on, cut off from the store. An owner that answers is left
    /// alone until it has joined again; one that can't for long is replaced, since it no longer sees which
    /// executors come and leave.
    ///
    /// A host that started a moment ago, or while its zone was cut off, knows no owner to ask. When
    /// the store answers again, at `store_back_at`, the memberships of living owners have lapsed,
    /// and they need a moment to join again; a host that is faster costs them their jobs.
    pub fn evaluate_vacancy(
        &mut self,
        now: Mono,
        last_owner: LastOwner,
        store_back_at: Option<Mono>,
        draw: f64,
    ) -> CandidateStep {
        let since = *self.vacant_since.get_or_insert(now);
        if store_back_at.is_some_and(|back_at| now.since(back_at) < REJOIN_PATIENCE.into()) {
            return CandidateStep::Defer;
        }
        let patience = match last_owner {
            LastOwner::Active => PRESENT_OWNER_PATIENCE,
            LastOwner::Unknown => UNKNOWN_OWNER_PATIENCE,
            LastOwner::Gone => Millis(0),
        };
        if now.since(since) < patience.into() {
            return CandidateStep::Defer;
        }
        CandidateStep::JoinAfter(self.join_pause(draw))
    }

    /// Gets how long this host leaves a vacant pool to others: an owner's work grows with its pool,
    /// so hosts with more processor go first.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn join_pause(&self, draw: f64) -> Millis {
        let cpu_millis = self.cpu_millis.clamp(1, OWNER_CPU_MILLIS);
        let shortage = u64::from(OWNER_CPU_MILLIS / cpu_millis - 1);
        let spread_ms = (draw.clamp(0.0, 1.0) * crate::speed::as_f64(JOIN_SPREAD.0)) as u64;
        Millis(spread_ms + SMALL_HOST_PAUSE.0 * shortage)
    }
}
