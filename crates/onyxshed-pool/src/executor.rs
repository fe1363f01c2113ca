//! State that a pool's owner keeps for each executor: runs, lease, clock offset, health and speed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use onyxshed_core::{Micros, Millis, Mono, UnixMs};
use smol_str::SmolStr;

use crate::id::{JobId, RunNumber, TaskId};
use crate::options::PoolOptions;
use crate::resources::Resources;
use crate::room_forecast::RoomSlot;
use crate::speed::Slowdown;

/// Properties of an executor as listed by the platform. They hold for one incarnation: the next one may be of
/// another kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorFacts {
    /// Address at which the executor accepts orders.
    pub address: SocketAddr,
    /// Upstream that the executor belongs to; it runs only jobs of this upstream.
    pub upstream: SmolStr,
    /// Resources that are free when nothing runs.
    pub capacity: Resources,
    /// Labels that jobs can require.
    pub labels: Vec<SmolStr>,
    /// Rack of the executor, if known.
    pub rack: Option<SmolStr>,
    /// Whether the executor is draining and gets no new tasks.
    pub is_draining: bool,
    /// Start time of the incarnation that the properties describe, on the executor's clock, if known.
    pub started_at: Option<UnixMs>,
}

/// Whether a run was ordered, executes according to the executor, or is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The start order was sent, and the executor has not confirmed that the run executes.
    Ordered {
        /// Number of start orders that were sent for the run, including the first.
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
    /// Start time of the incarnation that the run was ordered from, if known.
    pub incarnation: Option<UnixMs>,
    pub demand: Resources,
    pub state: RunState,
    pub ordered_at: Mono,
    /// Expected run time on this executor, including its slowdown and the cost of remote data.
    pub expected: Micros,
    pub estimate: Micros,
    /// Where the run is entered in the forecast of room, if it is.
    pub room: Option<RoomSlot>,
    /// Whether the job of the run has ended, so that the run is to be stopped.
    pub is_dropped: bool,
}

/// Relation of the incarnation that sent a message to the one that the owner regards as current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IncarnationMatch {
    /// The current incarnation, or one that can't be distinguished from it because a start time is
    /// unknown.
    Current,
    /// An incarnation that a newer one has replaced. Its messages are ignored.
    Past,
    /// An incarnation with a new start time: the executor has restarted.
    New,
}

/// Maximum number of past incarnations whose start times are kept. Messages are late by seconds at
/// most, and an executor that restarts more often than this within seconds runs nothing anyway.
const PAST_INCARNATIONS_MAX: usize = 8;

/// Progress of the takeover of an executor by this owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The previous owner still answers and may use the executor, so this owner sends the executor
    /// no orders.
    Withheld,
    /// Runs of an earlier owner may execute on the executor, so this owner renews no lease and
    /// starts no run.
    Acquiring,
    /// Every run on the executor was ordered by this owner, which renews its leases.
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
    /// Time until which the executor gets no tasks; in the past if it is not avoided.
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

    /// Records a failure and returns how long the executor is avoided: `avoid_ms`, doubled for each
    /// failure already recorded, up to `avoid_max_ms`. A failure that is attributed to the
    /// executor whatever its job is, such as a stuck run or a refusal as unhealthy, is recorded here
    /// directly.
    pub fn record_failure(&mut self, now: Mono, options: &PoolOptions) -> Millis {
        let doublings = self.failures.min(8);
        self.failures += 1;
        let span = Millis((options.avoid_ms.0 << doublings).min(options.avoid_max_ms.0));
        self.avoided_until = now + span;
        span
    }

    /// Removes one failure, because the task that failed here also failed on other executors. If no
    /// failure is left, the executor is no longer avoided.
    pub fn clear_failure(&mut self, now: Mono) {
        self.failures = self.failures.saturating_sub(1);
        if self.failures == 0 {
            self.avoided_until = now;
        }
    }
}

/// State of an executor and of the runs that were ordered from it.
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
    /// Start times of past incarnations, the most recent last.
    past_incarnations: Vec<UnixMs>,
    pub last_seen: u64,
    /// When the last report arrived, or when the executor was added or its zone restored if that
    /// was later.
    pub last_report_at: Mono,
    /// When the last completion of a run was reported; 0 before the first.
    pub last_completed_at: Mono,
    pub is_unresponsive: bool,
    /// When the last lease expires on the executor's clock; `None` if the current incarnation has none.
    granted_until: Option<UnixMs>,
    /// Time on this host's clock at which every lease granted until now has certainly expired.
    pub leases_expire_at: Mono,
    pub slowdown: Slowdown,
    pub health: Health,
    /// Since when the platform does not list the current incarnation; `None` while it is listed.
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
            granted_until: None,
            leases_expire_at: now,
            slowdown: Slowdown::default(),
            health: Health::default(),
            unlisted_at: None,
            full_until: Mono(0),
            is_parked: false,
        }
    }

    /// Replaces the clock offset by the one that follows from a clock reading in an answer that
    /// arrived at `now`.
    ///
    /// The clock was read before the answer was sent, so the estimate lags behind the real clock by at most
    /// the transit time. A lease computed from it is never longer than intended.
    pub fn observe_clock(&mut self, now: Mono, clock: UnixMs) {
        let local_ms = i128::from(now.0 / 1_000);
        self.clock_offset = Some(i128::from(clock.0) - local_ms);
    }

    /// Returns when a lease granted now expires on the executor's clock, or `None` while that clock is
    /// unknown.
    fn lease_end(&self, now: Mono, lease: Millis) -> Option<UnixMs> {
        let remote_ms = i128::from(now.0 / 1_000) + self.clock_offset?;
        let end_ms = remote_ms + i128::from(lease.0);
        u64::try_from(end_ms).ok().map(UnixMs)
    }

    /// Extends `leases_expire_at` for an order with a lease that is sent at `now`.
    fn record_lease(&mut self, now: Mono, options: &PoolOptions) {
        self.leases_expire_at = self.leases_expire_at.max(now + options.lease_bound());
    }

    /// Returns whether the listed properties describe the current incarnation. Properties without a start
    /// time can't be attributed and count as current.
    pub fn has_current_facts(&self) -> bool {
        let listed = self.facts.started_at;
        listed.is_none_or(|listed| self.started_at == Some(listed))
    }

    /// Returns whether a clock reading of the current incarnation has arrived.
    pub fn has_clock(&self) -> bool {
        self.clock_offset.is_some()
    }

    /// Grants a lease for an order that is sent at `now`, and returns when it expires on the executor's clock;
    /// `None` if no lease can be granted.
    ///
    /// A lease applies to all runs of an executor. While a run of a job that has ended is not stopped, the
    /// last lease is not extended, so that the run ends with it even if every stop order is lost.
    pub fn grant_lease(&mut self, now: Mono, options: &PoolOptions) -> Option<UnixMs> {
        let full = self.lease_end(now, options.lease_ms)?;
        let end = match self.has_unstopped_run() {
            true => self.granted_until?.min(full),
            false => full,
        };
        if end <= self.lease_end(now, Millis(0))? {
            return None;
        }
        self.granted_until = self.granted_until.max(Some(end));
        self.record_lease(now, options);
        Some(end)
    }

    /// Returns whether a run of a job that has ended may execute and its stop is not accepted.
    pub fn has_unstopped_run(&self) -> bool {
        self.runs
            .values()
            .any(|run| run.is_dropped && run.state == RunState::Stopping { accepted_at: None })
    }

    /// Returns whether new runs may be started on the executor now.
    pub fn can_accept_tasks(&self, now: Mono, options: &PoolOptions) -> bool {
        let is_avoided = now < self.health.avoided_until;
        // After a failure, the executor is probed with one task before it gets more.
        let is_on_probation = self.health.failures > 0 && !self.runs.is_empty();
        self.is_usable(now, options)
            && self.phase == Phase::Acquired
            && self.has_current_facts()
            && self.has_clock()
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

    /// Returns whether the executor is unresponsive and no longer counts as capacity. An executor
    /// that is being acquired still counts for `takeover_grace_ms`, because a new owner opens
    /// connections to all executors at the same time and the first reports may be late.
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

    /// Replaces the listed properties by those of the current incarnation and marks it as listed.
    pub fn update_facts(&mut self, facts: ExecutorFacts) {
        self.started_at = facts.started_at.or(self.started_at);
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

    /// Records a restart of the executor and resets the number of the last processed end, the clock
    /// offset, the health and the slowdown. The new incarnation counts as not listed until
    /// [`Self::update_facts`] is called.
    ///
    /// The runs stay until a report of the new incarnation shows which of them it has: the new
    /// incarnation executes orders that were in transit during the restart.
    pub fn record_restart(&mut self, now: Mono, started_at: Option<UnixMs>) {
        if let Some(previous) = std::mem::replace(&mut self.started_at, started_at) {
            self.past_incarnations.push(previous);
            let excess = self
                .past_incarnations
                .len()
                .saturating_sub(PAST_INCARNATIONS_MAX);
            self.past_incarnations.drain(..excess);
        }
        self.unlisted_at.get_or_insert(now);
        self.last_seen = 0;
        self.clock_offset = None;
        self.granted_until = None;
        self.health = Health::default();
        self.slowdown = Slowdown::default();
    }

    /// Removes and returns every run, because another executor answers at the address.
    pub fn take_runs(&mut self) -> Vec<(TaskId, Run)> {
        let runs = std::mem::take(&mut self.runs);
        self.recompute_free();
        runs.into_iter().collect()
    }

    /// Returns whether a run is tracked that was ordered from the current incarnation.
    pub fn is_ordered_from_current(&self, task: TaskId, number: RunNumber) -> bool {
        let run = self.runs.get(&task);
        run.is_some_and(|run| run.number == number && run.incarnation == self.started_at)
    }

    /// Returns the number of a job's tasks with a run on the executor, including runs that are
    /// being stopped.
    pub fn task_count(&self, job: JobId) -> usize {
        self.runs.keys().filter(|task| task.job == job).count()
    }

    /// Returns whether the executor has the label, or `true` if no label is required.
    pub fn has_label(&self, label: Option<&SmolStr>) -> bool {
        label.is_none_or(|label| self.facts.labels.contains(label))
    }
}
