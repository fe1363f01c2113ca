//! Simulation of owners, entry hosts, executors and callers in virtual time, with faults.
//!
//! Each message takes about a millisecond. An order may be executed seconds late without an answer,
//! or on time with its answer lost.
//!
//! The simulation checks at each start that no other run of the task executes on an executor that is up, at
//! each start order that the task is not for another kind of executor than the owner can know of, and at the
//! end that no job has run of which every submission was answered with "not run".

mod callers;
mod entries;
mod executors;
mod faults;
mod owners;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use onyxshed_core::{Micros, Millis, Mono};
use onyxshed_pool::{
    ExecutorId, HoldAnswer, HoldOrder, JobEnd, JobId, JobRequest, LevelTable, PeerIncarnation,
    Pool, PoolOptions, RunNumber, Session, StartAnswer, StartOrder, StopAnswer, StopOrder,
    SubmissionNumber, TaskId,
};
use onyxshed_standins::fleet::ExecutorModel;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub use entries::kind_label;
pub use faults::Fault;

/// Time until a caller resubmits a job with an unknown outcome.
const RESUBMIT_AFTER: Millis = Millis(1_300);

/// Maximum number of submissions of a job by its caller.
const SUBMISSIONS_MAX: u32 = 4;

/// How long an owner waits for the answer to an order before it counts as missing.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time-out for start and stop orders, from their sending.
    pub order: Millis,
    /// Time-out for reports, in addition to the wait of the hold order.
    pub report: Millis,
}

impl Timeouts {
    /// Time-outs that hosts use in operation.
    pub const HOST: Timeouts = Timeouts {
        order: Millis(40),
        report: Millis(50),
    };

    /// Longer time-outs, which the fixed seeds of the first searches require.
    pub const LONG: Timeouts = Timeouts {
        order: Millis(100),
        report: Millis(120),
    };
}

const HEARTBEAT: Millis = Millis(150);
const LINK_TIMEOUT: Millis = Millis(450);
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
    OrderArrived(OwnerIndex, ExecutorId, Order, u64),
    /// The wait of a hold order is over.
    HoldWaitOver(OwnerIndex, ExecutorId, u64),
    AnswerArrived(OwnerIndex, ExecutorId, u64, Answer),
    OrderTimedOut(OwnerIndex, ExecutorId, u64),
    RunEnded(ExecutorId, TaskId, RunNumber, u64),
    LeaseExpired(ExecutorId),
    Heartbeat(usize),
    Submitted(JobId),
    /// A new owner queries its predecessor for the executors that are still in use.
    ReleaseRequested(OwnerIndex, OwnerIndex, Mono),
    /// The predecessor's answer to such a query arrives.
    HeldExecutors(OwnerIndex, OwnerIndex, Mono, BTreeSet<ExecutorId>),
    Ended(usize, SubmissionNumber, JobId, JobEnd),
    /// An owner reads the entry of an executor.
    EntryRead(OwnerIndex, ExecutorId),
    Fault(Fault),
}

struct Owner {
    pool: Pool,
    paused_until: Mono,
    is_stopped: bool,
    pending_orders: BTreeMap<u64, (ExecutorId, Order, Mono)>,
}

struct EntryHost {
    incarnation: PeerIncarnation,
    session: Session,
    /// Time of the last contact with each owner.
    last_contact: BTreeMap<OwnerIndex, Mono>,
    levels: LevelTable,
    paused_until: Mono,
}

/// A job of a caller, with its latest submission and its answer.
pub struct Call {
    pub request: JobRequest,
    pub class: usize,
    pub true_ms: Vec<u64>,
    pub first_sent_at: Mono,
    pub submissions: u32,
    pub entry: usize,
    /// Owner to which the job was last submitted.
    owner: OwnerIndex,
    pub submission: SubmissionNumber,
    pub is_open: bool,
    pub ended: Option<(Mono, JobEnd)>,
    pub all_not_run: bool,
    pub started: bool,
}

/// Faults of orders and their answers, injected until a given time.
#[derive(Debug, Clone, Copy, Default)]
pub struct MessageFaults {
    /// Share of orders that get no answer and are executed 2 to 12 s later.
    pub late_share: f64,
    /// Share of orders that are executed but whose answers are lost.
    pub lost_answer_share: f64,
    /// Time at which the faults end.
    pub until: Mono,
}

pub struct Simulation {
    pub now: Mono,
    pub calls: BTreeMap<JobId, Call>,
    pub executors: BTreeMap<ExecutorId, ExecutorModel>,
    pub message_faults: MessageFaults,
    pub timeouts: Timeouts,
    pub wasted_run_time: Micros,
    queue: BinaryHeap<Reverse<(Mono, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event: u64,
    last_order: u64,
    last_submission: u64,
    last_incarnation: u64,
    token: u64,
    owners: Vec<Owner>,
    entries: Vec<EntryHost>,
    unreachable_until: BTreeMap<ExecutorId, Mono>,
    pending_holds: BTreeMap<(ExecutorId, u64), OwnerIndex>,
    started_at: BTreeMap<TaskId, Mono>,
    /// Start time of the incarnation of an executor that an owner has last had a report of.
    reported: BTreeMap<(OwnerIndex, ExecutorId), u64>,
    rng: SmallRng,
    options: PoolOptions,
    /// Whether entry hosts apply the levels of admission that owners report.
    pub applies_levels: bool,
    /// Whether the kept totals and indexes are compared with walks at each tick, which takes most of the
    /// time of a large pool.
    pub checks_indexes: bool,
    /// Number of submissions that reached an owner.
    pub owner_calls: u32,
    /// Events of each task, printed when a check fails.
    trace: Vec<(Mono, TaskId, String)>,
}

impl Simulation {
    pub fn new(seed: u64, executors: Vec<ExecutorModel>, entries: usize) -> Self {
        Simulation::with_options(seed, executors, entries, PoolOptions::default())
    }

    /// Creates a simulation whose owners have the given options.
    pub fn with_options(
        seed: u64,
        executors: Vec<ExecutorModel>,
        entries: usize,
        options: PoolOptions,
    ) -> Self {
        let named = executors
            .into_iter()
            .enumerate()
            .map(|(index, executor)| (ExecutorId(format!("x{index}").into()), executor));
        let mut simulation = Simulation {
            now: Mono(1_000_000),
            calls: BTreeMap::new(),
            executors: named.collect(),
            message_faults: MessageFaults::default(),
            timeouts: Timeouts::LONG,
            wasted_run_time: Micros(0),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            last_order: 0,
            last_submission: 0,
            last_incarnation: 100,
            token: 0,
            owners: Vec::new(),
            entries: Vec::new(),
            unreachable_until: BTreeMap::new(),
            pending_holds: BTreeMap::new(),
            started_at: BTreeMap::new(),
            reported: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            options,
            applies_levels: false,
            checks_indexes: true,
            owner_calls: 0,
            trace: Vec::new(),
        };
        for index in 0..entries {
            let incarnation = simulation.new_incarnation();
            simulation.entries.push(EntryHost {
                incarnation,
                session: Session(0),
                last_contact: BTreeMap::new(),
                levels: LevelTable::default(),
                paused_until: Mono(0),
            });
            simulation.schedule_after(Millis(0), Event::Heartbeat(index));
        }
        simulation.new_owner();
        simulation
    }

    fn new_incarnation(&mut self) -> PeerIncarnation {
        self.last_incarnation += 1;
        PeerIncarnation(self.last_incarnation)
    }

    fn log(&mut self, task: TaskId, text: String) {
        self.trace.push((self.now, task, text));
    }

    fn schedule_after(&mut self, span: Millis, event: Event) {
        self.schedule_at(self.now + span, event);
    }

    fn schedule_at(&mut self, at: Mono, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue.push(Reverse((at, self.last_event)));
    }

    fn transit_time(&mut self) -> Micros {
        Micros(self.rng.random_range(400..1_600))
    }

    /// Schedules a fault to be injected at the time `at`.
    pub fn schedule_fault(&mut self, at: Mono, fault: Fault) {
        self.schedule_at(at, Event::Fault(fault));
    }

    /// Schedules the first submission of a caller's job at the time `at`. `true_ms` are the run
    /// times of its tasks on an executor of speed 1.
    pub fn schedule_call(
        &mut self,
        at: Mono,
        class: usize,
        request: JobRequest,
        true_ms: Vec<u64>,
    ) {
        let job = request.job;
        let call = Call {
            request,
            class,
            true_ms,
            first_sent_at: at,
            submissions: 0,
            entry: 0,
            owner: 0,
            submission: SubmissionNumber(0),
            is_open: false,
            ended: None,
            all_not_run: true,
            started: false,
        };
        self.calls.insert(job, call);
        self.schedule_at(at, Event::Submitted(job));
    }

    /// Processes the events up to and including the time `until`, which then is the current time.
    pub fn run_until(&mut self, until: Mono) {
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

    fn current_owner(&self) -> OwnerIndex {
        self.owners.len() - 1
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(owner) => self.tick(owner),
            Event::OrderArrived(owner, id, order, number) => {
                self.apply_order(owner, id, order, number)
            }
            Event::HoldWaitOver(owner, id, number) => {
                if self.pending_holds.remove(&(id.clone(), number)).is_some() {
                    self.report(owner, id, number);
                }
            }
            Event::AnswerArrived(owner, id, number, answer) => {
                self.apply_answer(owner, id, number, answer)
            }
            Event::OrderTimedOut(owner, id, number) => self.time_out_order(owner, id, number),
            Event::RunEnded(id, task, number, started_at) => {
                self.end_run(&id, task, number, started_at)
            }
            Event::LeaseExpired(id) => self.expire_leases(&id),
            Event::Heartbeat(entry) => self.heartbeat(entry),
            Event::Submitted(job) => self.submit_call(job),
            Event::ReleaseRequested(last, next, over_at) => {
                self.request_release(last, next, over_at)
            }
            Event::HeldExecutors(last, next, over_at, held) => {
                self.apply_held_executors(last, next, over_at, held)
            }
            Event::Ended(entry, submission, job, end) => {
                self.apply_end(entry, submission, job, end)
            }
            Event::EntryRead(owner, id) => self.read_entry(owner, &id),
            Event::Fault(fault) => self.inject_fault(fault),
        }
    }

    /// Checks at the end that every job has an answer, that no job has run of which every submission
    /// was answered with "not run", and that no run executes any more.
    pub fn check_answers(&self) {
        for (job, call) in &self.calls {
            let (_, end) = call.ended.unwrap_or_else(|| panic!("{job} has no answer"));
            if matches!(end, JobEnd::NotRun(..)) && call.all_not_run {
                assert!(!call.started, "{job} was answered \"not run\" and ran");
            }
        }
        let still_running: BTreeSet<TaskId> = self
            .executors
            .values()
            .flat_map(|executor| executor.runs.keys().copied())
            .collect();
        assert!(
            still_running.is_empty(),
            "tasks still running: {still_running:?}"
        );
    }
}
