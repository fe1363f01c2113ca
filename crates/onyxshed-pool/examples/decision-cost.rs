//! Measures the processor time of a pool's decisions per event while jobs are queued.
//!
//! Drives a full pool directly. Each event is a submitted job or a report of an ended run, followed
//! by a load report, since every answer to an entry host contains one. Prints microseconds per
//! event by the numbers of executors and waiting jobs.
//!
//! Events are comparable between sizes: all jobs have the same number of tasks, and their order in the
//! queue does not depend on their demand, so the pool runs the same mixture however long the queue is.

use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

use onyxshed_core::{CallerId, Millis, Mono, UnixMs};
use onyxshed_pool::{
    Action, ClassId, ExecutorFacts, ExecutorId, ExecutorLists, ExecutorReport, FencingToken,
    FinishedRun, HoldAnswer, JobId, JobRequest, OverloadMode, OverloadState, PeerIncarnation, Pool,
    PoolOptions, Resources, RunEnd, RunningRun, Session, StartAnswer, StartOrder, SubmissionNumber,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Classes of the jobs.
const CLASSES: [&str; 3] = ["many", "long", "pairs"];

const OWN: PeerIncarnation = PeerIncarnation(1);

/// Number of events measured at each size.
const EVENTS: u32 = 4_000;

/// Number of measurements at each size, of which the least counts: other processes only add time.
const MEASUREMENTS: u32 = 5;

/// Simulated time between two events, in microseconds.
const STEP_US: u64 = 20;

/// Simulated time between two ticks, in microseconds.
const TICK_US: u64 = 20_000;

/// A pool whose runs end on demand, and the runs that execute, oldest first.
struct Harness {
    pool: Pool,
    rng: SmallRng,
    now: Mono,
    next_job: u64,
    /// Jobs of which no task has started.
    waiting: BTreeSet<JobId>,
    running: VecDeque<(ExecutorId, StartOrder)>,
    ends: u64,
    next_event: u64,
}

impl Harness {
    fn new(executors: u64, overload: OverloadMode) -> Self {
        let now = Mono(1_000_000);
        let options = PoolOptions {
            overload,
            ..PoolOptions::default()
        };
        let pool = Pool::new(now, FencingToken(16), OWN, options);
        let mut harness = Harness {
            pool,
            rng: SmallRng::seed_from_u64(executors),
            now,
            next_job: 0,
            waiting: BTreeSet::new(),
            running: VecDeque::new(),
            ends: 0,
            next_event: 0,
        };
        for number in 0..executors {
            let id = ExecutorId(format!("i-{number:010x}").into());
            harness
                .pool
                .record_listed_executor(now, id.clone(), facts(number));
            harness.report(&id, Vec::new(), Vec::new());
        }
        harness
    }

    /// Returns the mean time of [`EVENTS`] events in microseconds. `submits` selects those that submit a job;
    /// the others complete a run.
    fn time_events(&mut self, submits: impl Fn(&Harness) -> bool) -> f64 {
        let started_at = Instant::now();
        for _ in 0..EVENTS {
            self.next_event += 1;
            match submits(self) {
                true => self.submit(),
                false => self.complete_oldest(),
            }
            self.pool.load(self.now);
            self.advance();
        }
        started_at.elapsed().as_secs_f64() * 1e6 / f64::from(EVENTS)
    }

    fn submit(&mut self) {
        let cpu_millis = self.rng.random_range(20_000..45_000);
        let work = self.rng.random_range(2_000_000..30_000_000);
        self.next_job += 1;
        let estimate = Millis(work / u64::from(cpu_millis));
        let request = JobRequest {
            class: ClassId(CLASSES[self.rng.random_range(0..CLASSES.len())].into()),
            ..job(self.next_job, cpu_millis, estimate)
        };
        self.waiting.insert(request.job);
        let actions = self.pool.submit(self.now, Session(0), request);
        self.apply_actions(actions);
    }

    /// Completes the run that has executed longest.
    fn complete_oldest(&mut self) {
        let Some((id, order)) = self.running.pop_front() else {
            return;
        };
        self.ends += 1;
        let finished = FinishedRun {
            number: self.ends,
            task: order.task,
            run: order.run,
            end: RunEnd::Done,
        };
        let same = self.running.iter().filter(|(other, _)| *other == id);
        let running = same.map(|(_, order)| RunningRun {
            task: order.task,
            run: order.run,
            progress: None,
        });
        let running = running.collect();
        self.report(&id, running, vec![finished]);
    }

    fn report(&mut self, id: &ExecutorId, running: Vec<RunningRun>, finished: Vec<FinishedRun>) {
        let lists = ExecutorLists {
            clock: UnixMs(self.now.0 / 1_000),
            started_at: Some(UnixMs(1)),
            listed_to: self.ends,
            running,
            finished,
        };
        let answer = HoldAnswer::Report(ExecutorReport::Lists(lists));
        let actions = self.pool.apply_hold_answer(self.now, id, self.now, answer);
        self.apply_actions(actions);
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::End { job, .. } = &action {
                self.waiting.remove(job);
            }
            if let Action::Start(id, order) = action {
                self.waiting.remove(&order.task.job);
                let answer = StartAnswer::Started { clock: None };
                let (task, run) = (order.task, order.run);
                let next = self
                    .pool
                    .apply_start_answer(self.now, &id, task, run, &answer);
                self.running.push_back((id, order));
                self.apply_actions(next);
            }
        }
    }

    fn advance(&mut self) {
        self.now = Mono(self.now.0 + STEP_US);
        if self.now.0.is_multiple_of(TICK_US) {
            let actions = self.pool.tick(self.now);
            self.apply_actions(actions);
        }
    }
}

fn job(number: u64, cpu_millis: u32, estimate: Millis) -> JobRequest {
    /// Objective and caller's waiting time, long enough that no job is late or rejected.
    const LONG: Millis = Millis(3_600_000);
    JobRequest {
        peer: OWN,
        submission: SubmissionNumber(number),
        job: JobId(number),
        upstream: "desk".into(),
        spec: "spec".into(),
        tasks: 4,
        demand: Resources {
            cpu_millis,
            memory_mb: 64,
            accelerators: 0,
        },
        estimate,
        attempts_max: 3,
        stretch_millis: 1_600,
        objective: LONG,
        elapsed: Millis(0),
        time_left: LONG,
        label: None,
        data_rack: None,
        per_executor_max: None,
        class: ClassId("desk".into()),
        priority: 0,
        caller: CallerId::UNKNOWN,
        transfers: 0,
    }
}

fn facts(number: u64) -> ExecutorFacts {
    let cores = if number % 3 == 2 { 96 } else { 64 };
    ExecutorFacts {
        address: "10.0.0.1:80".parse().expect("a socket address"),
        upstream: "desk".into(),
        capacity: Resources {
            cpu_millis: cores * 1_000,
            memory_mb: 262_144,
            accelerators: 0,
        },
        labels: vec!["a".into()],
        rack: None,
        is_draining: false,
        started_at: Some(UnixMs(1)),
    }
}

/// Returns the mean time per event in microseconds, with `jobs` waiting jobs in the pool.
fn measure(executors: u64, jobs: usize) -> f64 {
    let mut harness = Harness::new(executors, OverloadMode::Off);
    while harness.waiting.len() < jobs {
        harness.submit();
    }
    harness.time_events(|harness| harness.waiting.len() < jobs)
}

/// Returns the mean time per event in microseconds in an overloaded pool, which refuses jobs that would
/// wait too long, so that its queue stays short. `load` jobs arrive for each run that ends.
fn measure_overloaded(executors: u64, load: u64) -> f64 {
    let mut harness = Harness::new(executors, OverloadMode::On);
    let state = OverloadState::Overloaded;
    let actions = harness.pool.enter_state(harness.now, state);
    harness.apply_actions(actions);
    for _ in 0..4 * executors {
        harness.submit();
    }
    harness.time_events(|harness| !harness.next_event.is_multiple_of(load + 1))
}

fn main() {
    println!("executors   jobs  us an event");
    for executors in [16, 117, 350] {
        for jobs in [100, 1_000, 10_000] {
            let cost = least(|| measure(executors, jobs));
            println!("{executors:>9}  {jobs:>5}  {cost:>11.1}");
        }
    }
    println!("executors  jobs a run, overloaded  us an event");
    for executors in [16, 117, 350] {
        for load in [1, 3] {
            let cost = least(|| measure_overloaded(executors, load));
            println!("{executors:>9}  {load:>22}  {cost:>11.1}");
        }
    }
}

fn least(measure: impl Fn() -> f64) -> f64 {
    let costs = (0..MEASUREMENTS).map(|_| measure());
    costs.fold(f64::INFINITY, f64::min)
}
