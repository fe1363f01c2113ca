//! Shares of callers in the room of a class.
//!
//! While the class offers more than its room, the room is divided max-min fairly: all callers may use
//! equal parts, and what a caller leaves is lent to the others. A lender that comes back is admitted at
//! once, since nothing of its part has been admitted; the borrowers' parts shrink as its work enters the
//! window of one second. What is still unused of the room, because callers' jobs come irregularly, is lent
//! in equal parts to the callers above the level.
//!
//! A caller is within its share below twice the median of the callers' work, whatever the room: jobs arrive
//! at random, so callers of equal rates differ within a second.
//!
//! A sole caller is never limited: it takes nothing from others, and what can't be served in time is
//! refused for that reason.
//!
//! The table of callers is bounded. The least active ones are forgotten and count as within their
//! shares; their work is deducted from the room that the remembered ones divide.

use std::collections::BTreeMap;

use onyxshed_core::{CallerId, Micros, Millis, Mono, Share};

use crate::fair_level::fair_level;
use crate::recent_work::RecentWork;

/// Maximum number of remembered callers. A caller above its share is among the most active ones.
const CALLERS_MAX: usize = 512;

/// Minimum interval between two divisions of the room. Parts change by a hundredth within it.
const DIVISION_INTERVAL: Millis = Millis(10);

/// Time without a job after which a caller is forgotten. A caller that was refused returns within
/// 10 s.
const FORGET_AFTER: Millis = Millis(12_000);

/// Interval in which several refusals of a caller count as one. A caller that sends many jobs at the same
/// time must not seem to have returned in vain many times.
const REFUSAL_INTERVAL: Millis = Millis(100);

/// Whether a class has room for what it offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// There is room for all.
    Enough,
    /// The class may use this much work per second, and more is offered.
    Short(u64),
}

/// Whether a caller's job is within the caller's share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerDecision {
    /// The job is within the share, or the room is not short.
    Admit,
    /// The caller has used its share.
    Refuse,
}

/// How often a caller was refused since a job of it was last admitted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Refusals {
    /// Number of refusals, counted at most once every 100 ms.
    pub count: u32,
    /// When the first of them happened.
    pub since: Mono,
}

/// Factor on the median of the callers' work up to which a caller is within its share: jobs arrive at
/// random, so callers of equal rates differ by that much within a second.
const USUAL_EXCESS: u64 = 2;

/// Work of a caller within the last second.
#[derive(Debug, Default)]
struct CallerWork {
    offered: RecentWork,
    admitted: RecentWork,
    /// Offered work at the last division of the room, and what was offered since.
    active: u64,
    last_seen: Mono,
    refusals: Refusals,
    last_refused: Mono,
}

/// Work offered and admitted by caller, and the level up to which each caller is within its share.
#[derive(Debug, Default)]
pub struct CallerShares {
    callers: BTreeMap<CallerId, CallerWork>,
    /// Offered work of all callers, remembered or not.
    offered: RecentWork,
    /// Admitted work of all callers, remembered or not.
    admitted: RecentWork,
    /// When the room was divided last; `None` if it is not short.
    divided_at: Option<Mono>,
    /// Work per second up to which a caller is within its share; `None` if every caller is.
    level: Option<u64>,
}

impl CallerShares {
    /// Records the work of an arriving job and decides whether its caller is within its share.
    ///
    /// A caller of which nothing was admitted within the last second is within it, whatever the size of
    /// its job. [`CallerId::UNKNOWN`] always is.
    pub fn decide(&mut self, now: Mono, caller: CallerId, work: u64, room: Room) -> CallerDecision {
        self.offered.record(now, work);
        self.forget_least_active(caller);
        let entry = self.callers.entry(caller).or_default();
        entry.offered.record(now, work);
        entry.active = entry.active.saturating_add(work);
        entry.last_seen = entry.last_seen.max(now);
        let admitted = entry.admitted.total(now);
        self.divide(now, room);
        match self.level {
            // Half of the job counts, so that parts of jobs are neither lost nor won in the mean.
            Some(level) if admitted > 0 && admitted.saturating_add(work / 2) > level => {
                match caller {
                    CallerId::UNKNOWN => CallerDecision::Admit,
                    _ => CallerDecision::Refuse,
                }
            }
            _ => CallerDecision::Admit,
        }
    }

    /// Records that the job of a caller was admitted.
    pub fn record_admitted(&mut self, now: Mono, caller: CallerId, work: u64) {
        self.admitted.record(now, work);
        if let Some(entry) = self.callers.get_mut(&caller) {
            entry.admitted.record(now, work);
            entry.refusals = Refusals::default();
        }
    }

    /// Records that a job of a caller was refused although the caller was within its share, and returns
    /// the caller's refusals.
    pub fn record_refused(&mut self, now: Mono, caller: CallerId) -> Refusals {
        let first = Refusals {
            count: 1,
            since: now,
        };
        let Some(entry) = self.callers.get_mut(&caller) else {
            return first;
        };
        if entry.refusals.count == 0 {
            entry.refusals = first;
            entry.last_refused = now;
        } else if now.since(entry.last_refused) >= REFUSAL_INTERVAL.into() {
            entry.refusals.count = entry.refusals.count.saturating_add(1);
            entry.last_refused = now;
        }
        entry.refusals
    }

    /// Returns the callers that offer more than their share, the most active first, at most `max` of
    /// them, with the share of their jobs that is admitted. Empty if the last division found room for
    /// all.
    pub fn limits(&self, now: Mono, max: usize) -> Vec<(CallerId, Share)> {
        let Some(level) = self.level else {
            return Vec::new();
        };
        let offers = self
            .callers
            .iter()
            .filter(|(caller, _)| **caller != CallerId::UNKNOWN)
            .map(|(caller, entry)| (entry.offered.total(now), *caller));
        let mut above: Vec<(u64, CallerId)> = offers.filter(|(work, _)| *work > level).collect();
        above.sort_unstable_by(|one, other| other.cmp(one));
        above.truncate(max);
        let limit = |(work, caller)| (caller, Share::of(level, work));
        above.into_iter().map(limit).collect()
    }

    /// Returns the share of a caller's jobs that is admitted, or `None` if nothing of the caller was
    /// offered within the last second.
    pub fn admitted_share(&self, now: Mono, caller: CallerId) -> Option<Share> {
        let offered = self.callers.get(&caller)?.offered.total(now);
        let admitted = self.level.map_or(offered, |level| level.min(offered));
        (offered > 0).then(|| Share::of(admitted, offered))
    }

    /// Returns the work that all callers offered within the last second.
    pub fn offered(&self, now: Mono) -> u64 {
        self.offered.total(now)
    }

    /// Returns the number of remembered callers.
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    /// Marks the room as sufficient: every caller is within its share until the room is short again.
    pub fn lift(&mut self) {
        self.level = None;
        self.divided_at = None;
    }

    /// Makes room in the table for a caller that is not in it.
    fn forget_least_active(&mut self, caller: CallerId) {
        if self.callers.len() < CALLERS_MAX || self.callers.contains_key(&caller) {
            return;
        }
        let by_activity = |(_, entry): &(&CallerId, &CallerWork)| (entry.active, entry.last_seen);
        let least_active = self.callers.iter().min_by_key(by_activity);
        if let Some(least_active) = least_active.map(|(caller, _)| *caller) {
            self.callers.remove(&least_active);
        }
    }

    /// Divides the room among the callers, unless the same room was divided a moment ago.
    fn divide(&mut self, now: Mono, room: Room) {
        let Room::Short(room_per_s) = room else {
            return self.lift();
        };
        // With a clock that stands still, the level of the first division would hold for good.
        let is_recent = |at: Mono| at < now && now.since(at) < DIVISION_INTERVAL.into();
        if self.divided_at.is_some_and(is_recent) {
            return;
        }
        self.divided_at = Some(now);
        let forget_after = Micros::from(FORGET_AFTER);
        self.callers
            .retain(|_, entry| now.since(entry.last_seen) < forget_after);
        let mut demands = Vec::with_capacity(self.callers.len());
        for entry in self.callers.values_mut() {
            entry.active = entry.offered.total(now);
            if entry.active > 0 {
                demands.push(entry.active);
            }
        }
        if demands.len() < 2 {
            self.level = None;
            return;
        }
        let usual = median(&mut demands).saturating_mul(USUAL_EXCESS);
        let remembered = demands.iter().copied().fold(0, u64::saturating_add);
        let offered = self.offered.total(now).max(remembered);
        let proportional = part(room_per_s, remembered, offered);
        let left = room_per_s.saturating_sub(offered - remembered);
        let level = fair_level(&mut demands, left.max(proportional));
        self.level = level.map(|level| {
            let above = demands.iter().filter(|demand| **demand > level).count() as u64;
            let unused = room_per_s.saturating_sub(self.admitted.total(now));
            level.saturating_add(unused / above.max(1)).max(usual)
        });
    }
}

/// Returns the median of the demands, the lower one of two; 0 if there are none.
fn median(demands: &mut [u64]) -> u64 {
    demands.sort_unstable();
    let middle = demands.len().saturating_sub(1) / 2;
    demands.get(middle).copied().unwrap_or_default()
}

/// Returns the part of `room` that `share` is of `whole`.
fn part(room: u64, share: u64, whole: u64) -> u64 {
    let product = u128::from(room) * u128::from(share);
    u64::try_from(product / u128::from(whole.max(1))).unwrap_or(u64::MAX)
}
