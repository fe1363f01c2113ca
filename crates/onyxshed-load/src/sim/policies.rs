//! The compared policies: the dispatcher's own, and two baselines that users could choose instead.

use std::collections::{BTreeMap, VecDeque};

use onyxshed_core::{ClassName, Mono, Now, ResultCode, TaskId};
use onyxshed_policy::{
    Admission, AttemptEnd, AttemptOutcome, ExecutorInfo, ExpiredTask, NextStep, Policy,
    PolicyOptions, QueuedTask, RetryStep,
};
use serde::Serialize;

/// The policies that [`super::simulate`] compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// The dispatcher's own policy.
    Onyxshed,
    /// Selects the executors in turn, with retries and timeouts but without admission control.
    RoundRobin,
    /// Selects the executor with the fewest running attempts of this host, with retries and
    /// timeouts but without admission control.
    LeastOutstanding,
}

impl PolicyKind {
    /// All policies, in the order of a plot's series.
    pub const ALL: [PolicyKind; 3] = [
        PolicyKind::Onyxshed,
        PolicyKind::RoundRobin,
        PolicyKind::LeastOutstanding,
    ];

    /// Returns the short name of the policy for tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Onyxshed => "onyxshed",
            PolicyKind::RoundRobin => "round robin",
            PolicyKind::LeastOutstanding => "least outst.",
        }
    }
}

/// The policy of one simulated entry host.
#[derive(Debug)]
pub enum HostPolicy {
    /// The dispatcher's own policy.
    Policy(Box<Policy>),
    /// One of the two baselines: round robin or least outstanding.
    Baseline(Baseline),
}

/// A baseline: a first-in, first-out queue without admission control. An attempt is retried up to
/// twice if its task did not start or may run twice.
#[derive(Debug)]
pub struct Baseline {
    kind: PolicyKind,
    executors: Vec<(ExecutorInfo, u32)>,
    queue: VecDeque<(QueuedTask, u32)>,
    running: BTreeMap<TaskId, (QueuedTask, u32)>,
    next_index: usize,
    connections_max: u32,
}

/// Number of connections to an executor from all entry hosts together.
const EXECUTOR_CONNECTIONS: u32 = 60;
const RETRIES_MAX: u32 = 2;

impl HostPolicy {
    /// Creates the policy of one of `hosts` entry hosts. The seed sets the random numbers of the
    /// dispatcher's policy and the executor with which a baseline starts.
    pub fn new(policy: PolicyKind, seed: u64, hosts: u32) -> Self {
        match policy {
            PolicyKind::Onyxshed => {
                HostPolicy::Policy(Box::new(Policy::new(PolicyOptions::default(), seed)))
            }
            kind => HostPolicy::Baseline(Baseline {
                kind,
                executors: Vec::new(),
                queue: VecDeque::new(),
                running: BTreeMap::new(),
                next_index: usize::try_from(seed % 97).unwrap_or_default(),
                connections_max: EXECUTOR_CONNECTIONS / hosts,
            }),
        }
    }

    /// Replaces the list of executors on which tasks may be started.
    pub fn set_executors(&mut self, now: Now, executors: &[ExecutorInfo]) {
        match self {
            HostPolicy::Policy(policy) => policy.set_executors(now, executors),
            HostPolicy::Baseline(baseline) => baseline.set_executors(executors),
        }
    }

    /// Sets the number of entry hosts that share the executors. The baselines ignore it.
    pub fn set_zone_hosts(&mut self, now: Now, zone_hosts: u32) {
        if let HostPolicy::Policy(policy) = self {
            policy.set_zone_hosts(now, zone_hosts);
        }
    }

    /// Applies the policy's admission; the baselines accept every job.
    pub fn admit(
        &mut self,
        now: Now,
        class: &ClassName,
        tasks: usize,
        deadline: Mono,
    ) -> Admission {
        match self {
            HostPolicy::Policy(policy) => policy.admit(now, class, tasks, deadline),
            HostPolicy::Baseline(_) => Admission::Accept,
        }
    }

    /// Adds a task of an admitted job to the policy's queue.
    pub fn enqueue(&mut self, now: Now, queued: QueuedTask) {
        match self {
            HostPolicy::Policy(policy) => policy.enqueue(now, queued),
            HostPolicy::Baseline(baseline) => baseline.queue.push_back((queued, 0)),
        }
    }

    /// Removes a task from the queue, if it is there, because its job has ended.
    pub fn withdraw(&mut self, task: TaskId) {
        match self {
            HostPolicy::Policy(policy) => {
                policy.withdraw(task);
            }
            HostPolicy::Baseline(baseline) => {
                baseline.queue.retain(|(queued, _)| queued.task != task)
            }
        }
    }

    /// Decides which task to start next and on which executor.
    pub fn next(&mut self, now: Now) -> NextStep {
        match self {
            HostPolicy::Policy(policy) => policy.next(now),
            HostPolicy::Baseline(baseline) => baseline.next(),
        }
    }

    /// Applies the end of an attempt and decides whether its task is retried.
    pub fn apply_attempt_end(&mut self, now: Now, end: &AttemptEnd) -> RetryStep {
        match self {
            HostPolicy::Policy(policy) => policy.apply_attempt_end(now, end),
            HostPolicy::Baseline(baseline) => baseline.apply_attempt_end(end),
        }
    }

    /// Removes and returns the queued tasks whose deadline has passed. The baselines return none.
    pub fn take_expired(&mut self, now: Now) -> Vec<ExpiredTask> {
        match self {
            HostPolicy::Policy(policy) => policy.take_expired(now),
            HostPolicy::Baseline(_) => Vec::new(),
        }
    }
}

impl Baseline {
    fn set_executors(&mut self, executors: &[ExecutorInfo]) {
        let previous = std::mem::take(&mut self.executors);
        let outstanding = |info: &ExecutorInfo| {
            let old = previous.iter().find(|(old, _)| old.name == info.name);
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
        let Some(index) = self.select_executor() else {
            return NextStep::Idle;
        };
        let Some((queued, retries)) = self.queue.pop_front() else {
            return NextStep::Idle;
        };
        let (info, outstanding) = &mut self.executors[index];
        *outstanding += 1;
        let task = queued.task;
        self.running.insert(task, (queued, retries));
        NextStep::Start {
            task,
            executor: info.name.clone(),
            is_hedge: false,
        }
    }

    fn select_executor(&mut self) -> Option<usize> {
        let count = self.executors.len();
        let mut in_turn = (0..count).map(|step| (self.next_index + step) % count);
        let has_capacity = |index: &usize| self.executors[*index].1 < self.connections_max;
        let index = match self.kind {
            PolicyKind::RoundRobin => in_turn.find(has_capacity),
            _ => in_turn
                .filter(has_capacity)
                .min_by_key(|index| self.executors[*index].1),
        }?;
        self.next_index = index + 1;
        Some(index)
    }

    fn apply_attempt_end(&mut self, end: &AttemptEnd) -> RetryStep {
        let executor = self
            .executors
            .iter_mut()
            .find(|(info, _)| info.name == end.executor);
        if let Some((_, outstanding)) = executor {
            *outstanding = outstanding.saturating_sub(1);
        }
        let Some((queued, retries)) = self.running.remove(&end.task) else {
            return RetryStep::Wait;
        };
        let is_unstarted = matches!(
            end.outcome,
            AttemptOutcome::Refused | AttemptOutcome::Unsent
        );
        let has_failed = !matches!(
            end.outcome,
            AttemptOutcome::Finished | AttemptOutcome::Stopped
        );
        let may_retry = is_unstarted || (has_failed && queued.may_run_twice);
        if retries < RETRIES_MAX && may_retry {
            self.queue.push_back((queued, retries + 1));
            return RetryStep::Queued;
        }
        RetryStep::GiveUp(match end.outcome {
            AttemptOutcome::Refused | AttemptOutcome::Unsent => ResultCode::RefusedByUpstream,
            AttemptOutcome::Lost => ResultCode::ConnectionLost,
            _ => ResultCode::TaskFailed,
        })
    }
}
