//! One executor as its owner sees it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use onyxshed_core::{Micros, Millis, Mono, UnixMs};
use smol_str::SmolStr;

use crate::id::{ExecutorId, JobId, RunNumber, TaskId};
use crate::options::PoolOptions;
use crate::resources::Resources;
use crate::speed::Slowdown;

/// What the platform lists of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorFacts {
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The upstream that it belongs to.
    pub upstream: SmolStr,
    /// Room when nothing runs.
    pub capacity: Resources,
    /// Its labels.
    pub labels: Vec<SmolStr>,
    /// Its rack, if known.
    pub rack: Option<SmolStr>,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// When this life of it began, if known.
    pub started_at: Option<UnixMs>,
}

/// What became of an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// No answer yet; so many orders were sent.
    Ordered {
        /// Orders sent so far.
        tries: u32,
    },
    /// The executor has said that it is at work.
    AtWork {
        /// When that was known.
        since: Mono,
    },
    /// It is being stopped; set once the executor has taken the order.
    Stopping {
        /// When the executor took the order to stop.
        taken: Option<Mono>,
    },
}

/// A run that was ordered and may be at work.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Run {
    pub number: RunNumber,
    pub demand: Resources,
    pub state: RunState,
    pub ordered_at: Mono,
    /// What it was expected to take on this executor.
    pub expected: Micros,
    pub estimate: Micros,
}

/// Which of an executor's lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Life {
    /// The one that is known.
    Present,
    /// One that has ended.
    Past,
    /// One that is not known yet.
    New,
}

/// Earlier lives remembered. Messages are late by seconds; an executor that starts more often than
/// this within seconds runs nothing anyway.
const PAST_LIVES_MAX: usize = 8;

/// Whether runs may be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// An earlier owner that answers still uses it; it gets no order.
    Withheld,
    /// Runs of an earlier owner may be at work; no lease is renewed.
    Taking,
    /// Everything that runs was started by this owner.
    Held,
}

/// Whether an executor is avoided because runs failed on it.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Health {
    /// Jobs of which runs failed, and other strikes, since the last run that was done. With one strike
    /// the executor is on trial: it gets one task at a time.
    pub strikes: u32,
    /// The job of which a run failed last.
    failed_job: Option<JobId>,
    /// Until when it gets no work.
    pub avoided_until: Mono,
}

impl Health {
    /// Notes that a run of a job failed, and gets how long the executor is avoided, if it is.
    ///
    /// Jobs that can never be done fail on every executor. One job's failures are one strike, and an executor is
    /// avoided from the second on.
    pub fn run_failed(&mut self, now: Mono, job: JobId, options: &PoolOptions) -> Option<Millis> {
        if self.strikes > 0 && self.failed_job == Some(job) {
            return None;
        }
        self.failed_job = Some(job);
        if self.strikes == 0 {
            self.strikes = 1;
            return None;
        }
        Some(self.strike(now, options))
    }

    /// Notes a failure that is the executor's for certain, and gets how long it is avoided.
    pub fn strike(&mut self, now: Mono, options: &PoolOptions) -> Millis {
        let doublings = self.strikes.min(8);
        self.strikes += 1;
        let span = Millis((options.avoid_ms.0 << doublings).min(options.avoid_max_ms.0));
        self.avoided_until = now + span;
        span
    }

    /// Takes back a strike that the job was to blame for.
    pub fn exonerate(&mut self, now: Mono) {
        self.strikes = self.strikes.saturating_sub(1);
        if self.strikes == 0 {
            self.avoided_until = now;
        }
    }
}

/// An executor.
#[derive(Debug)]
pub(crate) struct Executor {
    pub facts: ExecutorFacts,
    pub phase: Phase,
    pub free: Resources,
    pub runs: BTreeMap<TaskId, Run>,
    /// The executor's clock less this host's, in milliseconds, never ahead of the truth.
    clock_offset: Option<i128>,
    pub born: Option<UnixMs>,
    /// When its earlier lives began, the latest last.
    past_lives: Vec<UnixMs>,
    pub last_seen: u64,
    /// When the last report was asked for that came.
    pub heard_at: Mono,
    /// When a run was last done there.
    pub done_at: Mono,
    pub is_silent: bool,
    /// When everything that may run there has lapsed, unless a lease is renewed.
    pub lapses_at: Mono,
    pub slowdown: Slowdown,
    pub health: Health,
    /// Since when it is no longer listed.
    pub unlisted_at: Option<Mono>,
    /// Until when it is taken to have no room, after it refused for want of it.
    pub full_until: Mono,
    /// Whether it is not called, since its zone is evacuated and nothing runs there.
    pub is_parked: bool,
}

impl Executor {
    pub fn new(now: Mono, facts: ExecutorFacts) -> Self {
        Executor {
            free: facts.capacity,
            born: facts.started_at,
            facts,
            phase: Phase::Taking,
            runs: BTreeMap::new(),
            clock_offset: None,
            past_lives: Vec::new(),
            last_seen: 0,
            heard_at: now,
            done_at: Mono(0),
            is_silent: false,
            lapses_at: now,
            slowdown: Slowdown::default(),
            health: Health::default(),
            unlisted_at: None,
            full_until: Mono(0),
            is_parked: false,
        }
    }

    /// Takes in the executor's clock as told in an answer that came at `now`.
    ///
    /// The clock was read before the answer travelled, so the estimate lags behind the truth by at
    /// most that time, and a lease reckoned from it is never longer than meant.
    pub fn observe_clock(&mut self, now: Mono, clock: UnixMs) {
        let local_ms = i128::from(now.0 / 1_000);
        self.clock_offset = Some(i128::from(clock.0) - local_ms);
    }

    /// Gets when a lease that is given now ends, on the executor's clock; none while it is unknown.
    pub fn lease_end(&self, now: Mono, lease: Millis) -> Option<UnixMs> {
        let there_ms = i128::from(now.0 / 1_000) + self.clock_offset?;
        let end_ms = there_ms + i128::from(lease.0);
        u64::try_from(end_ms).ok().map(UnixMs)
    }

    /// Notes that an order with a lease was sent.
    pub fn lease_sent(&mut self, now: Mono, options: &PoolOptions) {
        self.lapses_at = self.lapses_at.max(now + options.lease_bound());
    }

    /// Tells whether new runs may be started there.
    pub fn takes_work(&self, now: Mono, options: &PoolOptions) -> bool {
        let is_avoided = now < self.health.avoided_until;
        // One that has just been avoided is tried with one task before it gets more.
        let is_on_trial = self.health.strikes > 0 && !self.runs.is_empty();
        self.counts(now, options)
            && self.phase == Phase::Held
            && self.clock_offset.is_some()
            && !is_avoided
            && !is_on_trial
            && now >= self.full_until
    }

    /// Counts towards what the pool can do, now or after a short while.
    pub fn counts(&self, now: Mono, options: &PoolOptions) -> bool {
        let is_known = match self.unlisted_at {
            Some(since) => now.since(since) < options.unlisted_grace_ms.into(),
            None => true,
        };
        !self.facts.is_draining && !self.is_lost(now, options) && is_known
    }

    /// Tells whether the executor is unresponsive. One that is being taken over has more time: its new
    /// owner opens connections to all executors at once.
    fn is_lost(&self, now: Mono, options: &PoolOptions) -> bool {
        let is_awaited = self.phase == Phase::Taking
            && now.since(self.heard_at) < options.taking_patience_ms.into();
        self.is_silent && !is_awaited
    }

    /// Adds a run.
    pub fn add_run(&mut self, task: TaskId, run: Run) {
        self.free -= run.demand;
        self.runs.insert(task, run);
    }

    /// Removes a run that is no longer at work.
    pub fn remove_run(&mut self, task: TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.recount();
        Some(run)
    }

    /// Works out the free room anew, from capacity and runs.
    fn recount(&mut self) {
        let mut free = self.facts.capacity;
        for run in self.runs.values() {
            free -= run.demand;
        }
        self.free = free;
    }

    /// Takes in what the platform lists.
    pub fn list(&mut self, facts: ExecutorFacts) {
        self.facts = facts;
        self.unlisted_at = None;
        self.recount();
    }

    /// Gets what is known of the life that is there now.
    pub fn present_facts(&self) -> ExecutorFacts {
        ExecutorFacts {
            started_at: self.born,
            ..self.facts.clone()
        }
    }

    /// Tells which life of the executor says something, by when that life began.
    ///
    /// Lives are told apart by what was seen before, not by which began later: an executor's time of day may
    /// jump back, and reports and lists may be late.
    pub fn life_of(&self, born: Option<UnixMs>) -> Life {
        match (self.born, born) {
            (Some(known), Some(told)) if known == told => Life::Present,
            (_, Some(told)) if self.past_lives.contains(&told) => Life::Past,
            (Some(_), Some(_)) => Life::New,
            _ => Life::Present,
        }
    }

    /// Begins a new life, whose counts and clock start anew.
    ///
    /// The runs stay until the new life's reports show which of them it has: an order that was on
    /// its way while the executor started anew is carried out by the new life.
    pub fn reborn(&mut self, born: Option<UnixMs>) {
        if let Some(ended) = std::mem::replace(&mut self.born, born) {
            self.past_lives.push(ended);
            let surplus = self.past_lives.len().saturating_sub(PAST_LIVES_MAX);
            self.past_lives.drain(..surplus);
        }
        self.last_seen = 0;
        self.clock_offset = None;
        self.health = Health::default();
        self.slowdown = Slowdown::default();
    }

    /// Takes away every run, as when another executor is at the address.
    pub fn take_runs(&mut self) -> Vec<(TaskId, Run)> {
        let runs = std::mem::take(&mut self.runs);
        self.recount();
        runs.into_iter().collect()
    }

    /// Gets the tasks of a job that run there.
    pub fn tasks_of(&self, job: JobId) -> usize {
        self.runs.keys().filter(|task| task.job == job).count()
    }

    /// Tells whether the executor has a label, or none is asked for.
    pub fn has_label(&self, label: Option<&SmolStr>) -> bool {
        label.is_none_or(|label| self.facts.labels.contains(label))
    }
}

/// Executors by id.
pub(crate) type Executors = BTreeMap<ExecutorId, Executor>;
