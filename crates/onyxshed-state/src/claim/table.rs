//! The claims that hold: a fold of the `claims` stream.
//!
//! Entries are ordered by ULID and so by time, which makes forgetting cost only what is forgotten.
//! What a reader does with a record depends on the records before it alone, so all readers agree
//! about every id that they still accept.

use std::collections::BTreeMap;

use onyxshed_core::{Incarnation, SubmissionId, UnixMs};
use onyxshed_wire::ContentHash;
use onyxshed_wire::record::Claim;
use ulid::Ulid;

/// What this host has done with a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Another host holds it.
    Foreign,
    /// Ours, and its job was told to start.
    Started,
    /// Ours and not started; a release waits for a batch.
    ReleaseQueued,
    /// Ours until a release that was sent is read back, or a later claim of ours is.
    ReleaseSent,
}

/// A claim that holds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
    /// Its holder.
    pub(crate) by: Incarnation,
    /// What was claimed.
    pub(crate) content: ContentHash,
    /// What this host has done with it.
    pub(crate) standing: Standing,
}

#[derive(Debug, Clone, Copy)]
struct Claimant {
    last_batch: u64,
    seen_at: UnixMs,
}

/// What a claim found.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Found {
    /// It is the first, or replaced the holder it named.
    Taken,
    /// An earlier claim holds.
    Earlier,
    /// Its id is so old that earlier claims may have been forgotten.
    Forgotten,
}

/// Every claim that this host remembers.
#[derive(Debug)]
pub(crate) struct ClaimTable {
    claims_max: usize,
    held: BTreeMap<Ulid, Held>,
    /// The batch that carries the release, for claims whose release was sent.
    releasing: BTreeMap<Ulid, u64>,
    bound: BTreeMap<Ulid, ContentHash>,
    claimants: BTreeMap<Incarnation, Claimant>,
    forgotten_before: UnixMs,
    evicted: u64,
}

impl ClaimTable {
    /// Makes an empty table.
    pub(crate) fn new(claims_max: usize) -> Self {
        ClaimTable {
            claims_max,
            held: BTreeMap::new(),
            releasing: BTreeMap::new(),
            bound: BTreeMap::new(),
            claimants: BTreeMap::new(),
            forgotten_before: UnixMs::default(),
            evicted: 0,
        }
    }

    /// Gets the number of claims remembered, bound ones included.
    pub(crate) fn len(&self) -> usize {
        self.held.len() + self.bound.len()
    }

    /// Gets the number of incarnations remembered.
    pub(crate) fn claimants(&self) -> usize {
        self.claimants.len()
    }

    /// Gets the number of claims forgotten for want of room.
    pub(crate) fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Gets the claim on an unbound id.
    pub(crate) fn get(&self, id: Ulid) -> Option<Held> {
        self.held.get(&id).copied()
    }

    /// Notes what this host has done with its claim.
    pub(crate) fn set_standing(&mut self, id: Ulid, standing: Standing) {
        if let Some(held) = self.held.get_mut(&id) {
            held.standing = standing;
            self.releasing.remove(&id);
        }
    }

    /// Notes that `batch` carries the release of a claim.
    pub(crate) fn set_releasing(&mut self, id: Ulid, batch: u64) {
        self.set_standing(id, Standing::ReleaseSent);
        self.releasing.insert(id, batch);
    }

    /// Tells whether a claim of ours in `batch` can no longer be undone by a release sent before.
    ///
    /// A release in an earlier batch was folded before, or counts for nothing when it comes late.
    /// One in a later batch is still to be read: to start on this claim would let the host that
    /// claims after the release start too.
    pub(crate) fn is_firm(&self, id: Ulid, batch: u64) -> bool {
        self.releasing.get(&id).is_none_or(|sent| batch > *sent)
    }

    /// Tells whether claims on ids of that time may have been forgotten.
    pub(crate) fn is_forgotten(&self, time: UnixMs) -> bool {
        time < self.forgotten_before
    }

    /// Takes in the number of a claimant's batch; false if it came after a later one.
    ///
    /// A batch whose answer was lost can reach the log after its successor. Counted then, a release
    /// that its sender has since replaced by a new claim would let two hosts start the submission.
    /// All readers see the two in the same order and drop the same one.
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

    /// Folds in a claim.
    pub(crate) fn claim(&mut self, by: Incarnation, claim: &Claim, standing: Standing) -> Found {
        if self.is_forgotten(claim.submission.time()) {
            return Found::Forgotten;
        }
        let id = claim.submission.ulid;
        let fresh = Held {
            by,
            content: claim.content,
            standing,
        };
        match self.held.get_mut(&id) {
            Some(held) if claim.replaces == Some(held.by) && claim.content == held.content => {
                *held = fresh;
                self.releasing.remove(&id);
                Found::Taken
            }
            Some(_) => Found::Earlier,
            None => {
                self.held.insert(id, fresh);
                self.make_room();
                Found::Taken
            }
        }
    }

    /// Folds in a release; only the holder's counts.
    pub(crate) fn release(&mut self, by: Incarnation, submission: &SubmissionId) {
        if self.get(submission.ulid).is_some_and(|held| held.by == by) {
            self.held.remove(&submission.ulid);
            self.releasing.remove(&submission.ulid);
        }
    }

    /// Gets what a bound id was started with.
    pub(crate) fn bound(&self, id: Ulid) -> Option<ContentHash> {
        self.bound.get(&id).copied()
    }

    /// Notes that a bound id was started.
    pub(crate) fn start_bound(&mut self, id: Ulid, content: ContentHash) {
        self.bound.insert(id, content);
        self.make_room();
    }

    /// Notes that a bound id was given up unstarted.
    pub(crate) fn release_bound(&mut self, id: Ulid) {
        self.bound.remove(&id);
    }

    /// Refuses ids before `time` from now on.
    pub(crate) fn forget_before(&mut self, time: UnixMs) {
        self.forgotten_before = self.forgotten_before.max(time);
    }

    /// Drops claims on ids before `cutoff`, and claimants not seen since `unseen_since`.
    pub(crate) fn expire(&mut self, cutoff: UnixMs, unseen_since: UnixMs) {
        pop_before(&mut self.held, cutoff);
        pop_before(&mut self.releasing, cutoff);
        pop_before(&mut self.bound, cutoff);
        self.claimants
            .retain(|_, claimant| claimant.seen_at >= unseen_since);
    }

    /// Forgets the oldest ids when there are too many.
    ///
    /// A claim dropped in silence would look like a free id, and its resubmission would start
    /// twice. So every id as old as a forgotten one is refused from then on.
    fn make_room(&mut self) {
        while self.len() > self.claims_max {
            let oldest = match (first_time(&self.held), first_time(&self.bound)) {
                (Some(held), Some(bound)) if bound < held => self.bound.pop_first().map(|e| e.0),
                (None, Some(_)) => self.bound.pop_first().map(|e| e.0),
                _ => self.held.pop_first().map(|e| e.0),
            };
            let Some(oldest) = oldest else { return };
            self.evicted += 1;
            self.releasing.remove(&oldest);
            self.forget_before(UnixMs(oldest.timestamp_ms() + 1));
        }
    }
}

fn first_time<T>(entries: &BTreeMap<Ulid, T>) -> Option<UnixMs> {
    entries
        .first_key_value()
        .map(|(id, _)| UnixMs(id.timestamp_ms()))
}

fn pop_before<T>(entries: &mut BTreeMap<Ulid, T>, cutoff: UnixMs) {
    while first_time(entries).is_some_and(|time| time < cutoff) {
        entries.pop_first();
    }
}
