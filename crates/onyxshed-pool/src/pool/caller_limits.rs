//! Shares of callers and planned returns, while the pool is overloaded.
//!
//! The room is divided max-min fairly among the classes that offer work, and the part of a class that
//! offers more than that among its callers. A caller above its part is refused unless executors have
//! places for its job now. Every refusal for want of room gets its time to return from the
//! [`ReturnPlan`].
//!
//! A new owner begins with empty tables: every caller is within its share then.

use std::collections::BTreeMap;

use onyxshed_admission::{
    CallerDecision, CallerShares, LoadNow, Refusals, ReturnPlan, Room, fair_level,
};
use onyxshed_core::{CallerId, Micros, Millis, Mono, Share};

use super::Pool;
use crate::id::{ClassId, JobId, Session};
use crate::job::{Job, JobEnd, JobRequest, NotRunReason};
use crate::message::Decision;
use crate::overload::{CallerLimit, OverloadMode, OverloadState};

/// Precision with which callers are told when to return: `Retry-After` is in whole seconds.
const RETURN_UNIT: Millis = Millis(1_000);

/// Maximum number of limited callers that are tracked, reported and logged.
const LIMITED_MAX: usize = 32;

/// Time without a job above the share after which a caller is no longer reported as limited.
const REPORTED_FOR: Millis = Millis(1_000);

/// Time without a job above the share after which a caller is within it again. Longer than the wait that
/// refused callers are usually told, so that the log does not repeat a lasting excess.
const WITHIN_AFTER: Millis = Millis(3_000);

/// Time without work after which a class is forgotten.
const FORGET_CLASS_AFTER: Millis = Millis(10_000);

/// Shares of the callers of a class.
#[derive(Debug, Default)]
struct ClassCallers {
    shares: CallerShares,
    last_seen: Mono,
}

/// Jobs of a caller that exceeded its share of a class.
#[derive(Debug)]
struct Excess {
    last_at: Mono,
    jobs: u64,
}

/// Work by class and caller, the planned returns and the limited callers.
#[derive(Debug)]
pub(super) struct CallerLimits {
    classes: BTreeMap<ClassId, ClassCallers>,
    plan: ReturnPlan,
    excesses: BTreeMap<(CallerId, ClassId), Excess>,
    reported: Vec<CallerLimit>,
    /// Work that the usable executors do in a second, as of the last tick; 0 if it is not known.
    room_per_s: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            classes: BTreeMap::new(),
            plan: ReturnPlan::new(RETURN_UNIT),
            excesses: BTreeMap::new(),
            reported: Vec::new(),
            room_per_s: 0,
        }
    }
}

impl CallerLimits {
    /// Returns the work offered within the last second.
    fn offered(&self, now: Mono) -> u64 {
        let classes = self.classes.values();
        classes.map(|class| class.shares.offered(now)).sum()
    }

    /// Returns the room of a class that offers `work` more, as part of the room of the pool.
    fn class_room(&self, now: Mono, class: &ClassId, work: u64, room_per_s: u64) -> Room {
        let offered = |callers: &ClassCallers| callers.shares.offered(now);
        let own = self.classes.get(class).map_or(0, offered) + work;
        let others = self.classes.iter().filter(|(other, _)| *other != class);
        let mut demands: Vec<u64> = others.map(|(_, callers)| offered(callers)).collect();
        demands.retain(|demand| *demand > 0);
        demands.push(own);
        match fair_level(&mut demands, room_per_s) {
            Some(level) if own > level => Room::Short(level),
            _ => Room::Enough,
        }
    }

    fn decide(&mut self, now: Mono, request: &JobRequest, room: Room) -> CallerDecision {
        let callers = self.classes.entry(request.class.clone()).or_default();
        callers.last_seen = now;
        let work = request.work();
        callers.shares.decide(now, request.caller, work, room)
    }

    fn record_admitted(&mut self, now: Mono, request: &JobRequest) {
        if let Some(callers) = self.classes.get_mut(&request.class) {
            let work = request.work();
            callers.shares.record_admitted(now, request.caller, work);
        }
    }

    /// Records a job above its caller's share. Returns whether the caller is limited from now on and
    /// was not before.
    fn record_excess(&mut self, now: Mono, request: &JobRequest) -> bool {
        let key = (request.caller, request.class.clone());
        if let Some(excess) = self.excesses.get_mut(&key) {
            excess.last_at = now;
            excess.jobs += 1;
            return false;
        }
        let is_tracked = self.excesses.len() < LIMITED_MAX;
        if is_tracked {
            let first = Excess {
                last_at: now,
                jobs: 1,
            };
            self.excesses.insert(key, first);
        }
        is_tracked
    }

    /// Removes and returns the callers that have been within their shares for a while.
    fn take_ended_excesses(&mut self, now: Mono) -> Vec<(CallerId, ClassId, u64)> {
        let mut ended = Vec::new();
        self.excesses.retain(|(caller, class), excess| {
            let is_over = now.since(excess.last_at) >= WITHIN_AFTER.into();
            if is_over {
                ended.push((*caller, class.clone(), excess.jobs));
            }
            !is_over
        });
        ended
    }

    /// Returns the limits of the callers that exceeded their shares just now. A limit covers all
    /// classes, so it is the share of the class that admits most of the caller.
    fn limits(&self, now: Mono) -> Vec<CallerLimit> {
        let mut shares: BTreeMap<CallerId, Share> = BTreeMap::new();
        for ((caller, _), excess) in &self.excesses {
            if now.since(excess.last_at) < REPORTED_FOR.into() {
                let classes = self.classes.values();
                let admitted =
                    classes.filter_map(|class| class.shares.admitted_share(now, *caller));
                shares.insert(*caller, admitted.max().unwrap_or_default());
            }
        }
        let limits = shares
            .into_iter()
            .map(|(caller, admitted)| CallerLimit { caller, admitted });
        limits.filter(|limit| limit.admitted < Share::ALL).collect()
    }
}

impl Pool {
    /// Refuses an arriving job of a caller above its share, and plans the return of a refused one.
    ///
    /// `rejection` is how the pool would end the job otherwise. A job that is known here is not new work.
    pub(super) fn apply_caller_share(
        &mut self,
        now: Mono,
        request: &JobRequest,
        rejection: Option<JobEnd>,
    ) -> Option<JobEnd> {
        let mode = self.options.overload;
        let is_new_work = match rejection {
            None => !self.jobs.contains_key(&request.job),
            Some(end) => is_want_of_room(end),
        };
        if mode == OverloadMode::Off || !is_new_work {
            return rejection;
        }
        let room = self.caller_room(now, request);
        let decision = self.caller_limits.decide(now, request, room);
        // After "not run", another pool could start the tasks while runs of an earlier copy execute.
        let is_refusable = rejection.is_none() && !self.has_runs_of(request.job);
        let is_excess = decision == CallerDecision::Refuse && is_refusable;
        let is_excess = is_excess && !self.has_places_for(now, request);
        if is_excess {
            self.record_caller_excess(now, request);
        }
        let end = match (is_excess, mode) {
            (true, OverloadMode::On) => Some(JobEnd::NotRun(NotRunReason::CallerShare, Millis(0))),
            _ => rejection,
        };
        match end {
            // Whether an overloaded pool admits the job is decided later.
            None if self.is_overloaded() => None,
            None => {
                self.record_caller_arrival(now, request, !is_excess);
                None
            }
            Some(end) => {
                self.record_caller_arrival(now, request, false);
                Some(self.planned_end(now, request, end))
            }
        }
    }

    /// Records in the plan and in the caller's share whether an arriving job was admitted.
    pub(super) fn record_caller_arrival(
        &mut self,
        now: Mono,
        request: &JobRequest,
        is_admitted: bool,
    ) {
        if self.options.overload == OverloadMode::Off {
            return;
        }
        let (caller, work) = (request.caller, request.work());
        let limits = &mut self.caller_limits;
        limits.plan.record_arrival(now, caller, work, is_admitted);
        if is_admitted {
            limits.record_admitted(now, request);
        }
    }

    /// Returns the end of a queued job that is given up, with its planned time to return.
    pub(super) fn with_planned_return(&mut self, now: Mono, id: JobId, end: JobEnd) -> JobEnd {
        if self.options.overload != OverloadMode::On || !is_want_of_room(end) {
            return end;
        }
        match self.jobs.get(&id).map(|job| job.request.clone()) {
            Some(request) => self.planned_end(now, &request, end),
            None => end,
        }
    }

    /// Brings the callers' shares and the plan up to date with the load, and logs callers that are
    /// within their shares again.
    pub(super) fn update_caller_limits(&mut self, now: Mono) {
        if self.options.overload == OverloadMode::Off {
            return;
        }
        self.caller_limits.room_per_s = u64::from(self.usable_capacity(now).cpu_millis) * 1_000;
        let load = self.load_now(now);
        let is_normal = self.detected_overload() == OverloadState::Normal;
        let limits = &mut self.caller_limits;
        limits.plan.record_load(now, load);
        if is_normal {
            for callers in limits.classes.values_mut() {
                callers.shares.lift();
            }
        }
        let forget_after = Micros::from(FORGET_CLASS_AFTER);
        limits
            .classes
            .retain(|_, callers| now.since(callers.last_seen) < forget_after);
        limits.reported = match self.options.overload {
            OverloadMode::On if !is_normal => limits.limits(now),
            _ => Vec::new(),
        };
        for (caller, class, exceeded) in limits.take_ended_excesses(now) {
            self.log(Decision::CallerWithinShare {
                caller,
                class,
                exceeded,
            });
        }
    }

    /// Returns the number of callers that are limited to their shares, as of the last tick.
    pub fn limited_caller_count(&self) -> u32 {
        u32::try_from(self.caller_limits.reported.len()).unwrap_or(u32::MAX)
    }

    /// Returns the limits of callers for the load report, as of the last tick.
    pub(super) fn limited_callers(&self) -> Vec<CallerLimit> {
        self.caller_limits.reported.clone()
    }

    /// Returns the end of a refused job with its planned time to return, if overload decisions take
    /// effect.
    fn planned_end(&mut self, now: Mono, request: &JobRequest, end: JobEnd) -> JobEnd {
        let JobEnd::NotRun(reason, _) = end else {
            return end;
        };
        if self.options.overload != OverloadMode::On {
            return end;
        }
        let load = self.load_now(now);
        let (caller, work) = (request.caller, request.work());
        let limits = &mut self.caller_limits;
        let callers = limits.classes.get_mut(&request.class);
        let refusals = match (reason, callers) {
            // A caller above its share does not gain by having been refused.
            (NotRunReason::CallerShare, _) | (_, None) => Refusals::default(),
            (_, Some(callers)) => callers.shares.record_refused(now, caller),
        };
        let wait = limits.plan.plan(now, caller, work, refusals, load);
        JobEnd::NotRun(reason, wait)
    }

    fn record_caller_excess(&mut self, now: Mono, request: &JobRequest) {
        if !self.caller_limits.record_excess(now, request) {
            return;
        }
        let callers = self.caller_limits.classes.get(&request.class);
        let admitted =
            callers.and_then(|callers| callers.shares.admitted_share(now, request.caller));
        self.log(Decision::CallerLimited {
            caller: request.caller,
            class: request.class.clone(),
            admitted: admitted.unwrap_or_default(),
            mode: self.options.overload,
        });
    }

    /// Returns the room of the job's class for its callers.
    fn caller_room(&self, now: Mono, request: &JobRequest) -> Room {
        match self.detected_overload() {
            OverloadState::Normal => Room::Enough,
            _ if self.caller_limits.room_per_s == 0 => Room::Enough,
            OverloadState::Overloaded | OverloadState::Saturated => {
                let room_per_s = self.arrivals_room_per_s();
                self.caller_limits
                    .class_room(now, &request.class, request.work(), room_per_s)
            }
        }
    }

    /// Returns the work that may be admitted within a second: what the executors do less what waits.
    ///
    /// If callers above their shares could keep the queue long, jobs of the others would be refused
    /// because they can't end in time.
    fn arrivals_room_per_s(&self) -> u64 {
        let room_per_s = self.caller_limits.room_per_s;
        room_per_s
            .saturating_sub(self.waiting_work())
            .max(room_per_s / 2)
    }

    /// Returns whether executors have places for all tasks of a job now.
    fn has_places_for(&self, now: Mono, request: &JobRequest) -> bool {
        let job = Job::new(now, Session(0), request.clone());
        let mut places = 0;
        for candidate in self.available_executors(now, request.demand.cpu_millis) {
            if self.fit(now, &job, 0, &candidate).is_some() {
                let by_limit = request.per_executor_max.map_or(u32::MAX, u32::from);
                places += candidate.free.count_of(request.demand).min(by_limit);
            }
            if places >= u32::from(request.tasks) {
                return true;
            }
        }
        false
    }

    fn load_now(&self, now: Mono) -> LoadNow {
        let room_per_s = self.caller_limits.room_per_s;
        let waiting = self.waiting_work();
        LoadNow {
            room_per_s,
            offered_per_s: self.caller_limits.offered(now),
            drained_in: Micros(waiting.saturating_mul(1_000_000) / room_per_s.max(1)),
        }
    }

    fn waiting_work(&self) -> u64 {
        self.jobs.waiting_work()
    }
}

/// Returns whether a job was refused because the pool is short of room.
fn is_want_of_room(end: JobEnd) -> bool {
    matches!(end, JobEnd::NotRun(reason, _) if reason.is_want_of_room())
}
