//! Levels of admission as an entry host applies them to requests that arrive.
//!
//! A request is refused only if every pool that the host can reach has reported, within the last
//! second, that it admits less than everything of the class. It is then let through with the largest of
//! these shares as its chance, and at least one request in 50 is. Everything else is submitted: a
//! pool without a fresh report, one without a level for the class, or one whose report shows most of
//! its room as free, whatever else it says.

use std::collections::BTreeMap;

use onyxshed_core::{Millis, Mono, Share};

use crate::admission_levels::LET_THROUGH_MIN;
use crate::evacuation::Evacuations;
use crate::id::ClassId;
use crate::job::NotRunReason;
use crate::overload::{ClassAdmission, OverloadState};
use crate::pool_selector::PoolLoad;
use crate::shard_layout::PoolId;

/// Age at which a report lapses: the longest interval between two heartbeats of an idle link.
const LAPSE_AFTER: Millis = Millis(1_000);

/// Shortest and longest time after which a refused caller is told to return; as for refusals by
/// owners.
const RETRY_AFTER: (Millis, Millis) = (Millis(100), Millis(5_000));

/// What to do with an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryDecision {
    /// Submit the job to a pool.
    Submit,
    /// Refuse the request, which was submitted to no pool.
    Refuse {
        /// Time after which the caller may return.
        retry_after: Millis,
        /// Why the request is refused.
        reason: NotRunReason,
        /// Share of the class's requests that is let through.
        admitted: Share,
    },
}

/// The last report of a pool.
#[derive(Debug)]
struct Report {
    received_at: Mono,
    version: u64,
    overload: OverloadState,
    is_closed: bool,
    has_most_room_free: bool,
    admissions: Vec<ClassAdmission>,
}

impl Report {
    fn new(now: Mono, load: &PoolLoad) -> Self {
        Report {
            received_at: now,
            version: load.version,
            overload: load.overload,
            is_closed: load.is_closed,
            has_most_room_free: load.free_cpu_millis * 2 > load.capacity_cpu_millis,
            admissions: load.admissions.clone(),
        }
    }

    fn is_fresh(&self, now: Mono) -> bool {
        now.since(self.received_at) < LAPSE_AFTER.into()
    }

    fn admission(&self, class: &ClassId) -> Option<&ClassAdmission> {
        self.admissions
            .iter()
            .find(|admission| admission.class == *class)
    }

    /// Returns the share of a class that the pool admits. A saturated owner gets half of each class.
    fn admitted(&self, now: Mono, class: &ClassId) -> Share {
        if !self.is_fresh(now) || self.has_most_room_free {
            return Share::ALL;
        }
        let admission = self.admission(class);
        let admitted = admission.map_or(Share::ALL, |admission| admission.admitted);
        match self.overload {
            OverloadState::Saturated => Share::from_millis(u64::from(admitted.millis() / 2)),
            OverloadState::Normal | OverloadState::Overloaded => admitted,
        }
    }

    /// Returns whether a class is the one of which the pool admits least.
    fn is_least_admitted(&self, class: &ClassId) -> bool {
        let least = self.admissions.iter().map(|other| other.admitted).min();
        self.admission(class)
            .is_some_and(|admission| Some(admission.admitted) == least)
    }
}

/// The last report of each pool that an entry host can reach.
#[derive(Debug, Default)]
pub struct LevelTable {
    reports: BTreeMap<PoolId, Report>,
    /// The pool that this host owns.
    own: Option<PoolId>,
}

impl LevelTable {
    /// Sets the pool that this host owns, if any.
    pub fn set_own_pool(&mut self, pool: Option<PoolId>) {
        self.own = pool;
    }

    /// Records the report of a pool. A report with a lower version than the last one is ignored unless the
    /// last one has lapsed: it was sent earlier and arrived later.
    pub fn update(&mut self, now: Mono, pool: &PoolId, load: &PoolLoad) {
        let last = self.reports.get(pool);
        let is_outdated =
            last.is_some_and(|last| last.is_fresh(now) && load.version < last.version);
        if !is_outdated {
            self.reports.insert(pool.clone(), Report::new(now, load));
        }
    }

    /// Removes the report of a pool whose owner has changed or can't be reached. The versions of its next
    /// owner start anew.
    pub fn remove_pool(&mut self, pool: &PoolId) {
        self.reports.remove(pool);
    }

    /// Decides whether an arriving request of a class is submitted. `draw` is a random number from 0 up
    /// to 1 (exclusive).
    ///
    /// On the host of a saturated owner, requests of the class of which the pool admits least are
    /// refused first.
    pub fn decide(
        &self,
        now: Mono,
        class: &ClassId,
        evacuations: &Evacuations,
        draw: f64,
    ) -> EntryDecision {
        match self.best(now, class, evacuations) {
            None | Some((Share::ALL, _)) => EntryDecision::Submit,
            Some((share, report)) => match self.own_saturated_report() {
                Some(own) if own.is_least_admitted(class) => {
                    decide_by(Share::NONE, own, class, draw)
                }
                _ => decide_by(share, report, class, draw),
            },
        }
    }

    /// Returns the share of a class's requests that entry hosts let through that reach the same pools as
    /// this one.
    pub fn let_through(&self, now: Mono, class: &ClassId, evacuations: &Evacuations) -> Share {
        let best = self.best(now, class, evacuations);
        best.map_or(Share::ALL, |(share, _)| share.max(LET_THROUGH_MIN))
    }

    /// Returns the report of the pool that admits most of a class, with its share.
    fn best(
        &self,
        now: Mono,
        class: &ClassId,
        evacuations: &Evacuations,
    ) -> Option<(Share, &Report)> {
        let reachable = self
            .reports
            .iter()
            .filter(|(pool, report)| !report.is_closed && !evacuations.contains(&pool.zone));
        let shares = reachable.map(|(_, report)| (report.admitted(now, class), report));
        shares.max_by_key(|(share, _)| *share)
    }

    /// Returns the report of the pool that this host owns if it is saturated.
    fn own_saturated_report(&self) -> Option<&Report> {
        let own = self.reports.get(self.own.as_ref()?)?;
        (own.overload == OverloadState::Saturated).then_some(own)
    }
}

/// Decides by the share that is let through, and by the report that the share comes from.
fn decide_by(admitted: Share, report: &Report, class: &ClassId, draw: f64) -> EntryDecision {
    let chance_millis = admitted.max(LET_THROUGH_MIN).millis();
    if draw * f64::from(Share::ALL.millis()) < f64::from(chance_millis) {
        return EntryDecision::Submit;
    }
    let wait = report
        .admission(class)
        .map_or(Millis(0), |admission| admission.wait);
    EntryDecision::Refuse {
        retry_after: wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1),
        reason: match report.overload {
            OverloadState::Saturated => NotRunReason::HostOverloaded,
            OverloadState::Normal | OverloadState::Overloaded => NotRunReason::ClassShare,
        },
        admitted,
    }
}
