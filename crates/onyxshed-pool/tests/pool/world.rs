//! Owners, entry hosts, executors and callers in virtual time, with faults.
//!
//! Every message takes a millisecond or so; orders may lose their answers and be carried out
//! seconds later. The world checks at each start that no other run of the task is at work on an
//! executor that is up, and at the end that what was answered "not run" has not run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use onyxshed_core::{Micros, Millis, Mono};
use onyxshed_pool::{
    Action, ExecutorFacts, ExecutorId, FencingToken, HoldAnswer, HoldOrder, JobEnd, JobId,
    JobRequest, NotRunReason, Note, PeerLife, Pool, PoolOptions, RunEnd, RunNumber, Session,
    StartAnswer, StartOrder, StopAnswer, StopOrder, SubmissionNumber, TaskId, UnknownReason,
};
use onyxshed_standins::fleet::RunBook;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time until a caller sends a job again whose answer did not come.
const RESEND: Millis = Millis(1_300);

/// Times that a caller sends a job.
const SENDS_MAX: u32 = 4;

/// How long answers may take.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// To starts and stops.
    pub order: Millis,
    /// To reports, beyond the wait that was asked for.
    pub report: Millis,
}

impl Patience {
    /// What hosts grant.
    pub const OF_HOSTS: Patience = Patience {
        order: Millis(40),
        report: Millis(50),
    };

    /// What the first searches played with, whose seeds stay as they are.
    pub const LONG: Patience = Patience {
        order: Millis(100),
        report: Millis(120),
    };
}

const HEARTBEAT: Millis = Millis(150);
const LINK_SILENCE: Millis = Millis(450);
const TICK: Millis = Millis(20);
const HANDOVER_MAX: Millis = Millis(4_000);

/// Index of an owner; a new one for each change of ownership.
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
    /// An order reaches an executor; answered only if its number is still awaited.
    Arrives(OwnerIndex, ExecutorId, Order, u64),
    /// A hold's wait is over.
    WaitOver(OwnerIndex, ExecutorId, u64),
    Answered(OwnerIndex, ExecutorId, u64, Answer),
    TimedOut(OwnerIndex, ExecutorId, u64),
    RunOver(ExecutorId, TaskId, RunNumber, u64),
    Lapse(ExecutorId),
    Heartbeat(usize),
    Sent(JobId),
    /// A new owner asks the last one which executors it still uses.
    Release(OwnerIndex, OwnerIndex, Mono),
    /// It hears which.
    Held(OwnerIndex, OwnerIndex, Mono, BTreeSet<ExecutorId>),
    Ended(usize, SubmissionNumber, JobId, JobEnd),
    Fault(Fault),
}

/// What goes wrong.
#[derive(Debug, Clone)]
pub enum Fault {
    /// The owner is killed; another takes over after the store has noticed.
    KillOwner,
    /// The owner stands still; another takes over meanwhile.
    FreezeOwner(Millis),
    /// The store gives the pool to another host while the owner lives and can't be asked.
    ReplaceOwner,
    /// Another host takes the pool over from an owner that answers it.
    HandOver,
    /// An entry host stands still.
    FreezeEntry(usize, Millis),
    /// An entry host is killed and starts anew.
    KillEntry(usize),
    /// An executor is not reached for a while, and runs on.
    CutExecutor(ExecutorId, Millis),
    /// An executor crashes and starts anew.
    Crash(ExecutorId),
    /// An executor fails all that it starts, for a while.
    FailAll(ExecutorId, Millis),
    /// Tasks on an executor stand still, for a while.
    Stick(ExecutorId, Millis),
    /// The end of one of the above.
    Heal(ExecutorId),
}

struct Owner {
    pool: Pool,
    frozen_until: Mono,
    is_dead: bool,
    awaited: BTreeMap<u64, (ExecutorId, Order, Mono)>,
}

struct Entry {
    life: PeerLife,
    session: Session,
    /// When each owner was last heard.
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
    /// The owner that it was handed to.
    owner: OwnerIndex,
    pub submission: SubmissionNumber,
    pub is_open: bool,
    pub ended: Option<(Mono, JobEnd)>,
    pub all_not_run: bool,
    pub started: bool,
}

/// What can go wrong with messages, and when it ends.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trouble {
    /// Share of orders that are not answered and carried out 2 to 12 s later.
    pub applied_late: f64,
    /// Share of orders that are carried out but whose answers are lost.
    pub answer_lost: f64,
    /// When messages are sound again.
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
    /// What concerns single tasks, in words, for a check that fails.
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

    fn new_life(&mut self) -> PeerLife {
        self.last_life += 1;
        PeerLife(self.last_life)
    }

    fn note(&mut self, task: TaskId, words: String) {
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

    /// Plans a fault.
    pub fn plan(&mut self, at: Mono, fault: Fault) {
        self.at(at, Event::Fault(fault));
    }

    /// Plans a caller's job.
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

    /// Plays until a time.
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

    fn new_owner(&mut self) {
        self.begin_owner(None);
    }

    /// Begins a new owner, which takes over from another if that one answers.
    fn begin_owner(&mut self, last: Option<OwnerIndex>) {
        self.token += 1;
        let token = FencingToken(self.token);
        let life = self.new_life();
        self.owners.push(Owner {
            pool: Pool::new(self.now, token, life, self.options.clone()),
            frozen_until: Mono(0),
            is_dead: false,
            awaited: BTreeMap::new(),
        });
        let owner = self.current();
        if let Some(last) = last {
            self.owners[owner].pool.follow_predecessor();
            let over_at = self.now + HANDOVER_MAX;
            self.after(Millis(1), Event::Release(last, owner, over_at));
            // An entry host hands jobs over on a link that the owner has answered.
            for entry in 0..self.entries.len() {
                if self.now >= self.entries[entry].frozen_until {
                    self.hear(entry, owner);
                }
            }
        }
        let listed: Vec<(ExecutorId, ExecutorFacts)> = self
            .executors
            .iter()
            .map(|(id, executor)| (id.clone(), facts_of(executor)))
            .collect();
        for (id, facts) in listed {
            let actions = self.owners[owner].pool.executor_listed(self.now, id, facts);
            self.act(owner, actions);
        }
        self.after(TICK, Event::Tick(owner));
    }

    fn act(&mut self, owner: OwnerIndex, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id, order) => self.send(owner, id, Order::Start(order), Millis(0)),
                Action::Stop(id, order) => self.send(owner, id, Order::Stop(order), Millis(0)),
                Action::Hold(id, order, pause) => self.send(owner, id, Order::Hold(order), pause),
                Action::End {
                    peer,
                    submission,
                    job,
                    end,
                } => {
                    let entry = self.entries.iter().position(|entry| entry.life == peer);
                    if let Some(entry) = entry {
                        let way = self.travel();
                        self.at(self.now + way, Event::Ended(entry, submission, job, end));
                    }
                }
                Action::StepDown => self.owners[owner].is_dead = true,
                Action::Note(Note::RunEnded {
                    task,
                    run,
                    executor,
                    why,
                }) => self.note(task, format!("{owner} has run {run} on {executor}: {why}")),
                Action::Note(_) => {}
            }
        }
    }

    fn send(&mut self, owner: OwnerIndex, id: ExecutorId, order: Order, pause: Millis) {
        self.last_order += 1;
        let number = self.last_order;
        let timeout = match &order {
            Order::Hold(hold) => Millis(pause.0 + hold.wait.0 + self.patience.report.0),
            _ => self.patience.order,
        };
        let sent_at = self.now + pause;
        match &order {
            Order::Start(order) => self.note(
                order.task,
                format!("{owner} orders run {} of {id}", order.run),
            ),
            Order::Stop(order) => self.note(
                order.task,
                format!("{owner} stops run {} on {id}", order.run),
            ),
            Order::Hold(_) => {}
        }
        self.owners[owner]
            .awaited
            .insert(number, (id.clone(), order.clone(), sent_at));
        self.after(timeout, Event::TimedOut(owner, id.clone(), number));
        let way = self.travel();
        let is_troubled = self.now < self.trouble.until;
        if is_troubled && self.rng.random_bool(self.trouble.applied_late) {
            let late = Millis(self.rng.random_range(2_000..12_000));
            self.at(self.now + late, Event::Arrives(owner, id, order, 0));
            return;
        }
        let answered = !(is_troubled && self.rng.random_bool(self.trouble.answer_lost));
        let number = if answered { number } else { 0 };
        self.at(sent_at + way, Event::Arrives(owner, id, order, number));
    }

    fn is_cut(&self, id: &ExecutorId) -> bool {
        let until = self.cut_until.get(id).copied().unwrap_or(Mono(0));
        self.now < until || !self.executors[id].is_up
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

    fn release(&mut self, last: OwnerIndex, next: OwnerIndex, over_at: Mono) {
        if self.owner_is_away(next, Event::Release(last, next, over_at)) {
            return;
        }
        if self.owners[last].is_dead || self.now >= over_at {
            return self.held(last, next, over_at, BTreeSet::new());
        }
        if self.now < self.owners[last].frozen_until {
            let gone = Event::Held(last, next, over_at, BTreeSet::new());
            return self.after(LINK_SILENCE, gone);
        }
        let (actions, held) = self.owners[last].pool.release(self.now);
        self.act(last, actions);
        let way = self.travel();
        let held = held.into_iter().collect();
        self.at(self.now + way, Event::Held(last, next, over_at, held));
        if self.owners[last].pool.live_jobs() == 0 {
            self.owners[last].is_dead = true;
        }
    }

    fn held(
        &mut self,
        last: OwnerIndex,
        next: OwnerIndex,
        over_at: Mono,
        held: BTreeSet<ExecutorId>,
    ) {
        if self.owner_is_away(next, Event::Held(last, next, over_at, held.clone())) {
            return;
        }
        if !held.is_empty() {
            self.after(TICK, Event::Release(last, next, over_at));
        }
        let actions = self.owners[next].pool.predecessor_holds(self.now, held);
        self.act(next, actions);
    }

    /// Puts an event off that reaches an owner which stands still; drops it if the owner is dead.
    fn owner_is_away(&mut self, owner: OwnerIndex, event: Event) -> bool {
        if self.owners[owner].is_dead {
            return true;
        }
        let until = self.owners[owner].frozen_until;
        if self.now < until {
            self.at(until, event);
            return true;
        }
        false
    }

    fn tick(&mut self, owner: OwnerIndex) {
        if self.owner_is_away(owner, Event::Tick(owner)) {
            return;
        }
        let actions = self.owners[owner].pool.tick(self.now);
        self.act(owner, actions);
        self.after(TICK, Event::Tick(owner));
    }

    fn arrives(&mut self, owner: OwnerIndex, id: ExecutorId, order: Order, number: u64) {
        if self.is_cut(&id) {
            return;
        }
        self.lapse(&id);
        match order {
            Order::Start(order) => {
                let answer = self.start(&id, &order);
                self.answer(owner, id, number, Answer::Start(answer));
            }
            Order::Stop(order) => {
                self.throw_away(&id, order.task);
                let executor = self.executors.get_mut(&id).expect("an executor");
                let answer = executor.stop(&order);
                self.answer(owner, id.clone(), number, Answer::Stop(answer));
                self.wake(&id);
            }
            Order::Hold(order) => self.hold(owner, id, &order, number),
        }
    }

    fn start(&mut self, id: &ExecutorId, order: &StartOrder) -> StartAnswer {
        let now = self.now;
        let call = self.calls.get_mut(&order.task.job).expect("a caller's job");
        let demand = call.request.demand;
        let true_ms = call.true_ms[usize::from(order.task.index)];
        let executor = self.executors.get_mut(id).expect("an executor");
        let (answer, is_new) = executor.start(now, order, demand);
        if !is_new {
            return answer;
        }
        let call = self.calls.get_mut(&order.task.job).expect("a caller's job");
        call.started = true;
        self.note(order.task, format!("run {} starts on {id}", order.run));
        self.check_alone(id, order.task);
        let executor = &self.executors[id];
        let born = executor.born;
        self.started_at.insert(order.task, now);
        if !executor.is_stuck {
            let took = micros(true_ms, executor.speed);
            let over = Event::RunOver(id.clone(), order.task, order.run, born);
            self.at(now + took, over);
        }
        let lapses_at = self.executors[id].lapses_at();
        self.at(lapses_at, Event::Lapse(id.clone()));
        answer
    }

    /// Checks that a task which starts is at work nowhere else.
    fn check_alone(&self, here: &ExecutorId, task: TaskId) {
        for (id, executor) in &self.executors {
            if id != here && executor.is_up && executor.runs.contains_key(&task) {
                let lapsed = executor.is_lapsed(self.now);
                let told: Vec<_> = self.trace.iter().filter(|row| row.1 == task).collect();
                assert!(
                    lapsed,
                    "{task} starts on {here} at {:?} while at work on {id}: {told:#?}",
                    self.now
                );
            }
        }
    }

    fn hold(&mut self, owner: OwnerIndex, id: ExecutorId, order: &HoldOrder, number: u64) {
        let now = self.now;
        let executor = self.executors.get_mut(&id).expect("an executor");
        if let Err(report) = executor.hold(now, order) {
            let answer = Answer::Hold(HoldAnswer::Report(report));
            return self.answer(owner, id, number, answer);
        }
        let lapses_at = executor.lapses_at();
        let has_ends = executor.has_ends();
        self.at(lapses_at, Event::Lapse(id.clone()));
        if has_ends || order.wait.0 == 0 {
            self.report(owner, id, number);
        } else if number != 0 {
            self.holding.insert((id.clone(), number), owner);
            self.after(order.wait, Event::WaitOver(owner, id, number));
        }
    }

    fn report(&mut self, owner: OwnerIndex, id: ExecutorId, number: u64) {
        if self.is_cut(&id) {
            return;
        }
        let report = self.executors[&id].report(self.now);
        self.answer(owner, id, number, Answer::Hold(HoldAnswer::Report(report)));
    }

    /// Answers the holds that wait at an executor.
    fn wake(&mut self, id: &ExecutorId) {
        if !self.executors[id].has_ends() {
            return;
        }
        let waiting: Vec<(u64, OwnerIndex)> = self
            .holding
            .iter()
            .filter(|((at, _), _)| at == id)
            .map(|((_, number), owner)| (*number, *owner))
            .collect();
        for (number, owner) in waiting {
            self.holding.remove(&(id.clone(), number));
            self.report(owner, id.clone(), number);
        }
    }

    fn answer(&mut self, owner: OwnerIndex, id: ExecutorId, number: u64, answer: Answer) {
        if number != 0 && !self.is_cut(&id) {
            let way = self.travel();
            self.at(self.now + way, Event::Answered(owner, id, number, answer));
        }
    }

    fn answered(&mut self, owner: OwnerIndex, id: ExecutorId, number: u64, answer: Answer) {
        let event = Event::Answered(owner, id.clone(), number, answer.clone());
        if self.owner_is_away(owner, event) {
            return;
        }
        let Some((_, order, sent_at)) = self.owners[owner].awaited.remove(&number) else {
            return;
        };
        self.feed(owner, &id, &order, sent_at, answer);
    }

    fn timed_out(&mut self, owner: OwnerIndex, id: ExecutorId, number: u64) {
        if self.owner_is_away(owner, Event::TimedOut(owner, id.clone(), number)) {
            return;
        }
        let Some((_, order, sent_at)) = self.owners[owner].awaited.remove(&number) else {
            return;
        };
        let answer = match &order {
            Order::Start(_) => Answer::Start(StartAnswer::Unknown),
            Order::Stop(_) => Answer::Stop(StopAnswer::Unknown),
            Order::Hold(_) => Answer::Hold(HoldAnswer::Unknown),
        };
        self.feed(owner, &id, &order, sent_at, answer);
    }

    fn feed(
        &mut self,
        owner: OwnerIndex,
        id: &ExecutorId,
        order: &Order,
        sent_at: Mono,
        answer: Answer,
    ) {
        let now = self.now;
        let pool = &mut self.owners[owner].pool;
        let actions = match (order, answer) {
            (Order::Start(order), Answer::Start(answer)) => {
                pool.start_answered(now, id, order.task, order.run, &answer)
            }
            (Order::Stop(order), Answer::Stop(answer)) => {
                pool.stop_answered(now, id, order.task, order.run, answer)
            }
            (Order::Hold(_), Answer::Hold(answer)) => pool.hold_answered(now, id, sent_at, answer),
            (order, answer) => panic!("{answer:?} answers {order:?}"),
        };
        self.act(owner, actions);
    }

    fn run_over(&mut self, id: &ExecutorId, task: TaskId, number: RunNumber, born: u64) {
        self.lapse(id);
        let executor = self.executors.get_mut(id).expect("an executor");
        let run = executor.runs.get(&task);
        if executor.born != born || run.is_none_or(|run| run.number != number) {
            return;
        }
        let end = match executor.fails_all {
            true => RunEnd::Failed,
            false => RunEnd::Done,
        };
        executor.end(task, end);
        self.wake(id);
    }

    fn lapse(&mut self, id: &ExecutorId) {
        let now = self.now;
        let executor = &self.executors[id];
        if executor.runs.is_empty() || !executor.is_lapsed(now) {
            return;
        }
        let tasks: Vec<TaskId> = executor.runs.keys().copied().collect();
        for task in tasks {
            self.throw_away(id, task);
        }
        let executor = self.executors.get_mut(id).expect("an executor");
        executor.lapse();
        self.wake(id);
    }

    fn throw_away(&mut self, id: &ExecutorId, task: TaskId) {
        if self.executors[id].runs.contains_key(&task)
            && let Some(since) = self.started_at.get(&task)
        {
            self.thrown_away.0 += self.now.since(*since).0;
        }
    }

    fn heartbeat(&mut self, index: usize) {
        let until = self.entries[index].frozen_until;
        if self.now < until {
            return self.at(until, Event::Heartbeat(index));
        }
        for owner in 0..self.owners.len() {
            self.hear(index, owner);
        }
        self.after(HEARTBEAT, Event::Heartbeat(index));
    }

    /// An entry host hears the present owner, and those that still end its jobs while another
    /// takes over.
    fn hear(&mut self, index: usize, owner: OwnerIndex) {
        let is_current = owner == self.current();
        let held = &self.owners[owner];
        if !is_current && !held.pool.is_releasing() {
            return;
        }
        let life = self.entries[index].life;
        let is_away = held.is_dead || self.now < held.frozen_until;
        let heard = self.entries[index].heard.get(&owner);
        let last = heard.copied().unwrap_or(Mono(1_000_000));
        if !is_away {
            let session = self.owners[owner].pool.peer_heard(self.now, life);
            self.entries[index].heard.insert(owner, self.now);
            if is_current {
                self.entries[index].session = session;
            }
        } else if self.now.since(last) > LINK_SILENCE.into() {
            self.lose_link(index, owner);
        }
    }

    /// The entry host gives up its link to an owner: its callers hear that their jobs' fate is
    /// unknown.
    fn lose_link(&mut self, entry: usize, owner: OwnerIndex) {
        let lost = JobEnd::Unknown(UnknownReason::OwnerChanged);
        let open: Vec<(JobId, SubmissionNumber)> = self
            .calls
            .iter()
            .filter(|(_, call)| call.is_open && call.entry == entry && call.owner == owner)
            .map(|(job, call)| (*job, call.submission))
            .collect();
        for (job, submission) in open {
            self.ended(entry, submission, job, lost);
        }
    }

    fn sent(&mut self, job: JobId) {
        let owner = self.current();
        let entry = self.rng.random_range(0..self.entries.len());
        self.last_submission += 1;
        let submission = SubmissionNumber(self.last_submission);
        let (life, session) = (self.entries[entry].life, self.entries[entry].session);
        let call = self.calls.get_mut(&job).expect("a caller's job");
        if call.ended.is_some() {
            return;
        }
        call.sends += 1;
        call.entry = entry;
        call.owner = owner;
        call.submission = submission;
        call.is_open = true;
        let request = JobRequest {
            peer: life,
            submission,
            ..call.request.clone()
        };
        let patience = request.time_left;
        let owner_is_dead = self.owners[owner].is_dead;
        if self.now < self.entries[entry].frozen_until || owner_is_dead {
            let end = JobEnd::Unknown(UnknownReason::TimeOut);
            return self.at(
                self.now + patience,
                Event::Ended(entry, submission, job, end),
            );
        }
        // An owner that stands still reads it when it goes on, or never.
        if self.now >= self.owners[owner].frozen_until {
            let actions = self.owners[owner].pool.submit(self.now, session, request);
            self.act(owner, actions);
        }
        let over = JobEnd::Unknown(UnknownReason::TimeOut);
        let late = Millis(patience.0 + 20);
        self.after(late, Event::Ended(entry, submission, job, over));
    }

    fn ended(&mut self, entry: usize, submission: SubmissionNumber, job: JobId, end: JobEnd) {
        let now = self.now;
        let until = self.entries[entry].frozen_until;
        let call = self.calls.get_mut(&job).expect("a caller's job");
        if !call.is_open || call.submission != submission {
            return;
        }
        if now < until {
            return self.at(until, Event::Ended(entry, submission, job, end));
        }
        call.is_open = false;
        let tasks = call.request.tasks;
        for index in 0..tasks {
            let task = TaskId { job, index };
            self.trace
                .push((now, task, format!("its caller hears {end:?}")));
        }
        let call = self.calls.get_mut(&job).expect("a caller's job");
        let is_handed_back = matches!(end, JobEnd::NotRun(NotRunReason::NotOwner, _));
        if is_handed_back && call.owner + 1 < self.owners.len() {
            // The entry host hands it to the next owner.
            call.sends -= 1;
            return self.after(Millis(1), Event::Sent(job));
        }
        if matches!(end, JobEnd::Unknown(_)) {
            call.all_not_run = false;
            if call.sends < SENDS_MAX {
                return self.after(RESEND, Event::Sent(job));
            }
        }
        call.ended = Some((now, end));
    }

    fn fault(&mut self, fault: Fault) {
        let owner = self.current();
        let open: Vec<TaskId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.is_open)
            .flat_map(|(job, call)| (0..call.request.tasks).map(|index| (*job, index)))
            .map(|(job, index)| TaskId { job, index })
            .collect();
        for task in open {
            self.note(task, format!("{fault:?}"));
        }
        match fault {
            Fault::KillOwner => {
                self.owners[owner].is_dead = true;
                // Connections break at once: every entry host knows.
                for entry in 0..self.entries.len() {
                    self.lose_link(entry, owner);
                }
                self.after(Millis(1_500), Event::Fault(Fault::ReplaceOwner));
            }
            Fault::FreezeOwner(span) => {
                self.owners[owner].frozen_until = self.now + span;
                self.after(Millis(1_700), Event::Fault(Fault::ReplaceOwner));
            }
            Fault::ReplaceOwner => self.new_owner(),
            Fault::HandOver => {
                let held = &self.owners[owner];
                let answers = !held.is_dead && self.now >= held.frozen_until;
                self.begin_owner(answers.then_some(owner));
            }
            Fault::FreezeEntry(entry, span) => {
                let entry = entry % self.entries.len();
                self.entries[entry].frozen_until = self.now + span;
            }
            Fault::KillEntry(entry) => {
                let entry = entry % self.entries.len();
                for owner in 0..self.owners.len() {
                    self.lose_link(entry, owner);
                }
                self.entries[entry].life = self.new_life();
                self.entries[entry].session = Session(0);
            }
            Fault::CutExecutor(id, span) => {
                self.cut_until.insert(id, self.now + span);
            }
            Fault::Crash(id) => {
                self.executors.get_mut(&id).expect("an executor").restart();
                self.holding.retain(|(at, _), _| *at != id);
            }
            Fault::FailAll(id, span) => {
                self.executors.get_mut(&id).expect("an executor").fails_all = true;
                self.after(span, Event::Fault(Fault::Heal(id)));
            }
            Fault::Stick(id, span) => {
                self.executors.get_mut(&id).expect("an executor").is_stuck = true;
                self.after(span, Event::Fault(Fault::Heal(id)));
            }
            Fault::Heal(id) => {
                let executor = self.executors.get_mut(&id).expect("an executor");
                executor.fails_all = false;
                executor.is_stuck = false;
            }
        }
    }

    /// Checks what must hold at the end.
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

fn micros(true_ms: u64, speed: f64) -> Micros {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let us = (true_ms as f64 * 1_000.0 / speed) as u64;
    Micros(us.max(1))
}

fn facts_of(executor: &RunBook) -> ExecutorFacts {
    ExecutorFacts {
        address: "10.0.0.1:80".parse().expect("an address"),
        upstream: "desk".into(),
        capacity: executor.capacity,
        labels: Vec::new(),
        rack: None,
        is_draining: false,
        born: Some(onyxshed_core::UnixMs(executor.born)),
    }
}
