//! Tests of single mechanisms: breakers, unrunnable jobs, budgets and hedges.

use onyxshed_core::{Micros, ResultCode, TaskId};
use onyxshed_policy::{
    Admission, AttemptOutcome, BreakerReason, NextStep, PlacementKind, Policy, PolicyDecision,
    PolicyOptions, RetryStep,
};
use rstest::rstest;

use crate::fixture::{at_ms, at_us, end, executor, policy, starts, target, task, work};

/// Runs `jobs` jobs one after another, each with a service time of `service_ms`, so that the class
/// has an estimate.
fn warm_up(policy: &mut Policy, target: &onyxshed_core::ClassTarget, jobs: u64, service_ms: u64) {
    for job in 0..jobs {
        let now = at_us(1_000 + job);
        let id = task(1_000_000 + job, 0);
        policy.enqueue(now, work(id, target, now));
        let (id, name) = starts(policy, now).pop().expect("the policy starts a task");
        let mut finished = end(id, &name, AttemptOutcome::Finished);
        finished.service_us = Some(Micros(service_ms * 1_000));
        policy.apply_attempt_end(now, &finished);
    }
}

fn start_one(policy: &mut Policy, ms: u64) -> Option<(TaskId, String)> {
    match policy.next(at_ms(ms)) {
        NextStep::Start { task, executor, .. } => Some((task, executor.to_string())),
        _ => None,
    }
}

#[rstest]
#[case("least_finish", Some(PlacementKind::LeastFinish))]
#[case("round_robin", Some(PlacementKind::RoundRobin))]
#[case("least_outstanding", Some(PlacementKind::LeastOutstanding))]
#[case("fastest", None)]
fn placement_parses_from_its_name(#[case] name: &str, #[case] kind: Option<PlacementKind>) {
    assert_eq!(name.parse().ok(), kind);
    assert!(kind.is_none_or(|kind| kind.to_string() == name));
}

/// The only executor cannot be reached. Three unsent starts open its breaker. After the pause
/// exactly one task is sent as a probe, and the others follow only after it has finished.
#[test]
fn dead_executor_is_probed_with_one_task() {
    let once = target("once", "desk", 60_000, false);
    let executors = [executor("x1", "desk", 4)];
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&once),
        &executors,
    );
    for index in 0..8 {
        policy.enqueue(at_ms(0), work(task(1, index), &once, at_ms(0)));
    }
    for (id, name) in starts(&mut policy, at_ms(0)) {
        policy.apply_attempt_end(at_ms(1), &end(id, &name, AttemptOutcome::Unsent));
    }
    let reason = BreakerReason::Dead;
    let executor = executors[0].name.clone();
    assert_eq!(
        policy.drain_decisions(),
        [PolicyDecision::BreakerOpened {
            executor: executor.clone(),
            reason
        }]
    );
    assert_eq!(starts(&mut policy, at_ms(100)), []);
    let probe = starts(&mut policy, at_ms(3_000));
    assert_eq!(probe.len(), 1);
    assert_eq!(starts(&mut policy, at_ms(9_000)), []);
    policy.apply_attempt_end(
        at_ms(9_000),
        &end(probe[0].0, "x1", AttemptOutcome::Finished),
    );
    assert_eq!(
        policy.drain_decisions(),
        [PolicyDecision::BreakerClosed { executor }]
    );
    assert_eq!(
        starts(&mut policy, at_ms(9_000)).len(),
        1,
        "the limit must restart from one task"
    );
}

/// An executor immediately fails every task while the class succeeds on others. A failed probe
/// loses a task that may not run twice, so probes must use tasks of the class that may.
#[test]
fn probes_use_tasks_that_may_run_twice() {
    let once = target("once", "desk", 60_000, false);
    let twice = target("twice", "desk", 60_000, true);
    let executors = [executor("x1", "desk", 1), executor("x2", "desk", 2)];
    let targets = [once.clone(), twice.clone()];
    let mut policy = policy(PolicyOptions::default(), &targets, &executors);
    let mut job = 0;
    let mut is_open = false;
    while !is_open && job < 100 {
        job += 1;
        policy.enqueue(at_ms(job), work(task(job, 0), &twice, at_ms(job)));
        while let Some((id, name)) = start_one(&mut policy, job) {
            let outcome = if name == "x1" {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Finished
            };
            let mut ended = end(id, &name, outcome);
            ended.service_us = Some(Micros(4_000_000));
            policy.apply_attempt_end(at_ms(job), &ended);
        }
        is_open = policy
            .drain_decisions()
            .iter()
            .any(|decision| matches!(decision, PolicyDecision::BreakerOpened { .. }));
    }
    assert!(is_open, "the breaker of x1 did not open");
    let later = job + 5_000;
    policy.enqueue(at_ms(later), work(task(900, 0), &twice, at_ms(later)));
    let first = start_one(&mut policy, later).expect("the policy starts a task");
    assert_eq!(first.1, "x1", "a task that may run twice must probe x1");
    policy.apply_attempt_end(at_ms(later), &end(first.0, "x1", AttemptOutcome::Failed));
    let second = start_one(&mut policy, later).expect("the policy starts a task");
    assert_eq!(second.1, "x2");
    policy.enqueue(
        at_ms(later + 9_000),
        work(task(901, 0), &once, at_ms(later + 9_000)),
    );
    let third = start_one(&mut policy, later + 9_000).expect("the policy starts a task");
    assert_eq!(
        third.1, "x2",
        "a task that may not run twice must not probe x1"
    );
}

/// One job fails on three executors that run other jobs of its class well. It must end with the
/// result code for jobs that can never run, after three attempts although there are more executors.
#[test]
fn job_failing_on_three_executors_is_unrunnable() {
    let twice = target("twice", "desk", 60_000, true);
    let executors = ["x1", "x2", "x3", "x4", "x5"].map(|name| executor(name, "desk", 1));
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&twice),
        &executors,
    );
    warm_up(&mut policy, &twice, 40, 100);
    policy.enqueue(at_ms(100), work(task(1, 0), &twice, at_ms(100)));
    let mut steps = Vec::new();
    while let Some((id, name)) = start_one(&mut policy, 100) {
        steps.push(policy.apply_attempt_end(at_ms(100), &end(id, &name, AttemptOutcome::Failed)));
    }
    let unrunnable = RetryStep::GiveUp(ResultCode::NeverRuns);
    assert_eq!(steps, [RetryStep::Queued, RetryStep::Queued, unrunnable]);
    let decisions = policy.drain_decisions();
    assert!(
        matches!(decisions.as_slice(), [PolicyDecision::JobUnrunnable { .. }]),
        "{decisions:?}"
    );
}

/// Executors refuse every start, so no finished task refills the retry budget. Refused starts must
/// be retried only while the budget lasts; after that each task fails immediately instead of
/// costing another message.
#[test]
fn refused_starts_are_not_retried_without_budget() {
    let once = target("once", "desk", 60_000, false);
    let executors = [executor("x1", "desk", 8), executor("x2", "desk", 8)];
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&once),
        &executors,
    );
    for index in 0..200 {
        policy.enqueue(at_ms(0), work(task(1, index), &once, at_ms(0)));
    }
    let mut refused = 0;
    for ms in 0..30_000 {
        for (id, name) in starts(&mut policy, at_ms(ms)) {
            refused += 1;
            policy.apply_attempt_end(at_ms(ms), &end(id, &name, AttemptOutcome::Refused));
        }
    }
    assert_eq!(policy.queued_tasks(), 0);
    assert!(
        refused <= 300,
        "{refused} starts were refused for 200 tasks and a retry budget of 100"
    );
    assert_eq!(policy.wasted_messages().refusals, refused);
}

/// A task runs far longer than its class usually does. If the class may run twice, a hedge is sent
/// when the deadline is near; after the first copy has finished, `executors_running` returns the
/// executor of the other copy, which is to be stopped. With a loose target the hedge must be sent
/// late, and a class that may not run twice must get none.
#[rstest]
#[case::tight(true, 600, Some(200..600))]
#[case::loose(true, 20_000, Some(19_000..20_000))]
#[case::once(false, 600, None)]
fn late_task_is_hedged_before_its_deadline(
    #[case] may_run_twice: bool,
    #[case] within_ms: u64,
    #[case] expected: Option<std::ops::Range<u64>>,
) {
    let class = target("lock", "desk", within_ms, may_run_twice);
    let executors = [executor("x1", "desk", 8), executor("x2", "desk", 8)];
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&class),
        &executors,
    );
    warm_up(&mut policy, &class, 40, 100);
    let id = task(1, 0);
    policy.enqueue(at_ms(100), work(id, &class, at_ms(100)));
    let first = start_one(&mut policy, 100).expect("the policy starts a task");
    let hedge = (100..100 + within_ms).find_map(|ms| Some((ms, start_one(&mut policy, ms)?)));
    assert_eq!(hedge.is_some(), expected.is_some());
    if let (Some((ms, (hedged, name))), Some(range)) = (hedge, expected) {
        assert!(
            range.contains(&(ms - 100)),
            "the hedge was started after {} ms",
            ms - 100
        );
        assert_eq!(hedged, id);
        assert_ne!(name, first.1);
        policy.apply_attempt_end(at_ms(ms + 1), &end(id, &name, AttemptOutcome::Finished));
        let still_running: Vec<String> = policy
            .executors_running(id)
            .iter()
            .map(ToString::to_string)
            .collect();
        assert_eq!(still_running, [first.1]);
    }
}

/// An executor reports with a response that it is draining, before any host list does. No new task
/// may be sent to it.
#[test]
fn draining_report_stops_new_tasks() {
    let once = target("once", "desk", 60_000, false);
    let executors = [executor("x1", "desk", 8)];
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&once),
        &executors,
    );
    policy.enqueue(at_ms(0), work(task(1, 0), &once, at_ms(0)));
    starts(&mut policy, at_ms(0));
    let mut finished = end(task(1, 0), "x1", AttemptOutcome::Finished);
    finished.load = Some(onyxshed_wire::upstream::LoadReport {
        is_draining: true,
        ..Default::default()
    });
    policy.apply_attempt_end(at_ms(10), &finished);
    policy.enqueue(at_ms(10), work(task(2, 0), &once, at_ms(10)));
    assert_eq!(starts(&mut policy, at_ms(2_000)), []);
}

/// Every executor is dead and every breaker open, so the capacity is zero and every job looks
/// infeasible. When a probe is due, a job must still be admitted and started; otherwise the
/// recovery of the executors would never be detected.
#[test]
fn job_is_admitted_as_probe_at_zero_capacity() {
    let class = target("lock", "desk", 2_000, false);
    let executors = ["x1", "x2", "x3"].map(|name| executor(name, "desk", 4));
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&class),
        &executors,
    );
    warm_up(&mut policy, &class, 40, 100);
    for ms in 100..2_000 {
        let now = at_ms(ms);
        policy.enqueue(now, work(task(ms, 0), &class, now));
        for (id, name) in starts(&mut policy, now) {
            policy.apply_attempt_end(now, &end(id, &name, AttemptOutcome::Unsent));
        }
        policy.take_expired_ids(now);
    }
    let waiting: Vec<TaskId> = (100..2_000).map(|job| task(job, 0)).collect();
    for id in waiting {
        policy.withdraw(id);
    }
    let started = (2_000..3_000).find_map(|ms| {
        let now = at_ms(ms);
        let deadline = now.mono + class.finish_within_ms;
        if policy.admit(now, &class.class, 1, deadline) == Admission::Accept {
            policy.enqueue(now, work(task(ms, 0), &class, now));
        }
        starts(&mut policy, now).pop()
    });
    assert!(started.is_some(), "no probe was started within a second");
}

/// A rack of eight executors fails without notice. One probe per pause must serve for all of them,
/// and the first successful probe must immediately move the probes of the others forward.
#[test]
fn dead_rack_is_probed_with_one_task() {
    let class = target("lock", "desk", 2_000, true);
    let names: Vec<String> = (0..16).map(|index| format!("x{index:02}")).collect();
    let executors = names.iter().map(|name| {
        let mut info = executor(name, "desk", 8);
        info.rack = if name.as_str() < "x08" {
            "dead"
        } else {
            "well"
        }
        .into();
        info
    });
    let executors: Vec<_> = executors.collect();
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&class),
        &executors,
    );
    warm_up(&mut policy, &class, 40, 100);
    let mut wasted = 0;
    let run = |policy: &mut Policy, ms: u64, is_dead: bool| {
        let now = at_ms(ms);
        policy.enqueue(now, work(task(ms, 0), &class, now));
        let starts_on_rack = starts(policy, now).into_iter().map(|(id, name)| {
            let is_lost = is_dead && name.as_str() < "x08";
            let outcome = if is_lost {
                AttemptOutcome::Unsent
            } else {
                AttemptOutcome::Finished
            };
            policy.apply_attempt_end(now, &end(id, &name, outcome));
            usize::from(name.as_str() < "x08")
        });
        starts_on_rack.sum::<usize>()
    };
    for ms in 100..30_100 {
        wasted += run(&mut policy, ms, true);
    }
    assert!(
        wasted <= 30,
        "{wasted} tasks were sent to the dead rack in 30 s"
    );
    let recovered_starts = (30_100..40_000)
        .map(|ms| run(&mut policy, ms, false))
        .sum::<usize>();
    assert!(
        recovered_starts > 100,
        "{recovered_starts} tasks were started on the recovered rack in 10 s"
    );
}
