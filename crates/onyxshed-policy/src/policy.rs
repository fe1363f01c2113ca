//! The policy as a whole: admission, order, placement and what follows an attempt.

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
use crate::decision::{Notes, PolicyDecision, WastedMessages};
use crate::faults::JobFaults;
use crate::fleet::{Fleet, Seat};
use crate::placement::{Placement, PlacementKind};
use crate::running::Running;
use crate::upstream::Upstream;
use crate::work::{ExecutorInfo, ExpiredTask};

/// Limits of the policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyOptions {
    /// Most tasks waiting. Default 20,000.
    pub queue_max: usize,
    /// How executors are chosen. Default least expected finish; the others are baselines.
    pub placement: PlacementKind,
}

impl Default for PolicyOptions {
    fn default() -> Self {
        PolicyOptions {
            queue_max: 20_000,
            placement: PlacementKind::default(),
        }
    }
}

/// The policy's state.
#[derive(Debug)]
pub struct Policy {
    options: PolicyOptions,
    rng: SmallRng,
    sharers: u32,
    classes: BTreeMap<ClassName, Class>,
    fleet: Fleet,
    upstreams: BTreeMap<UpstreamName, Upstream>,
    ready: BTreeSet<UpstreamName>,
    wakes: BTreeSet<(Mono, UpstreamName)>,
    last_served: Option<UpstreamName>,
    homes: BTreeMap<TaskId, UpstreamName>,
    begun: BTreeSet<SubmissionId>,
    running: BTreeMap<TaskId, Running>,
    hedges: BTreeSet<(Mono, TaskId)>,
    hopeless: Vec<ExpiredTask>,
    expire_at: Mono,
    jobs: JobFaults,
    placement: Placement,
    notes: Notes,
    waste: WastedMessages,
}

impl Policy {
    /// Makes a policy; `seed` feeds every draw it makes.
    pub fn new(options: PolicyOptions, seed: u64) -> Self {
        Policy {
            placement: Placement::new(options.placement),
            options,
            rng: SmallRng::seed_from_u64(seed),
            sharers: 1,
            classes: BTreeMap::new(),
            fleet: Fleet::default(),
            upstreams: BTreeMap::new(),
            ready: BTreeSet::new(),
            wakes: BTreeSet::new(),
            last_served: None,
            homes: BTreeMap::new(),
            begun: BTreeSet::new(),
            running: BTreeMap::new(),
            hedges: BTreeSet::new(),
            hopeless: Vec::new(),
            expire_at: Mono::default(),
            jobs: JobFaults::default(),
            notes: Notes::default(),
            waste: WastedMessages::default(),
        }
    }

    /// Sets the classes in force.
    ///
    /// Tasks of a class that is left out, or moved to another upstream, still run.
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
    }

    /// Sets the executors known; those left out get no new work.
    pub fn set_executors(&mut self, now: Now, executors: &[ExecutorInfo]) {
        for id in self.fleet.set(executors) {
            self.classes
                .values_mut()
                .for_each(|class| class.faults.forget(id));
        }
        for upstream in self.upstreams.values_mut() {
            upstream.members.clear();
            upstream.touch();
        }
        for (seat, executor) in self.fleet.iter().filter(|(_, executor)| !executor.is_gone) {
            let name = executor.info.upstream.clone();
            self.upstreams.entry(name).or_default().members.push(seat);
        }
        self.ready.extend(self.upstreams.keys().cloned());
        let is_used =
            |upstream: &Upstream| !upstream.members.is_empty() || !upstream.queue.is_empty();
        self.upstreams.retain(|_, upstream| is_used(upstream));
        self.upstreams
            .values_mut()
            .for_each(|upstream| upstream.refresh(now.mono, &self.fleet, self.sharers));
    }

    /// Sets how many live entry hosts share this zone's executors, this one included.
    pub fn set_zone_hosts(&mut self, _now: Now, sharers: u32) {
        self.sharers = sharers.max(1);
        self.upstreams.values_mut().for_each(Upstream::touch);
        self.ready.extend(self.upstreams.keys().cloned());
    }

    /// Gets the executors that still run a copy of the task.
    pub fn copies_of(&self, task: TaskId) -> Vec<ExecutorName> {
        let attempts = self.running.get(&task).map(|running| &running.attempts);
        let seats = attempts.into_iter().flatten().map(|attempt| attempt.seat);
        let executors = seats.filter_map(|seat| self.fleet.get(seat));
        executors
            .map(|executor| executor.info.name.clone())
            .collect()
    }

    /// Takes out what happened that people should read about, oldest first.
    pub fn drain_decisions(&mut self) -> Vec<PolicyDecision> {
        self.notes.drain()
    }

    /// Gets the counts of messages that served no answer.
    pub fn wasted_messages(&self) -> WastedMessages {
        self.waste
    }

    /// Gets the number of tasks waiting.
    pub fn queued_tasks(&self) -> usize {
        self.homes.len()
    }

    /// Gets the time that all but few tasks of a class stay within; none until learned.
    pub fn service_time_p99(&self, class: &ClassName) -> Option<Micros> {
        self.classes.get(class)?.usual(1.0)
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
        let moved = moved.map(|upstream| upstream.queue.take_class(name));
        let upstream = self.upstreams.entry(target.upstream.clone()).or_default();
        for ticket in moved.into_iter().flatten() {
            self.homes.insert(ticket.work.task, target.upstream.clone());
            upstream.queue.push(ticket, None);
        }
        self.ready.insert(target.upstream.clone());
    }

    fn take_report(&mut self, now: Mono, seat: Seat, load: &LoadReport) {
        if let Some(executor) = self.fleet.get_mut(seat) {
            let slots = executor.info.slots;
            executor
                .sharing
                .observe(now, load, executor.in_flight, slots);
            executor.draining(now, load.is_draining);
        }
    }

    fn wake_upstream_of(&mut self, seat: Seat) {
        let Some(executor) = self.fleet.get(seat) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(&executor.info.upstream) {
            upstream.freed(seat);
            self.ready.insert(executor.info.upstream.clone());
        }
    }

    fn draw(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }
}
