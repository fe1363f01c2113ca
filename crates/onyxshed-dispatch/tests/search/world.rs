//! The world of the search: hosts, log, executors, and every message on its way.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use onyxshed_core::{
    ClassTarget, Incarnation, Millis, Offset, Outcome, Revision, SubmissionId, TaskId,
};
use onyxshed_dispatch::output::ForwardedCall;
use onyxshed_dispatch::{AttemptId, AttemptReport, Input, Output, RequestId, StopReport};
use onyxshed_policy::{ExecutorInfo, Verdict};
use onyxshed_state::claim::AppendFailure;
use onyxshed_state::{Config, Member, MemberState};
use onyxshed_wire::caller::{Answer, CopyMark, Submission};
use onyxshed_wire::platform::Record;
use onyxshed_wire::record::{ClaimBatch, ClaimRecord};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::executors::{Arrival, Executors, result_of};
use super::host::{Host, SKEW_MS};

/// Hosts in the search.
const HOSTS: usize = 3;

/// Executors in the search.
const EXECUTORS: u8 = 2;

/// Where the world's clock begins, in milliseconds.
const BEGIN_MS: u64 = 1_000_000_000;

/// What the search may do.
#[derive(Debug, Clone)]
pub struct WorldOptions {
    /// Whether hosts crash and freeze and the log fails.
    pub faults: bool,
    /// Whether ids are bound to the host they are first sent to.
    pub bound: bool,
}

impl Default for WorldOptions {
    fn default() -> Self {
        WorldOptions {
            faults: true,
            bound: false,
        }
    }
}

/// A message on its way; `to` is the incarnation it is meant for, dead ones get nothing.
enum Message {
    ToHost {
        to: Incarnation,
        input: Input,
    },
    Append {
        from: Incarnation,
        batch: ClaimBatch,
    },
    Read {
        from: Incarnation,
    },
    Start {
        from: Incarnation,
        attempt: AttemptId,
        task: TaskId,
        executor: u8,
    },
    Run {
        from: Incarnation,
        attempt: AttemptId,
        task: TaskId,
        executor: u8,
    },
    Stop {
        from: Incarnation,
        attempt: AttemptId,
        task: TaskId,
        executor: u8,
    },
    Ask {
        from: Incarnation,
        attempt: AttemptId,
        task: TaskId,
        executor: u8,
    },
    Forward {
        from: Incarnation,
        request: RequestId,
        to: Incarnation,
        call: ForwardedCall,
    },
    ForwardAnswer {
        to: Incarnation,
        request: RequestId,
        id: SubmissionId,
        answer: Answer,
    },
}

/// Who waits for the answer to a request.
#[derive(Clone, Copy)]
enum Asker {
    Caller {
        id: SubmissionId,
        copy: u32,
        /// No other copy was under way when it asked.
        is_alone: bool,
    },
    Peer {
        from: Incarnation,
        request: RequestId,
        id: SubmissionId,
    },
}

/// All of it.
pub struct World {
    seed: u64,
    rng: StdRng,
    options: WorldOptions,
    now_ms: u64,
    hosts: Vec<Host>,
    log: Vec<String>,
    is_log_down: bool,
    executors: Executors,
    messages: Vec<Message>,
    sent: BTreeMap<SubmissionId, Submission>,
    copies: BTreeMap<SubmissionId, u32>,

    askers: BTreeMap<(Incarnation, RequestId), Asker>,
    not_run: BTreeSet<SubmissionId>,
    next_request: u64,
    next_life: u64,
    /// Whether the answer at hand was given by a peer and is only passed on.
    is_relaying: bool,
    trace: Vec<String>,
}

impl World {
    /// Makes a world of live hosts with one class whose tasks may not run twice.
    pub fn new(seed: u64, options: WorldOptions) -> Self {
        let mut world = World {
            seed,
            rng: StdRng::seed_from_u64(seed),
            options,
            now_ms: BEGIN_MS,
            hosts: Vec::new(),
            log: Vec::new(),
            is_log_down: false,
            executors: Executors::default(),
            messages: Vec::new(),
            sent: BTreeMap::new(),
            copies: BTreeMap::new(),

            askers: BTreeMap::new(),
            not_run: BTreeSet::new(),
            next_request: 0,
            next_life: 0,
            is_relaying: false,
            trace: Vec::new(),
        };
        for _ in 0..HOSTS {
            let host = world.born();
            world.hosts.push(host);
        }
        world.introduce_all();
        world
    }

    /// Does one thing at random and checks what must always hold.
    pub fn step(&mut self) {
        self.now_ms += self.rng.random_range(0..20);
        match self.rng.random_range(0..100) {
            0..12 => self.submit(),
            12..20 => self.submit_copy(),
            20..23 => self.cancel(),
            23..35 => self.tick(),
            35..38 if self.options.faults => self.crash(),
            38..42 if self.options.faults => self.freeze(),
            42..45 if self.options.faults => self.is_log_down = !self.is_log_down,
            _ => self.deliver_one(),
        }
        self.thaw();
        self.check();
    }

    /// Lets everything come to rest, then checks that every request was answered once.
    pub fn settle(&mut self) {
        self.is_log_down = false;
        for _ in 0..20_000 {
            self.now_ms += 5;
            self.thaw();
            self.tick();
            self.deliver_one();
            if self
                .messages
                .iter()
                .all(|message| matches!(message, Message::Read { .. }))
                && self.live_askers() == 0
            {
                break;
            }
        }
        self.check();
        assert_eq!(
            self.live_askers(),
            0,
            "{}: a request was never answered",
            self.story()
        );
    }

    fn live_askers(&self) -> usize {
        let is_live = |life: Incarnation| self.hosts.iter().any(|host| host.incarnation == life);
        self.askers
            .keys()
            .filter(|(life, _)| is_live(*life))
            .count()
    }

    fn born(&mut self) -> Host {
        self.next_life += 1;
        let skew_ms = self.rng.random_range(0..SKEW_MS / 2).cast_signed();
        Host::new(Incarnation(self.next_life), skew_ms)
    }

    /// Tells every host the class, the executors and who the others are.
    fn introduce_all(&mut self) {
        let target: ClassTarget = ClassTarget {
            class: "stock-sync".parse().expect("a name"),
            upstream: "tablets".parse().expect("a name"),
            finish_within_ms: Millis(500),
            may_run_twice: false,
        };
        let classes = [(target.class.clone(), target)].into();
        let config = Config {
            revision: Revision(1),
            classes,
        };
        let executors: Vec<ExecutorInfo> = (0..EXECUTORS).map(executor_info).collect();
        let lives: Vec<Incarnation> = self.hosts.iter().map(|host| host.incarnation).collect();
        for index in 0..self.hosts.len() {
            let me = lives[index];
            let others = lives.iter().filter(|life| **life != me);
            let members = others.map(|life| member_of(*life)).collect();
            let live = u32::try_from(lives.len()).expect("few hosts");
            self.feed(index, Input::Configured(config.clone()));
            self.feed(index, Input::Executors(executors.clone()));
            self.feed(
                index,
                Input::Members {
                    members,
                    gone: Vec::new(),
                    sharers: live,
                    live,
                },
            );
            self.read_on(index);
        }
    }

    fn read_on(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if !std::mem::replace(&mut host.is_reading, true) {
            let from = host.incarnation;
            self.messages.push(Message::Read { from });
        }
    }

    /// Gives a host an input, or keeps it until the host thaws.
    fn feed(&mut self, index: usize, input: Input) {
        let host = &mut self.hosts[index];
        if host.frozen_until_ms > self.now_ms {
            host.inbox.push_back(input);
            return;
        }
        self.is_relaying = matches!(
            &input,
            Input::Forwarded {
                answer: Some(_),
                ..
            }
        );
        let now = host.now(self.now_ms);
        let life = host.incarnation;
        let outputs = host.machine.handle(now, input);
        for output in outputs {
            self.carry_out(life, output);
        }
    }

    fn thaw(&mut self) {
        for index in 0..self.hosts.len() {
            while self.hosts[index].frozen_until_ms <= self.now_ms {
                let Some(input) = self.hosts[index].inbox.pop_front() else {
                    break;
                };
                self.feed(index, input);
            }
        }
    }

    fn carry_out(&mut self, from: Incarnation, output: Output) {
        match output {
            Output::Answer { request, answer } => self.answered(from, request, answer),
            Output::Forward { request, to, call } => {
                self.messages.push(Message::Forward {
                    from,
                    request,
                    to,
                    call,
                });
            }
            Output::Append(batch) => self.messages.push(Message::Append { from, batch }),
            Output::Start {
                attempt,
                task,
                executor,
                ..
            } => {
                let executor = number_of(executor.as_str());
                self.messages.push(Message::Start {
                    from,
                    attempt,
                    task,
                    executor,
                });
            }
            Output::Stop {
                attempt,
                task,
                executor,
            } => {
                let executor = number_of(executor.as_str());
                self.messages.push(Message::Stop {
                    from,
                    attempt,
                    task,
                    executor,
                });
            }
            Output::Ask {
                attempt,
                task,
                executor,
            } => {
                let executor = number_of(executor.as_str());
                self.messages.push(Message::Ask {
                    from,
                    attempt,
                    task,
                    executor,
                });
            }
            Output::Note(event) => self.trace.push(format!("{from} {event:?}")),
        }
    }

    fn answered(&mut self, from: Incarnation, request: RequestId, answer: Answer) {
        let asker = self.askers.remove(&(from, request));
        let asker = asker.unwrap_or_else(|| panic!("{}: answered twice", self.story()));
        self.check_denial(asker, &answer);
        match asker {
            Asker::Peer { from, request, id } => {
                self.messages.push(Message::ForwardAnswer {
                    to: from,
                    request,
                    id,
                    answer,
                });
            }
            Asker::Caller { id, copy, is_alone } => {
                self.judge(id, is_alone && self.copies[&id] == copy, &answer);
            }
        }
    }

    /// Checks that "not run" is true when it is said, not when it is relayed: no copy has started a task by then. Only the
    /// first copy may be told so while one that was sent after it has run.
    fn check_denial(&self, asker: Asker, answer: &Answer) {
        let (id, is_first_of_several) = match asker {
            Asker::Peer { id, .. } => (id, false),
            Asker::Caller { id, copy, .. } => (id, copy == 1 && self.copies[&id] > 1),
        };
        let is_denial = answer.outcome == Some(Outcome::NotRun);
        let has_started = self
            .executors
            .starts
            .keys()
            .any(|task| task.submission == id);
        let is_lie = is_denial && has_started && !is_first_of_several && !self.is_relaying;
        assert!(
            !is_lie,
            "{}: {id} was told \"not run\" after a start",
            self.story()
        );
    }

    /// Checks an answer that reached a caller.
    fn judge(&mut self, id: SubmissionId, is_last_word: bool, answer: &Answer) {
        self.trace.push(format!(
            "caller of {id} got {:?} {}",
            answer.code, answer.text
        ));
        let submission = &self.sent[&id];
        assert_eq!(
            answer.submission,
            Some(id),
            "{}: foreign answer",
            self.story()
        );
        match answer.outcome {
            Some(Outcome::Complete) => {
                let wanted: Vec<Vec<u8>> = tasks_of(submission).map(result_of).collect();
                assert_eq!(answer.results.as_ref(), Some(&wanted), "{}", self.story());
            }
            // Said to the last copy, with no other under way meanwhile, it speaks of every copy.
            Some(Outcome::NotRun) if is_last_word => {
                self.not_run.insert(id);
            }
            Some(Outcome::NotRun) => {}
            _ => assert!(answer.results.is_none(), "{}: partial answer", self.story()),
        }
    }

    /// Tells whether another copy of a submission still waits for its answer.
    fn is_under_way(&self, id: SubmissionId) -> bool {
        let is_asked = self.askers.values().any(|asker| match asker {
            Asker::Caller { id: found, .. } | Asker::Peer { id: found, .. } => *found == id,
        });
        let is_carried = self.messages.iter().any(|message| match message {
            Message::Forward {
                call: ForwardedCall::Submit(found),
                ..
            } => found.submission == id,
            _ => false,
        });
        is_asked || is_carried
    }

    fn submit(&mut self) {
        let index = self.rng.random_range(0..HOSTS);
        let unique = u128::from(self.next_request) << 8;
        let ulid = ulid::Ulid::from_parts(self.now_ms, unique);
        let bound_to = self.options.bound.then(|| self.hosts[index].incarnation);
        let id = SubmissionId { ulid, bound_to };
        let tasks = (0..self.rng.random_range(1..4_u8))
            .map(|task| vec![task])
            .collect();
        let submission = Submission {
            submission: id,
            class: "stock-sync".parse().expect("a name"),
            deadline_ms: None,
            copy: CopyMark::First,
            tasks,
        };
        self.sent.insert(id, submission.clone());
        self.send(index, submission);
    }

    /// Sends another copy of a submission to any host; it was told "not run" or nothing yet.
    fn submit_copy(&mut self) {
        let Some(id) = self.pick_sent() else {
            return;
        };
        let index = self.rng.random_range(0..HOSTS);
        let copy = Submission {
            copy: CopyMark::Again,
            ..self.sent[&id].clone()
        };
        // Asking again withdraws what an earlier copy was told: this one may run.
        self.not_run.remove(&id);
        self.send(index, copy);
    }

    fn send(&mut self, index: usize, submission: Submission) {
        let id = submission.submission;
        let is_alone = !self.is_under_way(id);
        let copy = self.copies.entry(id).or_default();
        *copy += 1;
        let copy = *copy;
        let request = self.request(index, Asker::Caller { id, copy, is_alone });

        self.trace
            .push(format!("submit {} to {index}", submission.submission));
        self.feed(
            index,
            Input::Submit {
                request,
                submission,
                is_forwarded: false,
            },
        );
    }

    fn request(&mut self, index: usize, asker: Asker) -> RequestId {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        self.askers
            .insert((self.hosts[index].incarnation, request), asker);
        request
    }

    fn cancel(&mut self) {
        let Some(id) = self.pick_sent() else {
            return;
        };
        let index = self.rng.random_range(0..HOSTS);
        let is_alone = !self.is_under_way(id);
        let copy = self.copies[&id];
        let request = self.request(index, Asker::Caller { id, copy, is_alone });

        self.trace.push(format!("cancel {id} at {index}"));
        self.feed(
            index,
            Input::Cancel {
                request,
                id,
                is_forwarded: false,
            },
        );
    }

    fn pick_sent(&mut self) -> Option<SubmissionId> {
        // Mostly recent ones, so that copies meet jobs under way.
        let back = self.rng.random_range(0..6);
        self.sent.keys().rev().nth(back).copied()
    }

    fn tick(&mut self) {
        for index in 0..HOSTS {
            self.feed(index, Input::Tick);
        }
    }

    fn crash(&mut self) {
        let index = self.rng.random_range(0..HOSTS);
        let gone = self.hosts[index].incarnation;
        self.trace.push(format!("crash of {gone}"));
        self.hang_up(gone);
        self.hosts[index] = self.born();
        self.introduce_all();
    }

    /// Drops what waits for a host that is gone; peers see their connections close.
    fn hang_up(&mut self, gone: Incarnation) {
        let lost: Vec<Asker> = self
            .askers
            .extract_if(.., |(life, _), _| *life == gone)
            .map(|(_, asker)| asker)
            .collect();
        for asker in lost {
            if let Asker::Peer { from, request, id } = asker {
                let input = Input::Forwarded {
                    request,
                    id,
                    answer: None,
                };
                self.messages.push(Message::ToHost { to: from, input });
            }
        }
    }

    fn freeze(&mut self) {
        let index = self.rng.random_range(0..HOSTS);
        let span_ms = self.rng.random_range(50..6_000);
        self.trace
            .push(format!("freeze of {index} for {span_ms} ms"));
        self.hosts[index].frozen_until_ms = self.now_ms + span_ms;
    }

    /// Delivers any one message: order and delay are arbitrary, and some are lost.
    fn deliver_one(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(index);
        let is_lost = self.rng.random_range(0..12) == 0;
        match message {
            Message::ToHost { to, input } => self.give(to, input),
            Message::Append { from, batch } => self.append(from, &batch, is_lost),
            Message::Read { from } => self.read(from),
            Message::Start {
                from,
                attempt,
                task,
                executor,
            } => {
                self.start(from, attempt, task, executor, is_lost);
            }
            Message::Run {
                from,
                attempt,
                task,
                executor,
            } => {
                self.run(from, attempt, task, executor, is_lost);
            }
            Message::Stop {
                from,
                attempt,
                task,
                executor,
            } => {
                let report = (!is_lost).then(|| self.executors.stop(executor, task, from, attempt));
                self.reply_to_stop(from, attempt, report);
            }
            Message::Ask {
                from,
                attempt,
                task,
                executor,
            } => {
                let sighting = (!is_lost).then(|| self.executors.sight(executor, task));
                self.give(from, Input::Sighted { attempt, sighting });
            }
            Message::Forward {
                from,
                request,
                to,
                call,
            } => {
                self.forward(from, request, to, call, is_lost);
            }
            Message::ForwardAnswer {
                to,
                request,
                id,
                answer,
            } => {
                let answer = (!is_lost).then_some(answer);
                self.give(
                    to,
                    Input::Forwarded {
                        request,
                        id,
                        answer,
                    },
                );
            }
        }
    }

    fn give(&mut self, to: Incarnation, input: Input) {
        if let Some(index) = self.index_of(to) {
            self.feed(index, input);
        }
    }

    fn index_of(&self, life: Incarnation) -> Option<usize> {
        self.hosts.iter().position(|host| host.incarnation == life)
    }

    fn append(&mut self, from: Incarnation, batch: &ClaimBatch, is_lost: bool) {
        let result = match (self.is_log_down, is_lost) {
            (true, false) => Err(AppendFailure::NotAppended),
            (true, true) => Err(AppendFailure::AnswerLost),
            (false, _) => {
                self.log.push(ClaimRecord::ClaimsV1(batch.clone()).encode());
                let offset = Offset(self.log.len() as u64 - 1);
                if is_lost {
                    Err(AppendFailure::AnswerLost)
                } else {
                    Ok(offset)
                }
            }
        };
        let input = Input::Appended {
            batch: batch.batch,
            result,
        };
        self.messages.push(Message::ToHost { to: from, input });
    }

    fn read(&mut self, from: Incarnation) {
        let Some(index) = self.index_of(from) else {
            return;
        };
        self.hosts[index].is_reading = false;
        let input = match self.is_log_down {
            true => Input::LogLost,
            false => self.page(self.hosts[index].machine.log_next()),
        };
        self.feed(index, input);
        self.read_on(index);
    }

    fn page(&self, from: Offset) -> Input {
        let next = Offset(self.log.len() as u64);
        let records = (from.0..next.0).map(|offset| Record {
            offset: Offset(offset),
            at_ms: onyxshed_core::UnixMs(self.now_ms),
            data: self.log[usize::try_from(offset).expect("a short log")].clone(),
        });
        Input::LogRead {
            oldest: Offset(0),
            next,
            records: records.collect(),
        }
    }

    fn start(
        &mut self,
        from: Incarnation,
        attempt: AttemptId,
        task: TaskId,
        executor: u8,
        is_lost: bool,
    ) {
        if is_lost {
            // The connection breaks; whether the start still arrives is open.
            if self.rng.random_bool(0.5) {
                self.messages.push(Message::Start {
                    from,
                    attempt,
                    task,
                    executor,
                });
            }
            return self.reply(from, attempt, Verdict::Lost, Vec::new());
        }
        match self.executors.start(executor, task, from, attempt) {
            Arrival::Refused => self.reply(from, attempt, Verdict::Refused, Vec::new()),
            Arrival::Started => self.messages.push(Message::Run {
                from,
                attempt,
                task,
                executor,
            }),
        }
    }

    fn run(
        &mut self,
        from: Incarnation,
        attempt: AttemptId,
        task: TaskId,
        executor: u8,
        is_lost: bool,
    ) {
        let is_done = self.executors.finish(executor, task);
        match (is_lost, is_done) {
            (true, _) => self.reply(from, attempt, Verdict::Lost, Vec::new()),
            (false, true) => self.reply(from, attempt, Verdict::Finished, result_of(task)),
            (false, false) => self.reply(from, attempt, Verdict::Stopped, Vec::new()),
        }
    }

    fn reply(&mut self, to: Incarnation, attempt: AttemptId, verdict: Verdict, body: Vec<u8>) {
        let report = AttemptReport {
            verdict,
            body,
            service_us: None,
            load: None,
            detail: smol_str::SmolStr::default(),
        };
        let input = Input::AttemptEnded { attempt, report };
        self.messages.push(Message::ToHost { to, input });
    }

    fn reply_to_stop(&mut self, to: Incarnation, attempt: AttemptId, report: Option<StopReport>) {
        self.messages.push(Message::ToHost {
            to,
            input: Input::StopEnded { attempt, report },
        });
    }

    fn forward(
        &mut self,
        from: Incarnation,
        request: RequestId,
        to: Incarnation,
        call: ForwardedCall,
        is_lost: bool,
    ) {
        let id = match &call {
            ForwardedCall::Submit(submission) => submission.submission,
            ForwardedCall::Fetch(id) | ForwardedCall::Cancel(id) => *id,
        };
        let Some(index) = self.index_of(to).filter(|_| !is_lost) else {
            return self.give(
                from,
                Input::Forwarded {
                    request,
                    id,
                    answer: None,
                },
            );
        };
        let theirs = self.request(index, Asker::Peer { from, request, id });
        let input = match call {
            ForwardedCall::Submit(submission) => Input::Submit {
                request: theirs,
                submission: *submission,
                is_forwarded: true,
            },
            ForwardedCall::Fetch(id) => Input::Fetch {
                request: theirs,
                id,
                is_forwarded: true,
            },
            ForwardedCall::Cancel(id) => Input::Cancel {
                request: theirs,
                id,
                is_forwarded: true,
            },
        };
        self.feed(index, input);
    }

    /// Checks the executors' own records.
    fn check(&self) {
        for (task, starts) in &self.executors.starts {
            assert!(
                starts.len() <= 1,
                "{}: {task} started by {starts:?}",
                self.story()
            );
            let is_denied = self.not_run.contains(&task.submission);
            assert!(
                !is_denied,
                "{}: {task} started behind \"not run\"",
                self.story()
            );
        }
    }

    /// Tells what led here.
    fn story(&self) -> String {
        const LINES: usize = 60;
        let tail = self.trace.len().saturating_sub(LINES);
        format!("seed {}\n{}\n", self.seed, self.trace[tail..].join("\n"))
    }
}

fn executor_info(number: u8) -> ExecutorInfo {
    ExecutorInfo {
        name: format!("e{number}").parse().expect("a name"),
        upstream: "tablets".parse().expect("a name"),
        zone: "a".parse().expect("a name"),
        rack: smol_str::SmolStr::default(),
        slots: 4,
        is_leaving: false,
    }
}

fn member_of(incarnation: Incarnation) -> Member {
    Member {
        host: format!("h{incarnation}").parse().expect("a name"),
        zone: "a".parse().expect("a name"),
        incarnation,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        state: MemberState::Live,
    }
}

fn number_of(executor: &str) -> u8 {
    executor.trim_start_matches('e').parse().expect("a number")
}

fn tasks_of(submission: &Submission) -> impl Iterator<Item = TaskId> + use<> {
    let id = submission.submission;
    let count = u16::try_from(submission.tasks.len()).expect("few tasks");
    (0..count).map(move |index| TaskId {
        submission: id,
        index,
    })
}
