//! The event loop of the simulation: callers, entry hosts with their policies, and executors in
//! virtual time.

mod fault;
mod host;
mod parts;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use onyxshed_core::{ExecutorName, Mono, Now, ResultCode, UnixMs, UpstreamName};
use onyxshed_policy::{AttemptOutcome, ExecutorInfo};

use parts::{Attempt, Event, Host, Job, executor_info};

use super::SimOptions;
use super::executor::{Health, ModelExecutor, StartOutcome};
use super::policies::PolicyKind;
use super::scenario::Scenario;
use crate::mix::Mix;
use crate::plan::PlannedJob;
use crate::tally::{JobEnd, Tally, Wasted};

/// Size and network delays of the simulated zone.
#[derive(Debug, Clone)]
pub struct ZoneOptions {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of executors; their speeds are in the ratio 1:2:4 in turn.
    pub executors: usize,
    /// Number of slots of each executor.
    pub slots: usize,
    /// One-way delay between an entry host and an executor, in microseconds.
    pub upstream_us: u64,
    /// One-way delay between a caller and an entry host, in microseconds.
    pub caller_us: u64,
}

impl Default for ZoneOptions {
    fn default() -> Self {
        ZoneOptions {
            hosts: 3,
            executors: 16,
            slots: 8,
            upstream_us: 250,
            caller_us: 1_000,
        }
    }
}

const SPEEDS: [f64; 3] = [0.25, 0.5, 1.0];

impl ZoneOptions {
    /// Returns the work that all executors together do per second, in milliseconds of service time
    /// on the fastest kind.
    pub fn capacity_ms_per_s(&self) -> f64 {
        let speeds = (0..self.executors).map(|index| SPEEDS[index % SPEEDS.len()]);
        speeds.sum::<f64>() * self.slots as f64 * 1_000.0
    }
}

/// Results of one run.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// Ends of the jobs that arrived in the middle third, and the messages wasted in that time.
    pub tally: Tally,
    /// Numbers of jobs and of hits (jobs complete within the target) by the second of their planned
    /// arrival, over the whole run.
    pub by_second: BTreeMap<u64, (u64, u64)>,
}

/// The state of one simulated run.
pub struct Simulation {
    options: ZoneOptions,
    mix: Mix,
    scenario: Scenario,
    span_us: u64,
    now_us: u64,
    is_fault_active: bool,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    hosts: Vec<Host>,
    executors: Vec<ModelExecutor>,
    executor_infos: Vec<ExecutorInfo>,
    executor_indexes: BTreeMap<ExecutorName, usize>,
    attempts: Vec<Attempt>,
    jobs: Vec<Job>,
    result: RunResult,
    uncounted_wasted: Wasted,
}

/// Wall clock at the start of every run. No result depends on its value.
const WALL_START: UnixMs = UnixMs(1_700_000_000_000);
/// Number of executors in one rack.
const RACK: usize = 8;

impl Simulation {
    /// Creates a simulation in which the arrivals of all planned jobs and the scenario's fault are
    /// scheduled.
    pub fn new(
        options: &SimOptions,
        scenario: Scenario,
        policy_kind: PolicyKind,
        seed: u64,
        planned: Vec<PlannedJob>,
    ) -> Self {
        let zone = options.zone.clone();
        let upstream: UpstreamName = options
            .mix
            .upstream()
            .parse()
            .expect("the mixes' names are valid");
        let executor_infos: Vec<_> = (0..zone.executors)
            .map(|index| executor_info(index, zone.slots, &upstream))
            .collect();
        let names = executor_infos.iter().enumerate();
        let executor_indexes = names.map(|(index, info)| (info.name.clone(), index));
        let speeds = (0..zone.executors).map(|index| SPEEDS[index % SPEEDS.len()]);
        let mut simulation = Simulation {
            mix: options.mix,
            scenario,
            span_us: micros(options.span_s),
            now_us: 0,
            is_fault_active: false,
            events: BinaryHeap::new(),
            sequence: 0,
            hosts: Vec::new(),
            executors: speeds
                .map(|speed| ModelExecutor::new(zone.slots, speed))
                .collect(),
            executor_indexes: executor_indexes.collect(),
            executor_infos,
            attempts: Vec::new(),
            jobs: planned.into_iter().map(Job::new).collect(),
            result: RunResult {
                tally: Tally::new(options.mix),
                by_second: BTreeMap::new(),
            },
            uncounted_wasted: Wasted::default(),
            options: zone,
        };
        simulation.start_hosts(policy_kind, seed, &upstream);
        simulation.schedule_all();
        simulation
    }

    fn schedule_all(&mut self) {
        for job in 0..self.jobs.len() {
            let at_us = self.jobs[job].planned.at_us + self.options.caller_us;
            self.schedule_at(at_us, Event::JobArrival { job });
        }
        self.schedule_faults();
    }

    /// Runs until no event is left, when every job has ended, and returns the results.
    pub fn run(mut self) -> RunResult {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.now_us = at_us;
            self.handle(event);
        }
        self.result
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::JobArrival { job } => self.deliver_job(job),
            Event::StartDelivery { attempt } => self.deliver_start(attempt),
            Event::RunEnd { attempt } => self.end_run(attempt),
            Event::AnswerDelivery { attempt } => self.deliver_answer(attempt),
            Event::StopDelivery { attempt } => self.deliver_stop(attempt),
            Event::Deadline { job } => self.check_deadline(job),
            Event::Wake { host } => self.wake_host(host),
            Event::FaultStart => self.start_fault(),
            Event::FaultEnd => self.end_fault(),
            Event::FaultDetection => self.detect_fault(),
            Event::CancelWave => self.cancel_jobs(),
        }
    }

    fn schedule_at(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn schedule_after(&mut self, span_us: u64, event: Event) {
        self.schedule_at(self.now_us + span_us, event);
    }

    fn now(&self) -> Now {
        Now {
            mono: Mono(self.now_us),
            wall: UnixMs(WALL_START.0 + self.now_us / 1_000),
        }
    }

    fn deliver_start(&mut self, attempt: usize) {
        let executor = self.attempts[attempt].executor;
        match self.executors[executor].receive_start(attempt) {
            StartOutcome::Running => self.start_run(attempt),
            StartOutcome::Queued | StartOutcome::Unanswered => {}
            StartOutcome::Refused => self.send_answer(attempt, AttemptOutcome::Refused),
            StartOutcome::Unreachable => self.send_answer(attempt, AttemptOutcome::Unsent),
        }
    }

    /// Starts the run of an attempt that has a slot, and schedules the end of the run.
    fn start_run(&mut self, attempt: usize) {
        let Attempt {
            executor,
            job,
            task,
            ..
        } = self.attempts[attempt];
        let planned = &self.jobs[job].planned;
        let service_ms = planned.service_ms[usize::from(task.index)];
        let factor = self.service_factor(planned.class);
        let service_us = f64::from(service_ms) * 1_000.0 * factor;
        let run_time_us = match self.is_unrunnable(planned.class) {
            true => UNRUNNABLE_FAILS_AFTER_US,
            false => self.executors[executor].run_time_us(service_us),
        };
        self.attempts[attempt].service_us = run_time_us;
        self.schedule_after(run_time_us, Event::RunEnd { attempt });
    }

    fn end_run(&mut self, attempt: usize) {
        let executor = self.attempts[attempt].executor;
        if !self.executors[executor].remove(attempt) {
            return;
        }
        let class = self.jobs[self.attempts[attempt].job].planned.class;
        let is_executor_failing = self.executors[executor].health == Health::Failing;
        let outcome = match is_executor_failing || self.is_unrunnable(class) {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Finished,
        };
        self.send_answer(attempt, outcome);
        self.start_queued(executor);
    }

    /// Starts queued attempts while slots are free.
    fn start_queued(&mut self, executor: usize) {
        while let Some(next) = self.executors[executor].start_next() {
            self.start_run(next);
        }
    }

    fn send_answer(&mut self, attempt: usize, outcome: AttemptOutcome) {
        self.attempts[attempt].outcome = outcome;
        self.schedule_after(self.options.upstream_us, Event::AnswerDelivery { attempt });
    }

    /// Delivers a stop request to an executor. An executor that is unresponsive or down does not
    /// answer it, and the attempt counts as lost after a timeout.
    fn deliver_stop(&mut self, attempt: usize) {
        let executor = self.attempts[attempt].executor;
        if matches!(
            self.executors[executor].health,
            Health::Unresponsive | Health::Down
        ) {
            self.attempts[attempt].outcome = AttemptOutcome::Lost;
            self.schedule_after(STOP_TIMEOUT_US, Event::AnswerDelivery { attempt });
            return;
        }
        if self.executors[executor].remove(attempt) {
            self.send_answer(attempt, AttemptOutcome::Stopped);
            self.start_queued(executor);
        }
    }

    /// Returns the counts to which a message wasted now is added: the reported ones in the middle
    /// third of the run, otherwise those that are discarded.
    fn wasted(&mut self) -> &mut Wasted {
        match self.is_in_middle(self.now_us) {
            true => &mut self.result.tally.wasted,
            false => &mut self.uncounted_wasted,
        }
    }

    fn is_in_middle(&self, at_us: u64) -> bool {
        (self.span_us / 3..2 * self.span_us / 3).contains(&at_us)
    }

    fn record_job_end(&mut self, job: usize, code: Option<ResultCode>) {
        let planned = &self.jobs[job].planned;
        let load = &self.mix.classes()[planned.class];
        let network_us = 2 * (self.options.caller_us + self.options.upstream_us);
        let end = JobEnd {
            class: planned.class,
            tasks: planned.service_ms.len() as u64,
            code,
            took_us: self.now_us + self.options.caller_us - planned.at_us,
            ideal_us: u64::from(planned.longest_ms()) * 1_000 + network_us,
            finish_within_us: u64::from(load.finish_within_ms) * 1_000 + network_us,
        };
        let second = planned.at_us / 1_000_000;
        let is_counted = self.is_in_middle(planned.at_us);
        self.jobs[job].has_ended = true;
        if is_counted {
            self.result.tally.record(&end);
        }
        let count = self.result.by_second.entry(second).or_default();
        count.0 += 1;
        let is_hit = code == Some(ResultCode::Complete) && end.took_us <= end.finish_within_us;
        count.1 += u64::from(is_hit);
    }
}

/// Time after which an unanswered stop request counts its attempt as lost.
const STOP_TIMEOUT_US: u64 = 500_000;
/// Time after which a task of an unrunnable class fails.
const UNRUNNABLE_FAILS_AFTER_US: u64 = 5_000;

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a run lasts minutes"
)]
fn micros(span_s: f64) -> u64 {
    (span_s * 1e6) as u64
}
