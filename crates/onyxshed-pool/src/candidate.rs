//! When a host takes over a pool that nobody owns in the store's books.

use onyxshed_core::{Millis, Mono};

/// How long an owner that answers keeps a pool which is vacant in the store: longer than outages of
/// the store to single hosts last (9 s), short against the minutes in which executors are replaced.
const PRESENT_OWNER_PATIENCE: Millis = Millis(10_000);

/// How long a pool is left alone after the store answers this host again: an owner that was cut off
/// from the store as well joins again within 350 ms, and the look for it takes up to 100 ms.
const REJOIN_PATIENCE: Millis = Millis(500);

/// Longest random wait before a host joins for a vacant pool, so that seldom two do.
const JOIN_SPREAD: Millis = Millis(120);

/// Processor share that makes a good owner, in thousandths of a core: twice what the owner of 120
/// executors uses on a calm day.
const OWNER_CPU_MILLIS: u32 = 400;

/// How long a host waits for each time that its processor share fits into a good owner's.
const SMALL_HOST_PAUSE: Millis = Millis(200);

/// What a candidate does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateStep {
    /// It leaves the pool to whoever owns it.
    Leave,
    /// It joins after a pause, if the pool is still vacant then.
    JoinAfter(Millis),
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

    /// Takes in that nobody owns the pool in the store's books, and whether its last owner answers
    /// this host and means to stay; `draw` is a random number from 0 to 1.
    ///
    /// Failure guarded against: the store takes a membership away, or lets it lapse while the
    /// owner is cut off from the store; the owner serves on. Symptom: whoever sees the store first
    /// takes over, and every job of the pool is lost (17 of 299 jobs in the two seconds of such a
    /// fault, 6 since). An owner that answers is left alone until it has joined again; one that
    /// can't for long is replaced, since it no longer sees which executors come and leave.
    ///
    /// A host that started while its zone was cut off from the store knows no owner to ask. When
    /// the store answers it again, at `store_back_at`, the owner's membership has lapsed, and the
    /// owner needs a moment to join again: 14 of some 60 jobs were lost where the host was faster.
    pub fn vacant(
        &mut self,
        now: Mono,
        owner_answers: bool,
        store_back_at: Option<Mono>,
        draw: f64,
    ) -> CandidateStep {
        let since = *self.vacant_since.get_or_insert(now);
        if store_back_at.is_some_and(|back_at| now.since(back_at) < REJOIN_PATIENCE.into()) {
            return CandidateStep::Leave;
        }
        if owner_answers && now.since(since) < PRESENT_OWNER_PATIENCE.into() {
            return CandidateStep::Leave;
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
