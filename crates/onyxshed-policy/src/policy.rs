//! The state machine [`Policy`], which the dispatch calls to admit jobs, queue tasks, select the
//! next start and record the ends of attempts. Each submodule implements one of these steps.

mod caller_limits;
mod end;
mod hedge;
mod intake;
mod place;
mod start;
mod turn;
mod watch;

use std::collections::{BTreeMap, BTreeSet};

use onyxshed_core::{
    ClassName, ClassTarget, ExecutorName, Micros, Mono, Now, SubmissionId, TaskId, UpstreamName,
};
use onyxshed_wire::upstream::LoadReport;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::class::Class;
use crate::decision::{DecisionBuffer, PolicyDecision, WastedMessages};
use crate::faults::JobFaults;
use crate::fleet::{ExecutorKey, Fleet};
use crate::placement::{Placement, PlacementKind};
use crate::running::RunningTask;
use crate::upstream::Upstream;
use crate::work::{ExecutorInfo, ExpiredTask};
use caller_limits::CallerLimits;

/// Limit of the queue and placement algorithm of a [`Policy`], fixed when it is created.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyOptions {
    /// Maximum number of queued tasks, over all upstreams. Default 20,000.
    pub queue_max: usize,
    /// Algorithm that selects executors. The default is least expected finish; the others are
    /// baselines.
    pub placement: PlacementKind,
    /// Whether a class's share of an upstream is divided among its callers while the upstream is short
    /// of room. Default `false`.
    pub has_caller_shares: bool,
    /// Whether callers refused for want of room are told times at which there will be room. Default
    /// `false`: the times follow from the deadline that was missed.
    pub plans_returns: bool,
}

impl Default for PolicyOptions {
    fn default() -> Self {
        PolicyOptions {
            queue_max: 20_000,
            placement: PlacementKind::default(),
            has_caller_shares: false,
            plans_returns: false,
        }
    }
}

/// Scheduling state of one entry host for the executors of its zone.
#[derive(Debug)]
pub struct Policy {
    options: PolicyOptions,
    rng: SmallRng,
    zone_hosts: u32,
    classes: BTreeMap<ClassName, Class>,
    fleet: Fleet,
    upstreams: BTreeMap<UpstreamName, Upstream>,
    /// Upstreams that may be able to start a task.
    ready: BTreeSet<UpstreamName>,
    /// Times at which upstreams that cannot start a task now are checked again.
    wakeups: BTreeSet<(Mono, UpstreamName)>,
    last_served: Option<UpstreamName>,
    /// Upstream on which each queued task waits.
    queued_on: BTreeMap<TaskId, UpstreamName>,
    /// Jobs of which a task has started while others are still queued.
    started_jobs: BTreeSet<SubmissionId>,
    running: BTreeMap<TaskId, RunningTask>,
    /// Running tasks for which a second copy is planned, by the time at which it is due.
    planned_hedges: BTreeSet<(Mono, TaskId)>,
    /// Tasks dropped from the queue that `take_expired` has not returned yet.
    dropped: Vec<ExpiredTask>,
    next_expiry_scan_at: Mono,
    job_faults: JobFaults,
    placement: Placement,
    decisions: DecisionBuffer,
    wasted_messages: WastedMessages,
    caller_limits: CallerLimits,
}

impl Policy {
    /// Creates a policy without classes or executors; `seed` seeds its random number generator.
    pub fn new(options: PolicyOptions, seed: u64) -> Self {
        Policy {
            placement: Placement::new(options.placement),
            options,
            rng: SmallRng::seed_from_u64(seed),
            zone_hosts: 1,
            classes: BTreeMap::new(),
            fleet: Fleet::default(),
            upstreams: BTreeMap::new(),
            ready: BTreeSet::new(),
            wakeups: BTreeSet::new(),
            last_served: None,
            queued_on: BTreeMap::new(),
            started_jobs: BTreeSet::new(),
            running: BTreeMap::new(),
            planned_hedges: BTreeSet::new(),
            dropped: Vec::new(),
            next_expiry_scan_at: Mono::default(),
            job_faults: JobFaults::default(),
            decisions: DecisionBuffer::default(),
            wasted_messages: WastedMessages::default(),
            caller_limits: CallerLimits::default(),
        }
    }

    /// Replaces the configured classes.
    ///
    /// Queued and running tasks of a class that was removed, or that moved to another upstream,
    /// still run.
    pub fn set_classes(&mut self, _now: Now, classes: &BTreeMap<ClassName, ClassTarget>) {
        for class in self.classes.values_mut() {
            class.is_configured = false;
        }
        for (name, target) in classes {
            self.set_class(name, target);
        }
        let upstreams = &self.upstreams;
        self.classes.retain(|name, class| {
            let queue = upstreams.get(&class.target.upstream).map(|u| &u.queue);
            let waiting = queue.map_or(0, |queue| queue.class_len(name));
            class.is_configured || class.in_flight > 0 || waiting > 0
        });
        self.retain_caller_limits();
    }

    /// Replaces the list of known executors. An executor that is missing from the list gets no new
    /// tasks, but its running tasks may finish.
    pub fn set_executors(&mut self, now: Now, executors: &[ExecutorInfo]) {
        for id in self.fleet.set(executors) {
            self.classes
                .values_mut()
                .for_each(|class| class.faults.forget(id));
        }
        for upstream in self.upstreams.values_mut() {
            upstream.members.clear();
            upstream.invalidate();
        }
        for (key, executor) in self
            .fleet
            .iter()
            .filter(|(_, executor)| !executor.is_removed)
        {
            let name = executor.info.upstream.clone();
            self.upstreams.entry(name).or_default().members.push(key);
        }
        self.ready.extend(self.upstreams.keys().cloned());
        let is_used =
            |upstream: &Upstream| !upstream.members.is_empty() || !upstream.queue.is_empty();
        self.upstreams.retain(|_, upstream| is_used(upstream));
        self.upstreams
            .values_mut()
            .for_each(|upstream| upstream.refresh_capacity(now.mono, &self.fleet, self.zone_hosts));
    }

    /// Sets the number of live entry hosts that share this zone's executors, this one included.
    pub fn set_zone_hosts(&mut self, _now: Now, zone_hosts: u32) {
        self.zone_hosts = zone_hosts.max(1);
        self.upstreams.values_mut().for_each(Upstream::invalidate);
        self.ready.extend(self.upstreams.keys().cloned());
    }

    /// Returns the executors that still run a copy of the task.
    pub fn executors_running(&self, task: TaskId) -> Vec<ExecutorName> {
        let attempts = self.running.get(&task).map(|running| &running.attempts);
        let keys = attempts.into_iter().flatten().map(|attempt| attempt.key);
        let executors = keys.filter_map(|key| self.fleet.get(key));
        executors
            .map(|executor| executor.info.name.clone())
            .collect()
    }

    /// Removes and returns the decisions to be logged, oldest first.
    pub fn drain_decisions(&mut self) -> Vec<PolicyDecision> {
        self.decisions.drain()
    }

    /// Returns the counts of messages that did not contribute to an answer.
    pub fn wasted_messages(&self) -> WastedMessages {
        self.wasted_messages
    }

    /// Returns the number of queued tasks over all upstreams, delayed ones included.
    pub fn queued_tasks(&self) -> usize {
        self.queued_on.len()
    }

    /// Returns the 99th percentile of a class's service time on an executor of ordinary speed;
    /// `None` for an unknown class or as long as too few tasks have finished.
    pub fn service_time_p99(&self, class: &ClassName) -> Option<Micros> {
        self.classes.get(class)?.service_time_p99(1.0)
    }

    fn set_class(&mut self, name: &ClassName, target: &ClassTarget) {
        let Some(class) = self.classes.get_mut(name) else {
            self.classes
                .insert(name.clone(), Class::new(target.clone()));
            return;
        };
        let old = class.target.upstream.clone();
        class.update(target);
        if old == target.upstream {
            return;
        }
        let moved = self.upstreams.get_mut(&old);
        let moved = moved.map(|upstream| upstream.queue.remove_class(name));
        let upstream = self.upstreams.entry(target.upstream.clone()).or_default();
        for ticket in moved.into_iter().flatten() {
            self.queued_on
                .insert(ticket.work.task, target.upstream.clone());
            upstream.queue.push(ticket, None);
        }
        self.ready.insert(target.upstream.clone());
    }

    fn apply_load_report(&mut self, now: Mono, key: ExecutorKey, load: &LoadReport) {
        if let Some(executor) = self.fleet.get_mut(key) {
            let slots = executor.info.slots;
            executor
                .peer_load
                .observe(now, load, executor.in_flight, slots);
            executor.apply_draining_report(now, load.is_draining);
        }
    }

    fn mark_upstream_ready(&mut self, key: ExecutorKey) {
        let Some(executor) = self.fleet.get(key) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(&executor.info.upstream) {
            upstream.record_free_slot(key);
            self.ready.insert(executor.info.upstream.clone());
        }
    }

    fn draw(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }
}
