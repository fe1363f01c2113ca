//! Estimated load of other entry hosts on one executor.
//!
//! Each response reports the number of tasks on the executor; the tasks that were not sent by this
//! host are those of other hosts. The estimate is as old as the last response and decays towards
//! the long-run mean.

use onyxshed_core::{Micros, Mono};
use onyxshed_wire::upstream::LoadReport;

use crate::span::as_us;

/// Weight of the newest report in the long-run mean.
const ALPHA: f64 = 0.1;

/// Estimated number of tasks of other hosts on one executor, from its load reports.
#[derive(Debug, Clone, Default)]
pub struct PeerLoad {
    other_tasks: f64,
    other_tasks_mean: f64,
    is_full: bool,
    refuses_when_full: bool,
    reported_at: Option<Mono>,
}

/// Inputs of the decision whether one more task may be started on an executor.
#[derive(Debug, Clone, Copy)]
pub struct StartRequest {
    /// Learned limit on the concurrent tasks of the executor.
    pub limit: f64,
    /// Number of this host's attempts on the executor that have not ended.
    pub in_flight: u32,
    /// Conditions that do not depend on the executor.
    pub conditions: StartConditions,
}

/// Conditions for a start that do not depend on the executor.
#[derive(Debug, Clone, Copy)]
pub struct StartConditions {
    /// Entry hosts that share the executors, this one included.
    pub zone_hosts: u32,
    /// Time constant with which a load report loses its weight: the mean service time.
    pub report_decay: Micros,
    /// Whether the task can wait for a slot that is more certainly free: twice its 99th percentile
    /// of service time is left before the deadline.
    pub has_time: bool,
}

impl PeerLoad {
    /// Records a load report. `in_flight` is the number of this host's tasks on the executor,
    /// without the one that was answered.
    pub fn observe(&mut self, now: Mono, load: &LoadReport, in_flight: u32, slots: u32) {
        let on_executor = load.running + load.queued;
        let other_tasks = f64::from(on_executor.saturating_sub(in_flight));
        let alpha = if self.reported_at.is_none() {
            1.0
        } else {
            ALPHA
        };
        self.other_tasks = other_tasks;
        self.other_tasks_mean += alpha * (other_tasks - self.other_tasks_mean);
        self.is_full = on_executor >= slots;
        self.reported_at = Some(now);
    }

    /// Records the load report of a refusal. An executor that refuses a task while its queue is
    /// empty does not queue tasks when its slots are full.
    pub fn record_refusal(&mut self, load: &LoadReport) {
        self.refuses_when_full |= load.queued == 0;
    }

    /// Returns the estimated number of other hosts' tasks on the executor now.
    pub fn other_tasks(&self, now: Mono, report_decay: Micros) -> f64 {
        let weight = self.weight(now, report_decay);
        weight * self.other_tasks + (1.0 - weight) * self.other_tasks_mean
    }

    /// Returns the long-run mean of other hosts' tasks on the executor.
    pub fn other_tasks_mean(&self) -> f64 {
        self.other_tasks_mean
    }

    /// Returns whether one more task of this host may be started on the executor.
    ///
    /// Within its share of the slots a host relies on its own count, unless a fresh report says
    /// that all slots are taken: the task would only be refused or wait at the executor. Beyond its
    /// share it borrows slots, only with a fresh report and only while a further slot stays idle,
    /// so that a host that claims its own share finds a free slot.
    pub fn can_start(&self, now: Mono, request: StartRequest) -> bool {
        let in_flight = f64::from(request.in_flight);
        if in_flight + 1.0 > request.limit {
            return false;
        }
        let hosts = self.effective_hosts(request);
        if hosts <= 1.0 {
            return true;
        }
        let share = request.limit / hosts;
        let weight = self.weight(now, request.conditions.report_decay);
        let idle =
            request.limit - self.other_tasks(now, request.conditions.report_decay) - in_flight;
        if in_flight + 1.0 <= self.rounded_share(share) {
            return idle >= 1.0 || !(self.is_full && weight > FRESH_WEIGHT_MIN);
        }
        let age_penalty = 1.0 - weight;
        self.reported_at.is_some()
            && idle - age_penalty
                >= self.required_idle_slots(in_flight, share, request.conditions.has_time)
    }

    /// Returns the number of hosts that share the executor.
    ///
    /// A host that is cut off from its peers counts itself as the only host. Without a correction
    /// it would fill every slot while the other hosts do the same. The load reports still show the
    /// tasks of the other hosts. The host therefore assumes the number of equal shares at which its
    /// own share is what the other hosts leave free.
    fn effective_hosts(&self, request: StartRequest) -> f64 {
        let known_hosts = f64::from(request.conditions.zone_hosts);
        if known_hosts > 1.0 {
            return known_hosts;
        }
        let left = (request.limit - self.other_tasks_mean).max(1.0);
        (request.limit / left).round().max(1.0)
    }

    /// Returns how many slots must be estimated as idle for a start beyond the share.
    ///
    /// If the executor refuses tasks that find no slot, a task with time to wait leaves one more
    /// slot idle: a short delay is better than a wasted message. An urgent task takes the risk.
    fn required_idle_slots(&self, in_flight: f64, share: f64, has_time: bool) -> f64 {
        let is_last_part = in_flight + 1.0 <= share.ceil();
        match (is_last_part, self.refuses_when_full && has_time) {
            (true, _) => 1.0,
            (false, false) => 2.0,
            (false, true) => 3.0,
        }
    }

    /// Rounds this host's share of the slots.
    ///
    /// Rounded up, the shares of all hosts may add up to slightly more than the slots; the excess
    /// tasks queue at the executor, and the next free slot runs them. With an executor that refuses
    /// tasks instead of queueing them, the share is rounded down, because each refusal is a wasted
    /// message.
    fn rounded_share(&self, share: f64) -> f64 {
        if self.refuses_when_full {
            share.floor().max(1.0)
        } else {
            share.ceil()
        }
    }

    fn weight(&self, now: Mono, report_decay: Micros) -> f64 {
        self.reported_at.map_or(0.0, |at| {
            (-as_us(now.since(at)) / as_us(report_decay).max(1.0)).exp()
        })
    }
}

/// Weight above which a report counts as fresh; a report falls below it after about one mean
/// service time.
const FRESH_WEIGHT_MIN: f64 = 0.35;
