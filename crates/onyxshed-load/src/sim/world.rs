//! The event loop: callers, entry hosts with their policies, and executors in virtual time.

mod fault;
mod host;
mod parts;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use onyxshed_core::{ExecutorName, Mono, Now, ResultCode, UnixMs, UpstreamName};
use onyxshed_policy::{AttemptOutcome, ExecutorInfo};

use parts::{Attempt, Event, Host, Job, executor_info};

use super::SimOptions;
use super::chooser::Rival;
use super::executor::{Health, ModelExecutor, Reached};
use super::scenario::Scenario;
use crate::mix::Mix;
use crate::plan::PlannedJob;
use crate::tally::{JobEnd, Tally, Wasted};

/// The zone.
#[derive(Debug, Clone)]
pub struct WorldOptions {
    /// Entry hosts.
    pub hosts: usize,
    /// Executors; their speeds go 1, 2, 4, 1, 2, 4 …
    pub executors: usize,
    /// Slots of each executor.
    pub slots: usize,
    /// One way between entry host and executor, in microseconds.
    pub upstream_us: u64,
    /// One way between caller and entry host, in microseconds.
    pub caller_us: u64,
}

impl Default for WorldOptions {
    fn default() -> Self {
        WorldOptions {
            hosts: 3,
            executors: 16,
            slots: 8,
            upstream_us: 250,
            caller_us: 1_000,
        }
    }
}

const SPEEDS: [f64; 3] = [0.25, 0.5, 1.0];

impl WorldOptions {
    /// Gets the work that all executors do in a second, in milliseconds of the fastest kind.
    pub fn capacity_ms_per_s(&self) -> f64 {
        let speeds = (0..self.executors).map(|place| SPEEDS[place % SPEEDS.len()]);
        speeds.sum::<f64>() * self.slots as f64 * 1_000.0
    }
}

/// What one run gave.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// Outcomes of the jobs that arrived in the middle third, and the messages wasted in it.
    pub tally: Tally,
    /// Jobs and deadline hits of the whole run, by the second of their arrival.
    pub by_second: BTreeMap<u64, (u64, u64)>,
}

/// One run.
pub struct World {
    options: WorldOptions,
    mix: Mix,
    scenario: Scenario,
    span_us: u64,
    now_us: u64,
    fault_is_on: bool,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    hosts: Vec<Host>,
    executors: Vec<ModelExecutor>,
    infos: Vec<ExecutorInfo>,
    places: BTreeMap<ExecutorName, usize>,
    attempts: Vec<Attempt>,
    jobs: Vec<Job>,
    result: RunResult,
    uncounted: Wasted,
}

/// The wall clock at the start of every run; any value does.
const WALL_START: UnixMs = UnixMs(1_700_000_000_000);
/// Executors of one rack.
const RACK: usize = 8;

impl World {
    /// Makes a world before its first arrival.
    pub fn new(
        options: &SimOptions,
        scenario: Scenario,
        rival: Rival,
        seed: u64,
        planned: Vec<PlannedJob>,
    ) -> Self {
        let world = options.world.clone();
        let upstream: UpstreamName = options
            .mix
            .upstream()
            .parse()
            .expect("the mixes' names keep the rules");
        let infos: Vec<_> = (0..world.executors)
            .map(|place| executor_info(place, world.slots, &upstream))
            .collect();
        let names = infos.iter().enumerate();
        let places = names.map(|(place, info)| (info.name.clone(), place));
        let speeds = (0..world.executors).map(|place| SPEEDS[place % SPEEDS.len()]);
        let mut made = World {
            mix: options.mix,
            scenario,
            span_us: micros(options.span_s),
            now_us: 0,
            fault_is_on: false,
            events: BinaryHeap::new(),
            sequence: 0,
            hosts: Vec::new(),
            executors: speeds
                .map(|speed| ModelExecutor::new(world.slots, speed))
                .collect(),
            places: places.collect(),
            infos,
            attempts: Vec::new(),
            jobs: planned.into_iter().map(Job::new).collect(),
            result: RunResult {
                tally: Tally::new(options.mix),
                by_second: BTreeMap::new(),
            },
            uncounted: Wasted::default(),
            options: world,
        };
        made.start_hosts(rival, seed, &upstream);
        made.schedule_all();
        made
    }

    fn schedule_all(&mut self) {
        for job in 0..self.jobs.len() {
            let at_us = self.jobs[job].planned.at_us + self.options.caller_us;
            self.at(at_us, Event::Arrive { job });
        }
        self.schedule_faults();
    }

    /// Runs until every job has ended.
    pub fn run(mut self) -> RunResult {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.now_us = at_us;
            self.handle(event);
        }
        self.result
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { job } => self.arrive(job),
            Event::Reach { attempt } => self.reach(attempt),
            Event::Leave { attempt } => self.leave(attempt),
            Event::Answer { attempt } => self.answer(attempt),
            Event::Stop { attempt } => self.stop(attempt),
            Event::Deadline { job } => self.deadline(job),
            Event::Wake { host } => self.wake(host),
            Event::FaultOn => self.fault_on(),
            Event::FaultOff => self.fault_off(),
            Event::FaultKnown => self.fault_known(),
            Event::CancelWave => self.cancel_wave(),
        }
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn after(&mut self, span_us: u64, event: Event) {
        self.at(self.now_us + span_us, event);
    }

    fn now(&self) -> Now {
        Now {
            mono: Mono(self.now_us),
            wall: UnixMs(WALL_START.0 + self.now_us / 1_000),
        }
    }

    fn reach(&mut self, attempt: usize) {
        let place = self.attempts[attempt].executor;
        match self.executors[place].reach(attempt) {
            Reached::Runs => self.begin(attempt),
            Reached::Waits | Reached::Swallowed => {}
            Reached::Refused => self.reply(attempt, AttemptOutcome::Refused),
            Reached::Unreachable => self.reply(attempt, AttemptOutcome::Unsent),
        }
    }

    /// Starts an attempt in the slot that it holds.
    fn begin(&mut self, attempt: usize) {
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
        let span_us = match self.is_poisoned(planned.class) {
            true => POISON_US,
            false => self.executors[executor].span_us(service_us),
        };
        self.attempts[attempt].service_us = span_us;
        self.after(span_us, Event::Leave { attempt });
    }

    fn leave(&mut self, attempt: usize) {
        let place = self.attempts[attempt].executor;
        if !self.executors[place].remove(attempt) {
            return;
        }
        let class = self.jobs[self.attempts[attempt].job].planned.class;
        let is_failing = self.executors[place].health == Health::Failing;
        let verdict = match is_failing || self.is_poisoned(class) {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Finished,
        };
        self.reply(attempt, verdict);
        self.fill(place);
    }

    /// Starts what waits, as far as slots are free.
    fn fill(&mut self, place: usize) {
        while let Some(next) = self.executors[place].next_start() {
            self.begin(next);
        }
    }

    fn reply(&mut self, attempt: usize, verdict: AttemptOutcome) {
        self.attempts[attempt].verdict = verdict;
        self.after(self.options.upstream_us, Event::Answer { attempt });
    }

    /// A stop reaches the executor; one that is silent or dead leaves the attempt to be held lost.
    fn stop(&mut self, attempt: usize) {
        let place = self.attempts[attempt].executor;
        if matches!(self.executors[place].health, Health::Silent | Health::Dead) {
            self.attempts[attempt].verdict = AttemptOutcome::Lost;
            self.after(STOP_TIMEOUT_US, Event::Answer { attempt });
            return;
        }
        if self.executors[place].remove(attempt) {
            self.reply(attempt, AttemptOutcome::Stopped);
            self.fill(place);
        }
    }

    /// Gets where wasted messages are counted just now: those outside the middle third are not.
    fn wasted(&mut self) -> &mut Wasted {
        match self.is_in_middle(self.now_us) {
            true => &mut self.result.tally.wasted,
            false => &mut self.uncounted,
        }
    }

    fn is_in_middle(&self, at_us: u64) -> bool {
        (self.span_us / 3..2 * self.span_us / 3).contains(&at_us)
    }

    fn record(&mut self, job: usize, code: Option<ResultCode>) {
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
        self.jobs[job].is_over = true;
        if is_counted {
            self.result.tally.record(&end);
        }
        let count = self.result.by_second.entry(second).or_default();
        count.0 += 1;
        let is_hit = code == Some(ResultCode::Complete) && end.took_us <= end.finish_within_us;
        count.1 += u64::from(is_hit);
    }
}

/// How long a stop is waited for before the attempt is held lost.
const STOP_TIMEOUT_US: u64 = 500_000;
/// How soon a task that can never run fails.
const POISON_US: u64 = 5_000;

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a run lasts minutes"
)]
fn micros(span_s: f64) -> u64 {
    (span_s * 1e6) as u64
}
