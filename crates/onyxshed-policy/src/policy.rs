//! The policy as a whole: admission, order, placement and what follows an attempt.

use std::collections::{BTreeMap, VecDeque};

use onyxshed_core::{ClassName, ClassTarget, ExecutorName, Millis, Mono, Now, ResultCode, TaskId};

use crate::work::{Admission, AttemptEnd, ExecutorInfo, NextStep, RetryStep, Verdict, Work};

/// Limits of the policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyOptions {
    /// Most tasks waiting. Default 20,000.
    pub queue_max: usize,
}

impl Default for PolicyOptions {
    fn default() -> Self {
        PolicyOptions { queue_max: 20_000 }
    }
}

#[derive(Debug)]
struct Executor {
    info: ExecutorInfo,
    in_flight: u32,
}

/// The policy's state.
#[derive(Debug)]
pub struct Policy {
    options: PolicyOptions,
    classes: BTreeMap<ClassName, ClassTarget>,
    executors: BTreeMap<ExecutorName, Executor>,
    queue: VecDeque<Work>,
    running: BTreeMap<TaskId, Work>,
}

impl Policy {
    /// Makes a policy; `seed` feeds every draw it makes.
    pub fn new(options: PolicyOptions, _seed: u64) -> Self {
        Policy {
            options,
            classes: BTreeMap::new(),
            executors: BTreeMap::new(),
            queue: VecDeque::new(),
            running: BTreeMap::new(),
        }
    }

    /// Sets the classes in force.
    pub fn set_classes(&mut self, _now: Now, classes: &BTreeMap<ClassName, ClassTarget>) {
        self.classes = classes.clone();
    }

    /// Sets the executors known; those left out get no new work.
    pub fn set_executors(&mut self, _now: Now, executors: &[ExecutorInfo]) {
        let mut known = std::mem::take(&mut self.executors);
        for info in executors {
            let in_flight = known
                .remove(&info.name)
                .map_or(0, |executor| executor.in_flight);
            let executor = Executor {
                info: info.clone(),
                in_flight,
            };
            self.executors.insert(info.name.clone(), executor);
        }
    }

    /// Sets how many live entry hosts share this zone's executors, this one included.
    pub fn set_sharers(&mut self, _now: Now, _sharers: u32) {}

    /// Decides whether to take in a job of `tasks` tasks that must end by `deadline`.
    pub fn admit(
        &mut self,
        _now: Now,
        class: &ClassName,
        tasks: usize,
        _deadline: Mono,
    ) -> Admission {
        let refuse = |code| Admission::Refuse {
            code,
            retry_after_ms: Millis(1_000),
        };
        if !self.classes.contains_key(class) {
            return refuse(ResultCode::UnknownClass);
        }
        if self.queue.len() + tasks > self.options.queue_max {
            return refuse(ResultCode::Overloaded);
        }
        Admission::Accept
    }

    /// Queues a task.
    pub fn enqueue(&mut self, _now: Now, work: Work) {
        self.queue.push_back(work);
    }

    /// Takes a waiting task out of the queue; false if it was not waiting.
    pub fn withdraw(&mut self, task: TaskId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|work| work.task != task);
        self.queue.len() < before
    }

    /// Decides what to start now.
    pub fn next(&mut self, _now: Now) -> NextStep {
        let Some(work) = self.queue.front() else {
            return NextStep::Idle;
        };
        let Some(target) = self.classes.get(&work.class) else {
            return NextStep::Idle;
        };
        let free = self.executors.values_mut().filter(|executor| {
            executor.info.upstream == target.upstream
                && !executor.info.is_leaving
                && executor.in_flight < executor.info.slots
        });
        let Some(executor) = free.min_by_key(|executor| executor.in_flight) else {
            return NextStep::Idle;
        };
        executor.in_flight += 1;
        let executor = executor.info.name.clone();
        let work = self
            .queue
            .pop_front()
            .expect("the front was just looked at");
        let task = work.task;
        self.running.insert(task, work);
        NextStep::Start {
            task,
            executor,
            is_hedge: false,
        }
    }

    /// Takes in an attempt's end and decides what becomes of its task.
    ///
    /// For [`Verdict::Finished`] the step has no meaning.
    pub fn ended(&mut self, _now: Now, end: &AttemptEnd) -> RetryStep {
        if let Some(executor) = self.executors.get_mut(&end.executor) {
            executor.in_flight = executor.in_flight.saturating_sub(1);
        }
        let work = self.running.remove(&end.task);
        match (end.verdict, work) {
            (Verdict::Refused | Verdict::Unsent, Some(work)) => {
                self.queue.push_back(work);
                RetryStep::Queued
            }
            (Verdict::Lost, _) => RetryStep::GiveUp(ResultCode::ConnectionLost),
            (Verdict::Lapsed, _) => RetryStep::GiveUp(ResultCode::LeaseLapsed),
            _ => RetryStep::GiveUp(ResultCode::TaskFailed),
        }
    }

    /// Takes out the waiting tasks whose deadline has passed.
    pub fn expired(&mut self, now: Now) -> Vec<TaskId> {
        let late = |work: &Work| work.deadline <= now.mono;
        let expired = self
            .queue
            .iter()
            .filter(|work| late(work))
            .map(|work| work.task)
            .collect();
        self.queue.retain(|work| !late(work));
        expired
    }
}
