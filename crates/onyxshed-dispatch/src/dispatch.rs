//! The state machine [`Dispatch`]: applies an input, advances jobs and claims, and returns the
//! outputs.

mod admit;
mod attempt;
mod caller;
mod claim;
mod completion;
mod drain;
mod forward;
mod pump;
mod query;
mod status;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use onyxshed_core::{
    ClassName, Event, EventKind, ExecutorName, Incarnation, Micros, Mono, Now, SubmissionId, TaskId,
};
use onyxshed_policy::Policy;
use onyxshed_policy::decision::PolicyDecision;
use onyxshed_state::{ClaimBook, Config, Member};
use onyxshed_wire::caller::Answer;

use crate::input::Input;
use crate::job::{ClaimingJob, Job, RunningJob};
use crate::options::DispatchOptions;
use crate::output::{AttemptId, Output, RequestId};
use crate::table::JobTable;

/// One start of a task on an executor, until its end is known.
#[derive(Debug, Clone)]
struct Attempt {
    task: TaskId,
    class: ClassName,
    executor: ExecutorName,
    /// Whether the attempt was lost and a stop was sent to determine the state of its task.
    is_resolving: bool,
    /// Time of the next query for the task's status.
    query_at: Mono,
    /// Interval before the next query; it doubles with every query.
    query_interval_us: Micros,
}

/// State machine that decides which tasks an entry host starts, and how each request is answered.
#[derive(Debug)]
pub struct Dispatch {
    own_incarnation: Incarnation,
    options: DispatchOptions,
    config: Option<Config>,
    /// Whether a list of executors has been received.
    has_executors: bool,
    /// Claims of this host, and holders of other claims that were read from the log.
    book: ClaimBook,
    policy: Policy,
    jobs: JobTable,
    attempts: HashMap<AttemptId, Attempt>,
    /// Attempts by the time of their next status query.
    queries: BTreeSet<(Mono, AttemptId)>,
    last_attempt: u64,
    /// Known members except this host.
    members: BTreeMap<Incarnation, Member>,
    /// Incarnations that are considered permanently gone.
    gone: BTreeSet<Incarnation>,
    /// Requests that wait for the answer of a peer.
    forwarded_requests: BTreeMap<RequestId, forward::ForwardedRequest>,
    /// Total size of the payloads of jobs that have not ended, in bytes.
    running_bytes: u64,
    drain_state: drain::DrainState,
    /// Time by which an [`Input::Tick`] is needed.
    wake_at: Option<Mono>,
    /// Outputs of the input being processed.
    outputs: Vec<Output>,
}

impl Dispatch {
    /// Creates the state machine of one incarnation; `seed` seeds all of its random choices.
    pub fn new(own_incarnation: Incarnation, options: DispatchOptions, seed: u64) -> Self {
        Dispatch {
            own_incarnation,
            config: None,
            has_executors: false,
            book: ClaimBook::new(own_incarnation, options.claims.clone()),
            policy: Policy::new(options.policy.clone(), seed),
            jobs: JobTable::default(),
            attempts: HashMap::new(),
            queries: BTreeSet::new(),
            last_attempt: 0,
            members: BTreeMap::new(),
            gone: BTreeSet::new(),
            forwarded_requests: BTreeMap::new(),
            running_bytes: 0,
            drain_state: drain::DrainState::NotDraining,
            wake_at: None,
            outputs: Vec::new(),
            options,
        }
    }

    /// Applies an input and returns the outputs to execute, in order.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        // Due jobs are processed first: a process that was frozen must detect that a job is over
        // before it starts another task of that job.
        self.process_due(now);
        self.apply_input(now, input);
        self.pump(now);
        self.emit_policy_decisions();
        std::mem::take(&mut self.outputs)
    }

    fn apply_input(&mut self, now: Now, input: Input) {
        match input {
            Input::Submit {
                request,
                submission,
                caller,
                is_forwarded,
            } => {
                self.submit(now, request, submission, caller, is_forwarded);
            }
            Input::Fetch {
                request,
                id,
                is_forwarded,
            } => {
                self.fetch(now, request, id, is_forwarded);
            }
            Input::Cancel {
                request,
                id,
                is_forwarded,
            } => {
                self.cancel(now, request, id, is_forwarded);
            }
            Input::ForwardEnded {
                request,
                id,
                answer,
            } => self.apply_forward_answer(request, id, answer),
            Input::Configured(config) => self.apply_config(now, config),
            Input::Executors(executors) => {
                self.has_executors = true;
                self.policy.set_executors(now, &executors);
            }
            Input::Members {
                members,
                gone,
                zone_hosts,
                live_hosts,
            } => {
                self.gone = gone.into_iter().collect();
                self.set_members(now, members, zone_hosts, live_hosts);
            }
            Input::LogRead {
                oldest,
                next,
                records,
            } => {
                self.apply_log_records(now, oldest, next, &records);
            }
            Input::LogLost => self.apply_log_loss(now),
            Input::AppendEnded { batch, result } => self.apply_append_result(now, batch, result),
            Input::AttemptEnded { attempt, report } => self.apply_attempt_end(now, attempt, report),
            Input::StopEnded { attempt, report } => self.apply_stop_end(now, attempt, report),
            Input::QueryEnded { attempt, status } => self.apply_task_status(now, attempt, status),
            Input::Drain => self.begin_drain(),
            Input::DrainExpired => self.expire_drain(now),
            Input::Tick => {}
        }
    }

    /// Emits an event for each decision of the policy on executors, jobs and classes.
    fn emit_policy_decisions(&mut self) {
        for decision in self.policy.drain_decisions() {
            let event = match decision {
                PolicyDecision::BreakerOpened { executor, reason } => {
                    Event::new(EventKind::BreakerOpened)
                        .party(executor.as_str())
                        .detail(smol_str::format_smolstr!("{reason}"))
                }
                PolicyDecision::BreakerClosed { executor } => {
                    Event::new(EventKind::BreakerClosed).party(executor.as_str())
                }
                PolicyDecision::JobUnrunnable { submission, class } => {
                    Event::new(EventKind::JobBlamed)
                        .submission(submission)
                        .class(&class)
                }
                PolicyDecision::ClassUnrunnable { class } => Event::new(EventKind::JobBlamed)
                    .class(&class)
                    .detail("every job of the class"),
                PolicyDecision::ClassRunnable { class } => Event::new(EventKind::JobBlamed)
                    .class(&class)
                    .detail("no longer"),
            };
            self.emit(event);
        }
    }

    /// Applies a configuration if its revision is higher than that of the current one.
    fn apply_config(&mut self, now: Now, config: Config) {
        let is_newer = self
            .config
            .as_ref()
            .is_none_or(|current| config.revision > current.revision);
        if !is_newer {
            return;
        }
        self.policy.set_classes(now, &config.classes);
        let detail = smol_str::format_smolstr!("revision {}", config.revision);
        self.emit(Event::new(EventKind::ConfigInForce).detail(detail));
        self.config = Some(config);
    }

    fn set_members(&mut self, now: Now, members: Vec<Member>, zone_hosts: u32, live_hosts: u32) {
        self.book.set_live_hosts(live_hosts as usize);
        self.members = members
            .into_iter()
            .map(|member| (member.incarnation, member))
            .collect();
        self.policy.set_zone_hosts(now, zone_hosts.max(1));
        self.refuse_unreachable_forwards();
    }

    /// Answers a request. The answer names the incarnation to which the caller can bind new ids:
    /// the incarnation in a peer's answer if it names any, otherwise this one.
    fn answer(&mut self, request: RequestId, mut answer: Answer) {
        answer.bind_to = answer.bind_to.or(Some(self.own_incarnation));
        self.outputs.push(Output::Answer { request, answer });
    }

    /// Emits an event. An event without a class gets the class of its job if the job is in the
    /// table.
    fn emit(&mut self, mut event: Event) {
        let job = event.submission.and_then(|id| self.jobs.get(id));
        event.class = event.class.or_else(|| Some(job?.class().clone()));
        self.outputs.push(Output::Emit(event));
    }

    fn claiming_mut(&mut self, id: SubmissionId) -> Option<&mut ClaimingJob> {
        match self.jobs.get_mut(id) {
            Some(Job::Claiming(job)) => Some(job),
            _ => None,
        }
    }

    fn running_mut(&mut self, id: SubmissionId) -> Option<&mut RunningJob> {
        match self.jobs.get_mut(id) {
            Some(Job::Running(job)) => Some(job),
            _ => None,
        }
    }

    fn reserve_bytes(&mut self, payloads: &[std::rc::Rc<Vec<u8>>]) {
        self.running_bytes += total_bytes(payloads);
    }

    fn release_bytes(&mut self, payloads: &[std::rc::Rc<Vec<u8>>]) {
        self.running_bytes -= total_bytes(payloads);
    }
}

fn total_bytes(payloads: &[std::rc::Rc<Vec<u8>>]) -> u64 {
    payloads.iter().map(|payload| payload.len() as u64).sum()
}
