//! Table of the claims in force: a fold of the `claims` stream.
//!
//! Entries are ordered by ULID and therefore by time, so expiry costs only what it removes. The
//! effect of a record depends only on the records before it, so all readers agree about every id
//! that they still accept.

use std::collections::BTreeMap;

use onyxshed_core::{Incarnation, SubmissionId, UnixMs};
use onyxshed_wire::ContentHash;
use onyxshed_wire::record::Claim;
use ulid::Ulid;

/// State of a claim from this host's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// Another incarnation holds the claim.
    Foreign,
    /// This host holds the claim and was allowed to start the job.
    Started,
    /// This host holds the claim and has not started the job; a release waits to be sent.
    ReleaseQueued,
    /// This host holds the claim until the release that it sent is read back, unless a later claim
    /// of this host is read first.
    ReleaseSent,
}

/// The claim that decides which incarnation may start an unbound submission.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldClaim {
    /// The incarnation that holds the claim.
    pub(crate) holder: Incarnation,
    /// Hash of the content that the submission was claimed with.
    pub(crate) content: ContentHash,
    /// State of the claim on this host.
    pub(crate) state: ClaimState,
}

/// Number of the last batch that was read from an incarnation, and the time at which it was read.
#[derive(Debug, Clone, Copy)]
struct Claimant {
    last_batch: u64,
    seen_at: UnixMs,
}

/// Effect of applying a claim to the table.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ClaimEffect {
    /// The claim is the first on its id, or replaced the holder that it named.
    Recorded,
    /// An earlier claim on the id is in force.
    AlreadyHeld,
    /// The id is so old that earlier claims on it may have been forgotten.
    Forgotten,
}

/// Every claim that this host remembers, its own and those of other hosts.
#[derive(Debug)]
pub(crate) struct ClaimTable {
    claims_max: usize,
    held: BTreeMap<Ulid, HeldClaim>,
    /// Number of the batch that contains the release, for claims whose release was sent.
    release_batches: BTreeMap<Ulid, u64>,
    bound: BTreeMap<Ulid, ContentHash>,
    claimants: BTreeMap<Incarnation, Claimant>,
    forgotten_before: UnixMs,
    evicted: u64,
}

impl ClaimTable {
    /// Creates an empty table that remembers at most `claims_max` claims.
    pub(crate) fn new(claims_max: usize) -> Self {
        ClaimTable {
            claims_max,
            held: BTreeMap::new(),
            release_batches: BTreeMap::new(),
            bound: BTreeMap::new(),
            claimants: BTreeMap::new(),
            forgotten_before: UnixMs::default(),
            evicted: 0,
        }
    }

    /// Returns the number of claims remembered, bound ids included.
    pub(crate) fn len(&self) -> usize {
        self.held.len() + self.bound.len()
    }

    /// Returns the number of incarnations whose batch numbers are remembered.
    pub(crate) fn claimant_count(&self) -> usize {
        self.claimants.len()
    }

    /// Returns the number of claims evicted because the table was full.
    pub(crate) fn evicted_count(&self) -> u64 {
        self.evicted
    }

    /// Returns the claim in force on an unbound id, or `None` if no claim on it is remembered.
    pub(crate) fn get(&self, id: Ulid) -> Option<HeldClaim> {
        self.held.get(&id).copied()
    }

    /// Sets the state of a claim. A release that was sent for the claim no longer applies to it.
    pub(crate) fn set_state(&mut self, id: Ulid, state: ClaimState) {
        if let Some(held) = self.held.get_mut(&id) {
            held.state = state;
            self.release_batches.remove(&id);
        }
    }

    /// Records that `batch` contains the release of a claim.
    pub(crate) fn set_release_sent(&mut self, id: Ulid, batch: u64) {
        self.set_state(id, ClaimState::ReleaseSent);
        self.release_batches.insert(id, batch);
    }

    /// Returns whether a claim of this host in `batch` can't be undone by a release that was sent
    /// before the claim was read.
    ///
    /// A release in an earlier batch either was applied already or is ignored when it arrives late.
    /// A release in a later batch is still to be read: if the job were started on this claim, a
    /// host that claims the submission after that release could start it too.
    pub(crate) fn is_after_release(&self, id: Ulid, batch: u64) -> bool {
        self.release_batches
            .get(&id)
            .is_none_or(|sent| batch > *sent)
    }

    /// Returns whether claims on ids of `time` may have been forgotten, so that such ids are
    /// rejected.
    pub(crate) fn is_forgotten(&self, time: UnixMs) -> bool {
        time < self.forgotten_before
    }

    /// Records the number of a claimant's batch; returns false if a later batch was read before it.
    ///
    /// A batch whose answer was lost can reach the log after a later batch of the same claimant. If
    /// it still counted, it could release a submission that the claimant has claimed again since,
    /// and two hosts could start the submission. All readers see both batches in the same order and
    /// ignore the same batch.
    pub(crate) fn admit_batch(&mut self, by: Incarnation, batch: u64, now: UnixMs) -> bool {
        let claimant = self.claimants.entry(by).or_insert(Claimant {
            last_batch: 0,
            seen_at: now,
        });
        if batch <= claimant.last_batch {
            return false;
        }
        *claimant = Claimant {
            last_batch: batch,
            seen_at: now,
        };
        true
    }

    /// Applies a claim of `by` and returns its effect. If the claim is recorded, its state on this
    /// host is `state`.
    pub(crate) fn apply_claim(
        &mut self,
        by: Incarnation,
        claim: &Claim,
        state: ClaimState,
    ) -> ClaimEffect {
        if self.is_forgotten(claim.submission.time()) {
            return ClaimEffect::Forgotten;
        }
        let id = claim.submission.ulid;
        let new_claim = HeldClaim {
            holder: by,
            content: claim.content,
            state,
        };
        match self.held.get_mut(&id) {
            Some(held) if claim.replaces == Some(held.holder) && claim.content == held.content => {
                *held = new_claim;
                self.release_batches.remove(&id);
                ClaimEffect::Recorded
            }
            Some(_) => ClaimEffect::AlreadyHeld,
            None => {
                self.held.insert(id, new_claim);
                self.evict_excess();
                ClaimEffect::Recorded
            }
        }
    }

    /// Applies a release; it has no effect unless `by` is the holder.
    pub(crate) fn apply_release(&mut self, by: Incarnation, submission: &SubmissionId) {
        if self
            .get(submission.ulid)
            .is_some_and(|held| held.holder == by)
        {
            self.held.remove(&submission.ulid);
            self.release_batches.remove(&submission.ulid);
        }
    }

    /// Returns the hash of the content that a bound id was started with, or `None` if it was not
    /// started.
    pub(crate) fn bound_content(&self, id: Ulid) -> Option<ContentHash> {
        self.bound.get(&id).copied()
    }

    /// Records that a bound id was started, and with which content, so that a resubmission of it is
    /// not started again.
    pub(crate) fn record_bound_start(&mut self, id: Ulid, content: ContentHash) {
        self.bound.insert(id, content);
        self.evict_excess();
    }

    /// Removes a bound id that was released before any task started.
    pub(crate) fn remove_bound(&mut self, id: Ulid) {
        self.bound.remove(&id);
    }

    /// Makes the table reject ids whose time is before `time`.
    pub(crate) fn forget_before(&mut self, time: UnixMs) {
        self.forgotten_before = self.forgotten_before.max(time);
    }

    /// Drops claims on ids before `cutoff`, and claimants not seen since `unseen_since`.
    pub(crate) fn expire(&mut self, cutoff: UnixMs, unseen_since: UnixMs) {
        remove_before(&mut self.held, cutoff);
        remove_before(&mut self.release_batches, cutoff);
        remove_before(&mut self.bound, cutoff);
        self.claimants
            .retain(|_, claimant| claimant.seen_at >= unseen_since);
    }

    /// Evicts the oldest ids while the table is over its limit.
    ///
    /// An evicted claim would make its id look unclaimed, and a resubmission would be started a
    /// second time. So every id at least as old as an evicted one is rejected from then on.
    fn evict_excess(&mut self) {
        while self.len() > self.claims_max {
            let oldest = match (oldest_time(&self.held), oldest_time(&self.bound)) {
                (Some(held), Some(bound)) if bound < held => self.bound.pop_first().map(|e| e.0),
                (None, Some(_)) => self.bound.pop_first().map(|e| e.0),
                _ => self.held.pop_first().map(|e| e.0),
            };
            let Some(oldest) = oldest else { return };
            self.evicted += 1;
            self.release_batches.remove(&oldest);
            self.forget_before(UnixMs(oldest.timestamp_ms() + 1));
        }
    }
}

/// Returns the time of the oldest id; `None` if there are no entries.
fn oldest_time<T>(entries: &BTreeMap<Ulid, T>) -> Option<UnixMs> {
    entries
        .first_key_value()
        .map(|(id, _)| UnixMs(id.timestamp_ms()))
}

/// Removes the entries whose ids are older than `cutoff`.
fn remove_before<T>(entries: &mut BTreeMap<Ulid, T>, cutoff: UnixMs) {
    while oldest_time(entries).is_some_and(|time| time < cutoff) {
        entries.pop_first();
    }
}
