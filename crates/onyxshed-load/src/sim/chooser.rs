//! The policies set side by side: the product's, and what users would otherwise reach for.

use std::collections::{BTreeMap, VecDeque};

use onyxshed_core::{ClassName, Mono, Now, ResultCode, TaskId};
use onyxshed_policy::{
    Admission, AttemptEnd, AttemptOutcome, ExecutorInfo, ExpiredTask, NextStep, Policy,
    PolicyOptions, QueuedTask, RetryStep,
};
use serde::Serialize;

/// One of the policies compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rival {
    /// The product's policy.
    Onyxshed,
    /// Executors in turn; retries and timeouts, no admission.
    RoundRobin,
    /// The executor with the fewest of this host's own tasks; retries and timeouts, no admission.
    LeastOutstanding,
}

impl Rival {
    /// All of them.
    pub const ALL: [Rival; 3] = [Rival::Onyxshed, Rival::RoundRobin, Rival::LeastOutstanding];

    /// Gets a short name.
    pub fn name(self) -> &'static str {
        match self {
            Rival::Onyxshed => "onyxshed",
            Rival::RoundRobin => "round robin",
            Rival::LeastOutstanding => "least outst.",
        }
    }
}

/// One entry host's policy.
#[derive(Debug)]
pub enum Chooser {
    /// The product's.
    Policy(Box<Policy>),
    /// A baseline.
    Baseline(Baseline),
}

/// First in, first out, without admission; up to two retries of what may run twice.
#[derive(Debug)]
pub struct Baseline {
    kind: Rival,
    executors: Vec<(ExecutorInfo, u32)>,
    queue: VecDeque<(QueuedTask, u32)>,
    running: BTreeMap<TaskId, (QueuedTask, u32)>,
    turn: usize,
    connections_max: u32,
}

/// Connections of an executor, over all entry hosts.
const EXECUTOR_CONNECTIONS: u32 = 60;
const RETRIES_MAX: u32 = 2;

impl Chooser {
    /// Makes the policy of one of `hosts` entry hosts.
    pub fn new(rival: Rival, seed: u64, hosts: u32) -> Self {
        match rival {
            Rival::Onyxshed => {
                Chooser::Policy(Box::new(Policy::new(PolicyOptions::default(), seed)))
            }
            kind => Chooser::Baseline(Baseline {
                kind,
                executors: Vec::new(),
                queue: VecDeque::new(),
                running: BTreeMap::new(),
                turn: usize::try_from(seed % 97).unwrap_or_default(),
                connections_max: EXECUTOR_CONNECTIONS / hosts,
            }),
        }
    }

    /// Sets the executors known.
    pub fn set_executors(&mut self, now: Now, executors: &[ExecutorInfo]) {
        match self {
            Chooser::Policy(policy) => policy.set_executors(now, executors),
            Chooser::Baseline(baseline) => baseline.set_executors(executors),
        }
    }

    /// Sets how many entry hosts share the executors.
    pub fn set_sharers(&mut self, now: Now, sharers: u32) {
        if let Chooser::Policy(policy) = self {
            policy.set_zone_hosts(now, sharers);
        }
    }

    /// Decides whether to take in a job.
    pub fn admit(
        &mut self,
        now: Now,
        class: &ClassName,
        tasks: usize,
        deadline: Mono,
    ) -> Admission {
        match self {
            Chooser::Policy(policy) => policy.admit(now, class, tasks, deadline),
            Chooser::Baseline(_) => Admission::Accept,
        }
    }

    /// Queues a task.
    pub fn enqueue(&mut self, now: Now, work: QueuedTask) {
        match self {
            Chooser::Policy(policy) => policy.enqueue(now, work),
            Chooser::Baseline(baseline) => baseline.queue.push_back((work, 0)),
        }
    }

    /// Takes a waiting task out of the queue.
    pub fn withdraw(&mut self, task: TaskId) {
        match self {
            Chooser::Policy(policy) => {
                policy.withdraw(task);
            }
            Chooser::Baseline(baseline) => baseline.queue.retain(|(work, _)| work.task != task),
        }
    }

    /// Decides what to start now.
    pub fn next(&mut self, now: Now) -> NextStep {
        match self {
            Chooser::Policy(policy) => policy.next(now),
            Chooser::Baseline(baseline) => baseline.next(),
        }
    }

    /// Takes in an attempt's end.
    pub fn ended(&mut self, now: Now, end: &AttemptEnd) -> RetryStep {
        match self {
            Chooser::Policy(policy) => policy.apply_attempt_end(now, end),
            Chooser::Baseline(baseline) => baseline.ended(end),
        }
    }

    /// Takes out the waiting tasks whose deadline has passed.
    pub fn expired(&mut self, now: Now) -> Vec<ExpiredTask> {
        match self {
            Chooser::Policy(policy) => policy.take_expired(now),
            Chooser::Baseline(_) => Vec::new(),
        }
    }
}

impl Baseline {
    fn set_executors(&mut self, executors: &[ExecutorInfo]) {
        let known = std::mem::take(&mut self.executors);
        let outstanding = |info: &ExecutorInfo| {
            let old = known.iter().find(|(old, _)| old.name == info.name);
            old.map_or(0, |(_, count)| *count)
        };
        self.executors = executors
            .iter()
            .map(|info| (info.clone(), outstanding(info)))
            .collect();
    }

    fn next(&mut self) -> NextStep {
        if self.queue.is_empty() {
            return NextStep::Idle;
        }
        let Some(place) = self.place() else {
            return NextStep::Idle;
        };
        let Some((work, retries)) = self.queue.pop_front() else {
            return NextStep::Idle;
        };
        let (info, outstanding) = &mut self.executors[place];
        *outstanding += 1;
        let task = work.task;
        self.running.insert(task, (work, retries));
        NextStep::Start {
            task,
            executor: info.name.clone(),
            is_hedge: false,
        }
    }

    fn place(&mut self) -> Option<usize> {
        let count = self.executors.len();
        let mut in_turn = (0..count).map(|step| (self.turn + step) % count);
        let has_room = |place: &usize| self.executors[*place].1 < self.connections_max;
        let place = match self.kind {
            Rival::RoundRobin => in_turn.find(has_room),
            _ => in_turn
                .filter(has_room)
                .min_by_key(|place| self.executors[*place].1),
        }?;
        self.turn = place + 1;
        Some(place)
    }

    fn ended(&mut self, end: &AttemptEnd) -> RetryStep {
        let executor = self
            .executors
            .iter_mut()
            .find(|(info, _)| info.name == end.executor);
        if let Some((_, outstanding)) = executor {
            *outstanding = outstanding.saturating_sub(1);
        }
        let Some((work, retries)) = self.running.remove(&end.task) else {
            return RetryStep::Wait;
        };
        let is_unstarted = matches!(
            end.outcome,
            AttemptOutcome::Refused | AttemptOutcome::Unsent
        );
        let did_fail = !matches!(
            end.outcome,
            AttemptOutcome::Finished | AttemptOutcome::Stopped
        );
        let may_retry = is_unstarted || (did_fail && work.may_run_twice);
        if retries < RETRIES_MAX && may_retry {
            self.queue.push_back((work, retries + 1));
            return RetryStep::Queued;
        }
        RetryStep::GiveUp(match end.outcome {
            AttemptOutcome::Refused | AttemptOutcome::Unsent => ResultCode::RefusedByUpstream,
            AttemptOutcome::Lost => ResultCode::ConnectionLost,
            _ => ResultCode::TaskFailed,
        })
    }
}
