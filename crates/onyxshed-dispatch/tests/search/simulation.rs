//! Simulation of hosts, log and executors, and of the messages in transit between them.

mod callers;
mod checks;
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

use super::executors::{Executors, StartReply, result_of};
use super::host::{Host, SKEW_MS};

const HOSTS: usize = 3;

const EXECUTORS: u8 = 2;

/// Simulation time at the start, in milliseconds.
const BEGIN_MS: u64 = 1_000_000_000;

/// Which faults occur in a simulation, and whether its ids are bound.
#[derive(Debug, Clone)]
pub struct SimulationOptions {
    /// Whether hosts crash and freeze and the log becomes unreachable.
    pub has_faults: bool,
    /// Whether ids are bound to the host that they are first sent to.
    pub are_ids_bound_to_host: bool,
    /// Whether drains of hosts expire, after which the hosts restart.
    pub do_drains_expire: bool,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        SimulationOptions {
            has_faults: true,
            are_ids_bound_to_host: false,
            do_drains_expire: false,
        }
    }
}

/// Message in transit. `to` is the receiving incarnation; a message to an incarnation that is gone
/// is dropped.
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
    Query {
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

/// Party that waits for the answer to a request.
#[derive(Clone, Copy)]
enum Requester {
    Caller {
        id: SubmissionId,
        copy: u32,
        /// Whether no other copy was in progress when the request was sent.
        is_only_copy_in_progress: bool,
    },
    Peer {
        from: Incarnation,
        request: RequestId,
        id: SubmissionId,
    },
}

/// Simulation with its random generator, hosts, messages, and records of callers' answers.
pub struct Simulation {
    seed: u64,
    rng: StdRng,
    options: SimulationOptions,
    now_ms: u64,
    hosts: Vec<Host>,
    log: Vec<String>,
    is_log_down: bool,
    executors: Executors,
    messages: Vec<Message>,
    /// First copy of every submission.
    sent: BTreeMap<SubmissionId, Submission>,
    /// Number of copies sent of every submission.
    copies: BTreeMap<SubmissionId, u32>,

    requesters: BTreeMap<(Incarnation, RequestId), Requester>,
    /// Submissions whose caller received the answer that no copy of them ran.
    not_run: BTreeSet<SubmissionId>,
    next_request: u64,
    next_incarnation: u64,
    /// Whether the input being processed is a peer's answer, which the host only relays.
    is_relaying: bool,
    /// Lines that describe the actions and events since the start, for failure messages.
    trace: Vec<String>,
}

impl Simulation {
    /// Creates a simulation of live hosts with one class whose tasks may not run twice.
    pub fn new(seed: u64, options: SimulationOptions) -> Self {
        let mut simulation = Simulation {
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

            requesters: BTreeMap::new(),
            not_run: BTreeSet::new(),
            next_request: 0,
            next_incarnation: 0,
            is_relaying: false,
            trace: Vec::new(),
        };
        for _ in 0..HOSTS {
            let host = simulation.new_host();
            simulation.hosts.push(host);
        }
        simulation.configure_all();
        simulation
    }

    /// Performs one random action and checks the invariants.
    pub fn step(&mut self) {
        self.now_ms += self.rng.random_range(0..20);
        match self.rng.random_range(0..100) {
            0..12 => self.submit(),
            12..20 => self.submit_copy(),
            20..23 => self.cancel(),
            23..35 => self.tick(),
            35..38 if self.options.has_faults => self.crash(),
            38..42 if self.options.has_faults => self.freeze(),
            42..45 if self.options.has_faults => self.is_log_down = !self.is_log_down,
            45..48 if self.options.do_drains_expire => self.expire_drain(),
            _ => self.deliver_one(),
        }
        self.apply_queued_inputs();
        self.check();
    }

    /// Repairs the log, and runs for up to 20,000 rounds until every request at a live host is
    /// answered and only log reads are in transit. Fails if a request is still unanswered.
    pub fn run_to_completion(&mut self) {
        self.is_log_down = false;
        for _ in 0..20_000 {
            self.now_ms += 5;
            self.apply_queued_inputs();
            self.tick();
            self.deliver_one();
            if self
                .messages
                .iter()
                .all(|message| matches!(message, Message::Read { .. }))
                && self.live_requesters() == 0
            {
                break;
            }
        }
        self.check();
        assert_eq!(
            self.live_requesters(),
            0,
            "{}: a request was never answered",
            self.failure_context()
        );
    }

    pub(super) fn live_requesters(&self) -> usize {
        let is_live = |incarnation: Incarnation| {
            self.hosts
                .iter()
                .any(|host| host.incarnation == incarnation)
        };
        self.requesters
            .keys()
            .filter(|(incarnation, _)| is_live(*incarnation))
            .count()
    }

    pub(super) fn new_host(&mut self) -> Host {
        self.next_incarnation += 1;
        let skew_ms = self.rng.random_range(0..SKEW_MS / 2).cast_signed();
        Host::new(Incarnation(self.next_incarnation), skew_ms)
    }

    /// Sends the configuration, the executors and the members to every host, and schedules a read
    /// of the log on it.
    pub(super) fn configure_all(&mut self) {
        let target: ClassTarget = ClassTarget {
            class: "stock-sync".parse().expect("the name is valid"),
            upstream: "tablets".parse().expect("the name is valid"),
            finish_within_ms: Millis(500),
            may_run_twice: false,
        };
        let classes = [(target.class.clone(), target)].into();
        let config = Config {
            revision: Revision(1),
            classes,
        };
        let executors: Vec<ExecutorInfo> = (0..EXECUTORS).map(executor_info).collect();
        let incarnations: Vec<Incarnation> =
            self.hosts.iter().map(|host| host.incarnation).collect();
        for index in 0..self.hosts.len() {
            let receiver = incarnations[index];
            let others = incarnations
                .iter()
                .filter(|incarnation| **incarnation != receiver);
            let members = others.map(|incarnation| member_of(*incarnation)).collect();
            let live_hosts =
                u32::try_from(incarnations.len()).expect("the number of hosts fits in u32");
            self.deliver_input(index, Input::Configured(config.clone()));
            self.deliver_input(index, Input::Executors(executors.clone()));
            self.deliver_input(
                index,
                Input::Members {
                    members,
                    gone: Vec::new(),
                    zone_hosts: live_hosts,
                    live_hosts,
                },
            );
            self.schedule_read(index);
        }
    }

    pub(super) fn schedule_read(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if !std::mem::replace(&mut host.is_reading, true) {
            let from = host.incarnation;
            self.messages.push(Message::Read { from });
        }
    }

    /// Applies an input to a host, or queues it while the host is frozen.
    pub(super) fn deliver_input(&mut self, index: usize, input: Input) {
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
        let incarnation = host.incarnation;
        let outputs = host.machine.handle(now, input);
        for output in outputs {
            self.execute(incarnation, output);
        }
    }

    pub(super) fn apply_queued_inputs(&mut self) {
        for index in 0..self.hosts.len() {
            while self.hosts[index].frozen_until_ms <= self.now_ms {
                let Some(input) = self.hosts[index].inbox.pop_front() else {
                    break;
                };
                self.deliver_input(index, input);
            }
        }
    }

    pub(super) fn execute(&mut self, from: Incarnation, output: Output) {
        match output {
            Output::Answer { request, answer } => self.apply_answer(from, request, answer),
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
                let executor = executor_number(executor.as_str());
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
                let executor = executor_number(executor.as_str());
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
                let executor = executor_number(executor.as_str());
                self.messages.push(Message::Query {
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
        name: format!("e{number}").parse().expect("the name is valid"),
        upstream: "tablets".parse().expect("the name is valid"),
        zone: "a".parse().expect("the name is valid"),
        rack: smol_str::SmolStr::default(),
        slots: 4,
        is_draining: false,
    }
}

fn member_of(incarnation: Incarnation) -> Member {
    Member {
        host: format!("h{incarnation}")
            .parse()
            .expect("the name is valid"),
        zone: "a".parse().expect("the name is valid"),
        incarnation,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        state: MemberState::Live,
    }
}

fn executor_number(executor: &str) -> u8 {
    executor
        .trim_start_matches('e')
        .parse()
        .expect("the name ends with the executor's number")
}

fn tasks_of(submission: &Submission) -> impl Iterator<Item = TaskId> + use<> {
    let id = submission.submission;
    let count = u16::try_from(submission.tasks.len()).expect("the number of tasks fits in u16");
    (0..count).map(move |index| TaskId {
        submission: id,
        index,
    })
}
