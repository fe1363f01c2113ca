//! Simulation of owners, entry hosts, executors and callers in virtual time, with faults.
//!
//! Each message takes about a millisecond; orders may lose their answers and be executed seconds later.
//! The simulation checks at each start that no other run of the task executes on an executor that is up,
//! and at the end that jobs answered with "not run" have not run.

mod callers;
mod executors;
mod faults;
mod owners;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use onyxshed_core::{Micros, Millis, Mono};
use onyxshed_pool::{
    ExecutorId, HoldAnswer, HoldOrder, JobEnd, JobId, JobRequest, PeerIncarnation, Pool,
    PoolOptions, RunNumber, Session, StartAnswer, StartOrder, StopAnswer, StopOrder,
    SubmissionNumber, TaskId,
};
use onyxshed_standins::fleet::RunBook;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub use faults::Fault;

/// Time until a caller resubmits a job with an unknown outcome.
const RESEND: Millis = Millis(1_300);

/// Maximum number of submissions of a job by its caller.
const SENDS_MAX: u32 = 4;

/// Time-outs for answers.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// For start and stop orders.
    pub order: Millis,
    /// For reports, in addition to the wait of the hold order.
    pub report: Millis,
}

impl Patience {
    /// The hosts' time-outs.
    pub const OF_HOSTS: Patience = Patience {
        order: Millis(40),
        report: Millis(50),
    };

    /// Longer time-outs, for which the seeds of the searches without handovers were chosen.
    pub const LONG: Patience = Patience {
        order: Millis(100),
        report: Millis(120),
    };
}

const HEARTBEAT: Millis = Millis(150);
const LINK_SILENCE: Millis = Millis(450);
const TICK: Millis = Millis(20);
const HANDOVER_MAX: Millis = Millis(4_000);

/// Index of an owner. Each change of ownership adds an owner.
type OwnerIndex = usize;

#[derive(Debug, Clone)]
enum Order {
    Start(StartOrder),
    Stop(StopOrder),
    Hold(HoldOrder),
}

#[derive(Debug, Clone)]
enum Answer {
    Start(StartAnswer),
    Stop(StopAnswer),
    Hold(HoldAnswer),
}

#[derive(Debug, Clone)]
enum Event {
    Tick(OwnerIndex),
    /// An order arrives at an executor. An order with number 0 is not answered.
    Arrives(OwnerIndex, ExecutorId, Order, u64),
    /// The wait of a hold order is over.
    WaitOver(OwnerIndex, ExecutorId, u64),
    Answered(OwnerIndex, ExecutorId, u64, Answer),
    TimedOut(OwnerIndex, ExecutorId, u64),
    RunOver(ExecutorId, TaskId, RunNumber, u64),
    Lapse(ExecutorId),
    Heartbeat(usize),
    Sent(JobId),
    /// A new owner queries its predecessor for the executors that are still in use.
    Release(OwnerIndex, OwnerIndex, Mono),
    /// The predecessor's answer to such a query arrives.
    Held(OwnerIndex, OwnerIndex, Mono, BTreeSet<ExecutorId>),
    Ended(usize, SubmissionNumber, JobId, JobEnd),
    Fault(Fault),
}

struct Owner {
    pool: Pool,
    frozen_until: Mono,
    is_dead: bool,
    awaited: BTreeMap<u64, (ExecutorId, Order, Mono)>,
}

struct Entry {
    life: PeerIncarnation,
    session: Session,
    /// Time of the last contact with each owner.
    heard: BTreeMap<OwnerIndex, Mono>,
    frozen_until: Mono,
}

/// A caller's job.
pub struct Call {
    pub request: JobRequest,
    pub class: usize,
    pub true_ms: Vec<u64>,
    pub sent_first: Mono,
    pub sends: u32,
    pub entry: usize,
    /// Owner to which the job was last submitted.
    owner: OwnerIndex,
    pub submission: SubmissionNumber,
    pub is_open: bool,
    pub ended: Option<(Mono, JobEnd)>,
    pub all_not_run: bool,
    pub started: bool,
}

/// Faults of messages and their end.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trouble {
    /// Share of orders that get no answer and are executed 2 to 12 s later.
    pub applied_late: f64,
    /// Share of orders that are executed but whose answers are lost.
    pub answer_lost: f64,
    /// Time at which the faults end.
    pub until: Mono,
}

pub struct World {
    pub now: Mono,
    pub calls: BTreeMap<JobId, Call>,
    pub executors: BTreeMap<ExecutorId, RunBook>,
    pub trouble: Trouble,
    pub patience: Patience,
    pub thrown_away: Micros,
    queue: BinaryHeap<Reverse<(Mono, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event: u64,
    last_order: u64,
    last_submission: u64,
    last_life: u64,
    token: u64,
    owners: Vec<Owner>,
    entries: Vec<Entry>,
    cut_until: BTreeMap<ExecutorId, Mono>,
    holding: BTreeMap<(ExecutorId, u64), OwnerIndex>,
    started_at: BTreeMap<TaskId, Mono>,
    rng: SmallRng,
    options: PoolOptions,
    /// Events of each task, printed when a check fails.
    trace: Vec<(Mono, TaskId, String)>,
}

impl World {
    pub fn new(seed: u64, executors: Vec<RunBook>, entries: usize) -> Self {
        let named = executors
            .into_iter()
            .enumerate()
            .map(|(index, executor)| (ExecutorId(format!("x{index}").into()), executor));
        let mut world = World {
            now: Mono(1_000_000),
            calls: BTreeMap::new(),
            executors: named.collect(),
            trouble: Trouble::default(),
            patience: Patience::LONG,
            thrown_away: Micros(0),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            last_order: 0,
            last_submission: 0,
            last_life: 100,
            token: 0,
            owners: Vec::new(),
            entries: Vec::new(),
            cut_until: BTreeMap::new(),
            holding: BTreeMap::new(),
            started_at: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            options: PoolOptions::default(),
            trace: Vec::new(),
        };
        for index in 0..entries {
            let life = world.new_life();
            world.entries.push(Entry {
                life,
                session: Session(0),
                heard: BTreeMap::new(),
                frozen_until: Mono(0),
            });
            world.after(Millis(0), Event::Heartbeat(index));
        }
        world.new_owner();
        world
    }

    fn new_life(&mut self) -> PeerIncarnation {
        self.last_life += 1;
        PeerIncarnation(self.last_life)
    }

    fn log(&mut self, task: TaskId, words: String) {
        self.trace.push((self.now, task, words));
    }

    fn after(&mut self, span: Millis, event: Event) {
        self.at(self.now + span, event);
    }

    fn at(&mut self, at: Mono, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue.push(Reverse((at, self.last_event)));
    }

    fn travel(&mut self) -> Micros {
        Micros(self.rng.random_range(400..1_600))
    }

    /// Schedules a fault.
    pub fn plan(&mut self, at: Mono, fault: Fault) {
        self.at(at, Event::Fault(fault));
    }

    /// Schedules a caller's job.
    pub fn plan_call(&mut self, at: Mono, class: usize, request: JobRequest, true_ms: Vec<u64>) {
        let job = request.job;
        let call = Call {
            request,
            class,
            true_ms,
            sent_first: at,
            sends: 0,
            entry: 0,
            owner: 0,
            submission: SubmissionNumber(0),
            is_open: false,
            ended: None,
            all_not_run: true,
            started: false,
        };
        self.calls.insert(job, call);
        self.at(at, Event::Sent(job));
    }

    /// Runs the simulation until a time.
    pub fn play(&mut self, until: Mono) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    fn current(&self) -> OwnerIndex {
        self.owners.len() - 1
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(owner) => self.tick(owner),
            Event::Arrives(owner, id, order, number) => self.arrives(owner, id, order, number),
            Event::WaitOver(owner, id, number) => {
                if self.holding.remove(&(id.clone(), number)).is_some() {
                    self.report(owner, id, number);
                }
            }
            Event::Answered(owner, id, number, answer) => self.answered(owner, id, number, answer),
            Event::TimedOut(owner, id, number) => self.timed_out(owner, id, number),
            Event::RunOver(id, task, number, born) => self.run_over(&id, task, number, born),
            Event::Lapse(id) => self.lapse(&id),
            Event::Heartbeat(entry) => self.heartbeat(entry),
            Event::Sent(job) => self.sent(job),
            Event::Release(last, next, over_at) => self.release(last, next, over_at),
            Event::Held(last, next, over_at, held) => self.held(last, next, over_at, held),
            Event::Ended(entry, submission, job, end) => self.ended(entry, submission, job, end),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    /// Checks at the end that every job has an answer, that jobs answered with "not run" have not run, and
    /// that no run executes any more.
    pub fn check_answers(&self) {
        for (job, call) in &self.calls {
            let (_, end) = call.ended.unwrap_or_else(|| panic!("{job} has no answer"));
            if matches!(end, JobEnd::NotRun(..)) && call.all_not_run {
                assert!(!call.started, "{job} was answered \"not run\" and ran");
            }
        }
        let at_work: BTreeSet<TaskId> = self
            .executors
            .values()
            .flat_map(|executor| executor.runs.keys().copied())
            .collect();
        assert!(at_work.is_empty(), "still at work: {at_work:?}");
    }
}
