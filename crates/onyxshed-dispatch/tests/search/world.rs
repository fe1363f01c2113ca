//! The world of the search: hosts, log, executors, and every message on its way.

mod callers;
mod judge;
mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use onyxshed_core::{
    ClassTarget, Incarnation, Millis, Offset, Outcome, Revision, SubmissionId, TaskId,
};
use onyxshed_dispatch::output::ForwardedCall;
use onyxshed_dispatch::{AttemptId, AttemptReport, Input, Output, RequestId, StopReport};
use onyxshed_policy::{AttemptOutcome, ExecutorInfo};
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

    pub(super) fn live_askers(&self) -> usize {
        let is_live = |life: Incarnation| self.hosts.iter().any(|host| host.incarnation == life);
        self.askers
            .keys()
            .filter(|(life, _)| is_live(*life))
            .count()
    }

    pub(super) fn born(&mut self) -> Host {
        self.next_life += 1;
        let skew_ms = self.rng.random_range(0..SKEW_MS / 2).cast_signed();
        Host::new(Incarnation(self.next_life), skew_ms)
    }

    /// Tells every host the class, the executors and who the others are.
    pub(super) fn introduce_all(&mut self) {
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
            let live_hosts = u32::try_from(lives.len()).expect("few hosts");
            self.feed(index, Input::Configured(config.clone()));
            self.feed(index, Input::Executors(executors.clone()));
            self.feed(
                index,
                Input::Members {
                    members,
                    gone: Vec::new(),
                    zone_hosts: live_hosts,
                    live_hosts,
                },
            );
            self.read_on(index);
        }
    }

    pub(super) fn read_on(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if !std::mem::replace(&mut host.is_reading, true) {
            let from = host.incarnation;
            self.messages.push(Message::Read { from });
        }
    }

    /// Gives a host an input, or keeps it until the host thaws.
    pub(super) fn feed(&mut self, index: usize, input: Input) {
        let host = &mut self.hosts[index];
        if host.frozen_until_ms > self.now_ms {
            host.inbox.push_back(input);
            return;
        }
        self.is_relaying = matches!(
            &input,
            Input::ForwardEnded {
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

    pub(super) fn thaw(&mut self) {
        for index in 0..self.hosts.len() {
            while self.hosts[index].frozen_until_ms <= self.now_ms {
                let Some(input) = self.hosts[index].inbox.pop_front() else {
                    break;
                };
                self.feed(index, input);
            }
        }
    }

    pub(super) fn carry_out(&mut self, from: Incarnation, output: Output) {
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
            Output::Query {
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
            Output::Emit(event) => self.trace.push(format!("{from} {event:?}")),
        }
    }
}

fn executor_info(number: u8) -> ExecutorInfo {
    ExecutorInfo {
        name: format!("e{number}").parse().expect("a name"),
        upstream: "tablets".parse().expect("a name"),
        zone: "a".parse().expect("a name"),
        rack: smol_str::SmolStr::default(),
        slots: 4,
        is_draining: false,
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
