//! The owner's state of an executor.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use onyxshed_core::{Micros, Millis, Mono, UnixMs};
use smol_str::SmolStr;

use crate::id::{ExecutorId, JobId, RunNumber, TaskId};
use crate::options::PoolOptions;
use crate::resources::Resources;
use crate::speed::Slowdown;

/// Properties of an executor as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorFacts {
    /// Address at which the executor accepts orders.
    pub address: SocketAddr,
    /// Upstream that the executor belongs to.
    pub upstream: SmolStr,
    /// Resources that are free when nothing runs.
    pub capacity: Resources,
    /// Labels that jobs can require.
    pub labels: Vec<SmolStr>,
    /// Rack of the executor, if known.
    pub rack: Option<SmolStr>,
    /// Whether the executor is draining and gets no new tasks.
    pub is_draining: bool,
    /// Start time of the current incarnation on the executor's clock, if known.
    pub started_at: Option<UnixMs>,
}

/// State of a run that was ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The start order was sent, and the executor has not confirmed that the run executes.
    Ordered {
        /// Start orders sent so far.
        orders_sent: u32,
    },
    /// The executor has confirmed that the run executes.
    Running {
        /// When the confirmation arrived.
        since: Mono,
    },
    /// A stop order was sent, and the run may still execute.
    Stopping {
        /// When the acceptance of the stop order arrived; `None` until then.
        accepted_at: Option<Mono>,
    },
}

/// A run that was ordered and may execute.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Run {
    pub number: RunNumber,
    pub demand: Resources,
    pub state: RunState,
    pub ordered_at: Mono,
    /// Expected run time on this executor.
    pub expected: Micros,
    pub estimate: Micros,
}

/// Relation of an incarnation to the one that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IncarnationMatch {
    /// The current incarnation.
    Current,
    /// An incarnation that is known to have ended.
    Past,
    /// An incarnation that has not been seen before.
    New,
}

/// Number of past incarnations remembered. Messages are late by seconds at most, and an executor that
/// restarts more often than this within seconds runs nothing anyway.
const PAST_INCARNATIONS_MAX: usize = 8;

/// Progress of the takeover of an executor by this owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// A previous owner that answers may still use the executor; it gets no orders.
    Withheld,
    /// Runs of an earlier owner may execute; no lease is renewed and no run started.
    Acquiring,
    /// Every run was started by this owner.
    Acquired,
}

/// Failure record of an executor, which decides whether the executor is avoided.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Health {
    /// Failures since the last completed run; failed runs of one job in succession count once. From the
    /// first failure on, the executor is on probation: it gets one task at a time.
    pub failures: u32,
    /// Job of the most recently failed run.
    last_failed_job: Option<JobId>,
    /// Time until which the executor gets no tasks.
    pub avoided_until: Mono,
}

impl Health {
    /// Records a failed run of a job. Returns how long the executor is avoided, or `None` if it is not.
    ///
    /// A faulty job fails on every executor. Failed runs of one job therefore count as one failure, and an
    /// executor is avoided from the second failure on.
    pub fn record_run_failure(
        &mut self,
        now: Mono,
        job: JobId,
        options: &PoolOptions,
    ) -> Option<Millis> {
        if self.failures > 0 && self.last_failed_job == Some(job) {
            return None;
        }
        self.last_failed_job = Some(job);
        if self.failures == 0 {
            self.failures = 1;
            return None;
        }
        Some(self.record_failure(now, options))
    }

    /// Records a failure that is certainly caused by the executor, and returns how long it is avoided: twice
    /// as long with each failure, up to `avoid_max_ms`.
    pub fn record_failure(&mut self, now: Mono, options: &PoolOptions) -> Millis {
        let doublings = self.failures.min(8);
        self.failures += 1;
        let span = Millis((options.avoid_ms.0 << doublings).min(options.avoid_max_ms.0));
        self.avoided_until = now + span;
        span
    }

    /// Removes a failure that was caused by the job. Without failures the executor is no longer avoided.
    pub fn clear_failure(&mut self, now: Mono) {
        self.failures = self.failures.saturating_sub(1);
        if self.failures == 0 {
            self.avoided_until = now;
        }
    }
}

/// An executor and its runs.
#[derive(Debug)]
pub(crate) struct Executor {
    pub facts: ExecutorFacts,
    pub phase: Phase,
    pub free: Resources,
    pub runs: BTreeMap<TaskId, Run>,
    /// Lower bound of the executor's clock minus this host's clock, in milliseconds; `None` until a clock
    /// reading of the current incarnation has arrived.
    clock_offset: Option<i128>,
    pub started_at: Option<UnixMs>,
    /// Start times of past incarnations, the latest last.
    past_incarnations: Vec<UnixMs>,
    pub last_seen: u64,
    /// When the last report arrived.
    pub last_report_at: Mono,
    /// When the last completion of a run was reported.
    pub last_completed_at: Mono,
    pub is_unresponsive: bool,
    /// When the leases of all runs will have expired, unless they are renewed.
    pub leases_expire_at: Mono,
    pub slowdown: Slowdown,
    pub health: Health,
    /// Since when the platform no longer lists the executor; `None` while it is listed.
    pub unlisted_at: Option<Mono>,
    /// Time until which the executor is assumed to be full, after it refused a task or was unreachable.
    pub full_until: Mono,
    /// Whether the executor gets no orders because its zone is evacuated and nothing runs on it.
    pub is_parked: bool,
}

impl Executor {
    pub fn new(now: Mono, facts: ExecutorFacts) -> Self {
        Executor {
            free: facts.capacity,
            started_at: facts.started_at,
            facts,
            phase: Phase::Acquiring,
            runs: BTreeMap::new(),
            clock_offset: None,
            past_incarnations: Vec::new(),
            last_seen: 0,
            last_report_at: now,
            last_completed_at: Mono(0),
            is_unresponsive: false,
            leases_expire_at: now,
            slowdown: Slowdown::default(),
            health: Health::default(),
            unlisted_at: None,
            full_until: Mono(0),
            is_parked: false,
        }
    }

    /// Updates the clock offset by a clock reading from an answer that arrived at `now`.
    ///
    /// The clock was read before the answer was sent, so the estimate lags behind the real clock by at most
    /// the transit time. A lease computed from it is never longer than intended.
    pub fn observe_clock(&mut self, now: Mono, clock: UnixMs) {
        let local_ms = i128::from(now.0 / 1_000);
        self.clock_offset = Some(i128::from(clock.0) - local_ms);
    }

    /// Returns when a lease granted now expires on the executor's clock, or `None` while that clock is
    /// unknown.
    pub fn lease_end(&self, now: Mono, lease: Millis) -> Option<UnixMs> {
        let remote_ms = i128::from(now.0 / 1_000) + self.clock_offset?;
        let end_ms = remote_ms + i128::from(lease.0);
        u64::try_from(end_ms).ok().map(UnixMs)
    }

    /// Records that an order with a lease was sent.
    pub fn record_lease(&mut self, now: Mono, options: &PoolOptions) {
        self.leases_expire_at = self.leases_expire_at.max(now + options.lease_bound());
    }

    /// Returns whether new runs may be started on the executor.
    pub fn can_accept_tasks(&self, now: Mono, options: &PoolOptions) -> bool {
        let is_avoided = now < self.health.avoided_until;
        // After a failure, the executor is probed with one task before it gets more.
        let is_on_probation = self.health.failures > 0 && !self.runs.is_empty();
        self.is_usable(now, options)
            && self.phase == Phase::Acquired
            && self.clock_offset.is_some()
            && !is_avoided
            && !is_on_probation
            && now >= self.full_until
    }

    /// Returns whether the executor counts towards the pool's capacity: it can run tasks now or is likely to
    /// soon.
    pub fn is_usable(&self, now: Mono, options: &PoolOptions) -> bool {
        let is_listed = match self.unlisted_at {
            Some(since) => now.since(since) < options.unlisted_grace_ms.into(),
            None => true,
        };
        !self.facts.is_draining && !self.is_lost(now, options) && is_listed
    }

    /// Returns whether the executor is unresponsive. An executor that is being acquired has
    /// `takeover_grace_ms`, because a new owner opens connections to all executors at once.
    fn is_lost(&self, now: Mono, options: &PoolOptions) -> bool {
        let is_in_grace = self.phase == Phase::Acquiring
            && now.since(self.last_report_at) < options.takeover_grace_ms.into();
        self.is_unresponsive && !is_in_grace
    }

    /// Adds a run and reserves its resources.
    pub fn add_run(&mut self, task: TaskId, run: Run) {
        self.free -= run.demand;
        self.runs.insert(task, run);
    }

    /// Removes a run that no longer executes and frees its resources. Returns `None` if there is no run of the
    /// task.
    pub fn remove_run(&mut self, task: TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.recompute_free();
        Some(run)
    }

    /// Recomputes the free resources from the capacity and the runs.
    fn recompute_free(&mut self) {
        let mut free = self.facts.capacity;
        for run in self.runs.values() {
            free -= run.demand;
        }
        self.free = free;
    }

    /// Replaces the listed properties and marks the executor as listed.
    pub fn update_facts(&mut self, facts: ExecutorFacts) {
        self.facts = facts;
        self.unlisted_at = None;
        self.recompute_free();
    }

    /// Returns the listed properties with the start time of the current incarnation.
    pub fn current_facts(&self) -> ExecutorFacts {
        ExecutorFacts {
            started_at: self.started_at,
            ..self.facts.clone()
        }
    }

    /// Classifies the incarnation of the executor that sent a message, by its start time.
    ///
    /// Start times are compared with those seen before, not ordered: the executor's wall clock may jump
    /// back, and reports and lists may be late. An unknown start time counts as the current incarnation.
    pub fn match_incarnation(&self, started_at: Option<UnixMs>) -> IncarnationMatch {
        match (self.started_at, started_at) {
            (Some(known), Some(reported)) if known == reported => IncarnationMatch::Current,
            (_, Some(reported)) if self.past_incarnations.contains(&reported) => {
                IncarnationMatch::Past
            }
            (Some(_), Some(_)) => IncarnationMatch::New,
            _ => IncarnationMatch::Current,
        }
    }

    /// Records a restart of the executor and resets its counters, clock offset and health.
    ///
    /// The runs stay until a report of the new incarnation shows which of them it has: the new incarnation
    /// executes orders that were in transit during the restart.
    pub fn record_restart(&mut self, started_at: Option<UnixMs>) {
        if let Some(previous) = std::mem::replace(&mut self.started_at, started_at) {
            self.past_incarnations.push(previous);
            let excess = self
                .past_incarnations
                .len()
                .saturating_sub(PAST_INCARNATIONS_MAX);
            self.past_incarnations.drain(..excess);
        }
        self.last_seen = 0;
        self.clock_offset = None;
        self.health = Health::default();
        self.slowdown = Slowdown::default();
    }

    /// Removes and returns every run, as when another executor answers at the address.
    pub fn take_runs(&mut self) -> Vec<(TaskId, Run)> {
        let runs = std::mem::take(&mut self.runs);
        self.recompute_free();
        runs.into_iter().collect()
    }

    /// Returns how many tasks of a job run on the executor.
    pub fn task_count(&self, job: JobId) -> usize {
        self.runs.keys().filter(|task| task.job == job).count()
    }

    /// Returns whether the executor has the label; `None` is always satisfied.
    pub fn has_label(&self, label: Option<&SmolStr>) -> bool {
        label.is_none_or(|label| self.facts.labels.contains(label))
    }
}

/// The executors of a pool by id.
pub(crate) type Executors = BTreeMap<ExecutorId, Executor>;
