//! Constructors for the inputs of the policy.

use std::collections::BTreeMap;

use onyxshed_core::{ClassName, ClassTarget, Micros, Millis, Mono, Now, TaskId, UnixMs};
use onyxshed_policy::{
    AttemptEnd, AttemptOutcome, ExecutorInfo, NextStep, Policy, PolicyOptions, QueuedTask,
};
use onyxshed_wire::upstream::LoadReport;

pub fn at_us(us: u64) -> Now {
    Now {
        mono: Mono(us),
        wall: UnixMs(us / 1_000),
    }
}

pub fn at_ms(ms: u64) -> Now {
    at_us(ms * 1_000)
}

pub fn class(name: &str) -> ClassName {
    name.parse().expect("the text is a valid class name")
}

/// Returns the task `index` of job number `job`.
pub fn task(job: u64, index: u16) -> TaskId {
    let text = format!("{:026}.{index}", job);
    text.parse().expect("the text is a valid task id")
}

pub fn target(
    name: &str,
    upstream: &str,
    finish_within_ms: u64,
    may_run_twice: bool,
) -> ClassTarget {
    ClassTarget {
        class: class(name),
        upstream: upstream.parse().expect("the text is a valid upstream name"),
        finish_within_ms: Millis(finish_within_ms),
        may_run_twice,
    }
}

pub fn executor(name: &str, upstream: &str, slots: u32) -> ExecutorInfo {
    ExecutorInfo {
        name: name.parse().expect("the text is a valid executor name"),
        upstream: upstream.parse().expect("the text is a valid upstream name"),
        zone: "z1".parse().expect("the text is a valid zone name"),
        rack: "r1".into(),
        slots,
        is_draining: false,
    }
}

pub fn policy(
    options: PolicyOptions,
    targets: &[ClassTarget],
    executors: &[ExecutorInfo],
) -> Policy {
    let mut policy = Policy::new(options, 7);
    let classes: BTreeMap<ClassName, ClassTarget> = targets
        .iter()
        .map(|target| (target.class.clone(), target.clone()))
        .collect();
    policy.set_classes(at_ms(0), &classes);
    policy.set_executors(at_ms(0), executors);
    policy
}

pub fn work(task: TaskId, target: &ClassTarget, now: Now) -> QueuedTask {
    QueuedTask {
        task,
        class: target.class.clone(),
        deadline: now.mono + target.finish_within_ms,
        may_run_twice: target.may_run_twice,
    }
}

pub fn end(task: TaskId, executor: &str, outcome: AttemptOutcome) -> AttemptEnd {
    let has_run = matches!(outcome, AttemptOutcome::Finished | AttemptOutcome::Failed);
    AttemptEnd {
        task,
        executor: executor.parse().expect("the text is a valid executor name"),
        outcome,
        service_us: has_run.then_some(Micros(100_000)),
        load: has_run.then(LoadReport::default),
    }
}

/// Calls `next` until nothing more starts; returns task and executor of each start.
pub fn starts(policy: &mut Policy, now: Now) -> Vec<(TaskId, String)> {
    let mut found = Vec::new();
    while let NextStep::Start { task, executor, .. } = policy.next(now) {
        found.push((task, executor.to_string()));
    }
    found
}
