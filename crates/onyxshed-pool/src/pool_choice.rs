//! Choice of the pool in which a job ends first, by an entry host that cannot see what other hosts
//! submit.
//!
//! The home pool is preferred by a margin, since running a job elsewhere costs traffic between zones
//! and reports are late. Another pool is only a choice while its last report is fresh and admits the
//! job's class, and while this host has [credit](crate::room_credit) there. A pool to which the host has
//! just sent jobs keeps the choice with three quarters of it, so that work does not move back and forth.
//!
//! A job that a pool refuses for want of room is passed on once, to the pool that can still end it on
//! target. If no fresh report shows one, the refusal is final at once.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use onyxshed_core::{Millis, Mono};

use crate::end_forecast::{JobNeeds, admits_all_of, queue_wait, room_within, time_to_end};
use crate::evacuation::Evacuations;
use crate::job::{JobEnd, JobRequest, NotRunReason};
use crate::pool_selector::{PoolLoad, margin};
use crate::room_credit::{ROUND, RoomCredit};
use crate::shard_layout::PoolId;

/// Age from which a report shows no free room: longer than the pause of an idle link.
const FRESH_MAX: Millis = Millis(1_000);

/// How long a pool that was chosen over the home pool keeps the choice with a smaller margin.
const KEEP_CHOICE: Millis = Millis(1_000);

/// Time that a job and its answer spend on the way to another zone and back.
const TRANSIT: Millis = Millis(2);

/// Part of the time between a job's end in the home pool and its target that it must gain elsewhere.
const GAIN_DIVISOR: u64 = 2;

/// Wait at a pool from which its reported room counts as overrun: twice the advantage that moves a job to
/// another zone, which pools at their usual load exceed by chance.
const OVERRUN_WAIT: Millis = Millis(40);

/// What an entry host does after a pool has ended a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AfterEnd {
    /// The end is the job's outcome.
    Answer,
    /// The pool can't run any job now; the next pool in the order is tried.
    TryNext,
    /// The pool has no room for the job, and this one can still end it on target.
    PassOn(PoolId),
}

/// How a pool's end of a job bears on other pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndKind {
    /// The end holds wherever the job would run.
    Outcome,
    /// The pool can't run any job now.
    Unavailable,
    /// The pool has no room for the job.
    NoRoom,
}

impl EndKind {
    fn of(end: &JobEnd) -> Self {
        let JobEnd::NotRun(reason, _) = end else {
            return EndKind::Outcome;
        };
        match reason {
            NotRunReason::NoTime
            | NotRunReason::ClassShare
            | NotRunReason::HostOverloaded
            | NotRunReason::MemoryFull => EndKind::NoRoom,
            NotRunReason::CallerShare => EndKind::Outcome,
            NotRunReason::NoExecutor
            | NotRunReason::NotOwner
            | NotRunReason::OldSession
            | NotRunReason::ZoneEvacuated => EndKind::Unavailable,
        }
    }
}

/// How soon a pool is tried, most preferred first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// The home pool, or a pool whose room this host may use.
    Choice,
    /// A pool that is only tried if no choice can run the job.
    Fallback,
    /// A pool that reports no capacity.
    Empty,
}

/// The last report of a pool with what this host has done since.
#[derive(Debug)]
struct PoolView {
    /// The report, adjusted for the jobs that this host has submitted since.
    load: PoolLoad,
    received_at: Mono,
    credit: RoomCredit,
    /// Whether this host has submitted jobs since the report.
    has_dispatched: bool,
    /// When the pool was last chosen over the home pool.
    chosen_at: Option<Mono>,
}

impl PoolView {
    fn is_fresh(&self, now: Mono) -> bool {
        now.since(self.received_at) <= FRESH_MAX.into()
    }

    /// Returns whether a fresh report shows that the pool admits the job's class.
    fn admits(&self, now: Mono, needs: &JobNeeds) -> bool {
        self.is_fresh(now)
            && !self.load.is_closed
            && self.load.capacity_cpu_millis > 0
            && admits_all_of(&self.load, &needs.class)
    }

    /// Returns the advantage that a pool needs to be preferred to the home pool. A job
    /// that ends `headroom` before its target at home gains little by ending sooner.
    fn margin(&self, now: Mono, home: &PoolId, pool: &PoolId, headroom: Millis) -> Millis {
        if pool == home {
            return Millis(0);
        }
        let margin = margin(home, pool).max(Millis(headroom.0 / GAIN_DIVISOR));
        let is_kept = |at| now.since(at) <= KEEP_CHOICE.into();
        match self.chosen_at.is_some_and(is_kept) {
            true => Millis(margin.0 * 3 / 4),
            false => margin,
        }
    }

    /// Returns when a job would end in the pool; a stale report shows no free room.
    fn time_to_end(&self, now: Mono, needs: &JobNeeds) -> Millis {
        if self.is_fresh(now) {
            return time_to_end(&self.load, needs);
        }
        let full = PoolLoad {
            free_cpu_millis: 0,
            ..self.load.clone()
        };
        time_to_end(&full, needs)
    }
}

/// Latest reports of all pools, and this host's credit on their room.
#[derive(Debug, Default)]
pub struct PoolChoices {
    views: BTreeMap<PoolId, PoolView>,
}

impl PoolChoices {
    /// Applies a report. Returns `false` if the same owner has sent a later one a moment before; an owner
    /// that has acquired the pool again numbers its reports anew.
    pub fn record_report(&mut self, now: Mono, pool: &PoolId, load: PoolLoad) -> bool {
        let view = self.views.entry(pool.clone()).or_insert_with(|| PoolView {
            load: PoolLoad::default(),
            received_at: now,
            credit: RoomCredit::new(now),
            has_dispatched: false,
            chosen_at: None,
        });
        let is_fresh = now.since(view.received_at) < FRESH_MAX.into();
        if is_fresh && load.version < view.load.version {
            return false;
        }
        if view.has_dispatched && queue_wait(&load) > OVERRUN_WAIT {
            view.credit.record_overrun();
        }
        view.credit.refill(now, room_within(&load, ROUND));
        view.load = load;
        view.received_at = now;
        view.has_dispatched = false;
        true
    }

    /// Removes a pool whose owner is unreachable or has changed. Credit on it starts anew.
    pub fn remove_pool(&mut self, pool: &PoolId) {
        self.views.remove(pool);
    }

    /// Records that this host submits a job to a pool.
    pub fn record_dispatch(&mut self, pool: &PoolId, needs: &JobNeeds) {
        let Some(view) = self.views.get_mut(pool) else {
            return;
        };
        view.load
            .record_dispatch(needs.demand, needs.tasks, needs.estimate);
        view.credit.spend(needs.cpu_millis_for(ROUND));
        view.has_dispatched = true;
    }

    /// Returns what follows the end of a job in a pool. A job that was passed on before, or that no pool
    /// can end on target, keeps its refusal.
    pub fn after_end(
        &mut self,
        now: Mono,
        home: &PoolId,
        (pool, end): (&PoolId, &JobEnd),
        job: &JobRequest,
        evacuations: &Evacuations,
    ) -> AfterEnd {
        if matches!(end, JobEnd::Completed | JobEnd::Failed)
            && let Some(view) = self.views.get_mut(pool)
        {
            view.credit.record_run();
        }
        match EndKind::of(end) {
            EndKind::Outcome => AfterEnd::Answer,
            EndKind::Unavailable => AfterEnd::TryNext,
            EndKind::NoRoom => {
                if pool != home {
                    self.record_refusal(pool);
                }
                let is_first = job.transfers == 0;
                let needs = JobNeeds::of(job);
                let next = is_first
                    .then(|| self.pass_on_to(now, home, pool, &needs, evacuations))
                    .flatten();
                next.map_or(AfterEnd::Answer, AfterEnd::PassOn)
            }
        }
    }

    /// Records that a pool refused a job for want of room. No more room is expected there before its
    /// next report.
    fn record_refusal(&mut self, pool: &PoolId) {
        if let Some(view) = self.views.get_mut(pool) {
            view.load.free_cpu_millis = 0;
            view.credit.record_refusal();
        }
    }

    /// Returns the pools in the order in which a job should be submitted to them: the one where it ends
    /// first, then the others. Closed pools and pools in evacuated zones are left out.
    pub fn rank(
        &mut self,
        now: Mono,
        home: &PoolId,
        needs: &JobNeeds,
        evacuations: &Evacuations,
    ) -> Vec<PoolId> {
        let headroom = self.headroom(now, home, needs);
        let mut ranked = Vec::with_capacity(self.views.len());
        let mut kept_back: Vec<(u64, PoolId)> = Vec::new();
        for (pool, view) in &self.views {
            if view.load.is_closed || evacuations.contains(&pool.zone) {
                continue;
            }
            let is_home = pool == home;
            let is_usable = is_home || view.admits(now, needs);
            let tier = match view.load.capacity_cpu_millis {
                0 => Tier::Empty,
                _ if is_home || (is_usable && view.credit.is_open()) => Tier::Choice,
                _ => Tier::Fallback,
            };
            let margin = view.margin(now, home, pool, headroom);
            let end_ms = view.time_to_end(now, needs).0.saturating_add(margin.0);
            if is_usable && tier == Tier::Fallback {
                kept_back.push((end_ms, pool.clone()));
            }
            let free = Reverse(view.load.free_cpu_millis);
            ranked.push((tier, end_ms, margin, free, pool.clone()));
        }
        ranked.sort();
        if let Some((_, first_end_ms, .., first)) = ranked.first() {
            let sooner = kept_back.iter().filter(|(end_ms, _)| end_ms < first_end_ms);
            for (_, pool) in sooner {
                if let Some(view) = self.views.get_mut(pool) {
                    view.credit.record_kept_back();
                }
            }
            if first != home
                && let Some(view) = self.views.get_mut(first)
            {
                view.chosen_at = Some(now);
            }
        }
        ranked.into_iter().map(|(.., pool)| pool).collect()
    }

    /// Returns the time between a job's end in the home pool and its target; 0 if it can't end there on
    /// target.
    fn headroom(&self, now: Mono, home: &PoolId, needs: &JobNeeds) -> Millis {
        let view = self.views.get(home);
        let view = view.filter(|view| view.load.capacity_cpu_millis > 0);
        let end = view.map(|view| view.time_to_end(now, needs));
        end.map_or(Millis(0), |end| Millis(needs.slack.0.saturating_sub(end.0)))
    }

    /// Returns the pool that can still end a job on target after `refused_by` refused it for want of
    /// room, if a fresh report shows one.
    fn pass_on_to(
        &mut self,
        now: Mono,
        home: &PoolId,
        refused_by: &PoolId,
        needs: &JobNeeds,
        evacuations: &Evacuations,
    ) -> Option<PoolId> {
        let mut best: Option<(Millis, PoolId)> = None;
        for (pool, view) in &mut self.views {
            let is_left_out = pool == refused_by || evacuations.contains(&pool.zone);
            if is_left_out || !view.admits(now, needs) {
                continue;
            }
            let end = Millis(view.time_to_end(now, needs).0.saturating_add(TRANSIT.0));
            if end > needs.slack {
                continue;
            }
            if pool != home && !view.credit.is_open() {
                view.credit.record_kept_back();
            } else if best.as_ref().is_none_or(|(first, _)| end < *first) {
                best = Some((end, pool.clone()));
            }
        }
        best.map(|(_, pool)| pool)
    }

    /// Returns this host's share of a pool's free room, in thousandths; `None` without a report.
    pub fn share_millis(&self, pool: &PoolId) -> Option<u64> {
        self.views.get(pool).map(|view| view.credit.share_millis())
    }
}
