//! Shares of callers and planned returns, if the options ask for them.
//!
//! An upstream is short of room while more work arrives than it can do, refused jobs included, and
//! tasks of the job's class are queued. The callers of the class then divide its share of the upstream.

use std::collections::BTreeMap;

use onyxshed_admission::{
    CallerDecision, CallerShares, LoadNow, RecentWork, Refusals, ReturnPlan, Room,
};
use onyxshed_core::{CallerId, ClassName, Micros, Millis, Mono, ResultCode, UpstreamName};

use super::Policy;
use super::intake::finish_estimate;
use crate::span::to_micros;

/// Precision of the times that callers are told.
const RETURN_UNIT: Millis = Millis(100);

/// Microseconds of work that a slot does in a second.
const SLOT_US_PER_S: f64 = 1e6;

/// Retry-after of a caller above its share if returns are not planned: the time within which its share
/// is free again.
const SHARE_RETRY_AFTER: Micros = Micros(1_000_000);

/// Work that arrives for an upstream, in microseconds on a slot of ordinary speed, and the returns of
/// its refused callers.
#[derive(Debug)]
struct UpstreamReturns {
    offered: RecentWork,
    plan: ReturnPlan,
}

impl Default for UpstreamReturns {
    fn default() -> Self {
        UpstreamReturns {
            offered: RecentWork::default(),
            plan: ReturnPlan::new(RETURN_UNIT),
        }
    }
}

/// Shares of callers by class and returns by upstream, for the configured classes.
#[derive(Debug, Default)]
pub(super) struct CallerLimits {
    shares: BTreeMap<ClassName, CallerShares>,
    returns: BTreeMap<UpstreamName, UpstreamReturns>,
}

/// A job that asks for admission.
pub(super) struct Applicant<'a> {
    pub caller: CallerId,
    pub class: &'a ClassName,
    pub tasks: usize,
    pub deadline: Mono,
}

impl Policy {
    /// Forgets the callers of classes and upstreams that are no longer configured.
    pub(super) fn retain_caller_limits(&mut self) {
        let (classes, limits) = (&self.classes, &mut self.caller_limits);
        limits.shares.retain(|name, _| classes.contains_key(name));
        let is_used = |name: &UpstreamName| classes.values().any(|c| c.target.upstream == *name);
        limits.returns.retain(|name, _| is_used(name));
    }

    /// Applies the options on callers to the decision on a job, and returns the refusal, if any, with
    /// its time to return.
    ///
    /// `rejection` is the refusal without them. Refusals for other reasons than want of room are not
    /// changed.
    pub(super) fn limit_caller(
        &mut self,
        now: Mono,
        job: &Applicant<'_>,
        rejection: Option<(ResultCode, Micros)>,
    ) -> Option<(ResultCode, Micros)> {
        if rejection.is_some_and(|(code, _)| !is_want_of_room(code)) {
            return rejection;
        }
        let Some((upstream, work, class_room_per_s, load)) = self.room_for(now, job) else {
            return rejection;
        };
        let is_short = load.offered_per_s > load.room_per_s;
        let has_queue = self
            .upstreams
            .get(&upstream)
            .is_some_and(|upstream| upstream.queue.class_len(job.class) > 0);
        let room = match is_short && has_queue && self.placement.kind().is_guarded() {
            true => Room::Short(class_room_per_s),
            false => Room::Enough,
        };
        let limits = &mut self.caller_limits;
        let shares = limits.shares.entry(job.class.clone()).or_default();
        let is_above = shares.decide(now, job.caller, work, room) == CallerDecision::Refuse
            && self.options.has_caller_shares;
        let refusal = match rejection {
            None if is_above => Some((ResultCode::Overloaded, SHARE_RETRY_AFTER)),
            rejection => rejection,
        };
        let plan = &mut limits.returns.entry(upstream).or_default().plan;
        plan.record_arrival(now, job.caller, work, refusal.is_none());
        plan.record_load(now, load);
        let Some((code, retry_after)) = refusal else {
            shares.record_admitted(now, job.caller, work);
            return None;
        };
        if !self.options.plans_returns {
            return Some((code, retry_after));
        }
        let refusals = match is_above {
            // A caller above its share does not gain by having been refused.
            true => Refusals::default(),
            false => shares.record_refused(now, job.caller),
        };
        let load = LoadNow {
            drained_in: if is_above { Micros(0) } else { retry_after },
            ..load
        };
        let wait = plan.plan(now, job.caller, work, refusals, load);
        Some((code, wait.into()))
    }

    /// Records the work of an arriving job, and returns its upstream, its work, the work that its class
    /// may do there in a second and the load of the upstream.
    fn room_for(
        &mut self,
        now: Mono,
        job: &Applicant<'_>,
    ) -> Option<(UpstreamName, u64, u64, LoadNow)> {
        let class = self.classes.get(job.class)?;
        let name = class.target.upstream.clone();
        let upstream = self.upstreams.get(&name)?;
        let estimate = finish_estimate(
            now,
            &self.classes,
            upstream,
            job.class,
            job.tasks,
            job.deadline,
        )?;
        let mean_us = class.estimate.mean_us().unwrap_or(upstream.mean_us());
        let work = to_micros(mean_us * job.tasks as f64).0.max(1);
        let room_us = upstream.capacity.effective_slots() * SLOT_US_PER_S;
        let returns = self.caller_limits.returns.entry(name.clone()).or_default();
        returns.offered.record(now, work);
        let load = LoadNow {
            room_per_s: to_micros(room_us).0,
            offered_per_s: returns.offered.total(now),
            drained_in: Micros(0),
        };
        // What waits of the class uses up its room: if callers above their shares kept the queue long, jobs
        // of the others would be refused because of their deadlines.
        let class_us = estimate.share * SLOT_US_PER_S;
        let class_room = to_micros((class_us - estimate.ahead_us).max(class_us / 2.0));
        Some((name, work, class_room.0, load))
    }
}

/// Returns whether a job was refused because its upstream is short of room.
fn is_want_of_room(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::DeadlineOutOfReach | ResultCode::Overloaded
    )
}
